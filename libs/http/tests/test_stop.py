from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from teaseldyke.http import CallerGone, Request, ServerLimits, serve
from teaseldyke.http.connection import CallerConnection, ServerContext
from teaseldyke.http.stream import TcpStream

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"

StartServer = Callable[..., Awaitable[int]]
ExchangeBytes = Callable[..., Awaitable[bytes]]


async def answer_ok(request: Request) -> None:
    await request.respond(200, b"ok")


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


class TestStop:
    @pytest.mark.promise("whole-answer")
    async def test_cancelled_response_never_looks_complete(self) -> None:
        async def stall(request: Request) -> None:
            await request.start_response(200, [])
            await request.send(b"part")
            await trio.sleep_forever()

        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        async with await trio.open_tcp_stream(HOST, port) as stream:
            async with trio.open_nursery() as serving:
                serving.start_soon(serve, listeners[0], stall, ServerLimits())
                await stream.send_all(GET.replace(b"1.1", b"1.0"))
                assert (await stream.receive_some()).endswith(b"part")
                serving.cancel_scope.cancel()
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()

    async def test_error_during_cancellation_does_not_propagate(self) -> None:
        async def fail_when_cancelled(request: Request) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                try:
                    await trio.sleep_forever()
                finally:
                    raise CallerGone("caller disconnected during cancellation")

        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as serving:
                serving.start_soon(
                    serve, listeners[0], fail_when_cancelled, ServerLimits()
                )
                async with await trio.open_tcp_stream(HOST, port) as stream:
                    await stream.send_all(GET)
                    await trio.testing.wait_all_tasks_blocked(0.01)
                    scope.cancel()
        assert scope.cancelled_caught

    @pytest.mark.promise("planned-stop")
    async def test_running_requests_finish(
        self, start_server: StartServer, exchange_bytes: ExchangeBytes
    ) -> None:
        started, resume, stopping = trio.Event(), trio.Event(), trio.Event()

        async def slow(request: Request) -> None:
            started.set()
            await request.start_response(200, [])
            await resume.wait()
            await request.send(b"whole")
            await request.finish()

        port = await start_server(slow, ServerLimits(stop_linger_s=0.0), stopping)
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(GET)
            await started.wait()
            stopping.set()
            await trio.testing.wait_all_tasks_blocked(0.01)
            with pytest.raises(OSError, match="connect"):
                await trio.open_tcp_stream(HOST, port)
            resume.set()
            received = b"".join([data async for data in stream])
        assert received.endswith(b"5\r\nwhole\r\n0\r\n\r\n")

    @pytest.mark.promise("planned-stop")
    async def test_request_in_transit_is_answered_and_idle_connections_close(
        self, start_server: StartServer, clock: object
    ) -> None:
        stopping = trio.Event()
        port = await start_server(stopping=stopping)
        async with (
            await trio.open_tcp_stream(HOST, port) as used,
            await trio.open_tcp_stream(HOST, port) as idle,
        ):
            await used.send_all(GET)
            assert _status(await used.receive_some()) == 200
            stopping.set()
            await used.send_all(GET)
            answer = b"".join([data async for data in used])
            assert _status(answer) == 200
            assert b"connection: close\r\n" in answer
            assert await idle.receive_some() == b""

    @pytest.mark.promise("planned-stop")
    async def test_unaccepted_connection_is_answered(self) -> None:
        class StalledListener:
            def __init__(self, listener: trio.SocketListener) -> None:
                self.socket = listener.socket
                self.aclose = listener.aclose

            async def accept(self) -> None:
                await trio.sleep_forever()

        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        stopping = trio.Event()
        with socket.create_connection(listener.socket.getsockname()) as sock:
            sock.sendall(GET)
            stopping.set()
            limits = ServerLimits(stop_linger_s=0.0)
            await serve(StalledListener(listener), answer_ok, limits, stopping=stopping)
            assert _status(sock.recv(4096)) == 200

    @pytest.mark.promise("planned-stop")
    async def test_request_that_arrives_as_idle_connections_close_is_answered(
        self, nursery: trio.Nursery
    ) -> None:
        listener = socket.create_server((HOST, 0))
        serving = ServerContext(answer_ok, ServerLimits(), trio.Event())
        with socket.create_connection(listener.getsockname()) as sock:
            stream = TcpStream(listener.accept()[0])
            nursery.start_soon(CallerConnection(serving, stream).run)
            await trio.testing.wait_all_tasks_blocked()
            sock.sendall(GET)
            serving.stopping.set()
            serving.close_idle()
            with trio.fail_after(5):
                await trio.lowlevel.wait_readable(sock)
            assert _status(sock.recv(4096)) == 200
        listener.close()
