"""A server ends a connection, or an answer, beside what its caller sends."""

from __future__ import annotations

import socket
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs
import pytest
import trio
import trio.testing

from teaseldyke.http import Request, ServerLimits, serve, server
from teaseldyke.http.closures import (
    CONNECTIONS_CLOSED,
    IDLE_CLOSED,
    Cause,
    IdleClose,
    RequestState,
)
from teaseldyke.http.connection import (
    CLOSE_TIMEOUT_S,
    CallerConnection,
    Handler,
    ServerContext,
)
from teaseldyke.http.stream import SENDS_PER_CHECKPOINT, TcpStream

HOST = "127.0.0.1"
LARGE_BYTES = 16 * 1024 * 1024  # more than the buffers of a connection hold
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
BUFFERED_BYTES = 2 * 1024 * 1024  # that the buffers of a connection hold
IDLE_TIMEOUT_S = 0.05
SLOW_PARTS = 10  # of a body that arrives slowly
PAUSE_S = 0.5  # of the process; longer than a grace and a sweep of the watches
TURNS = 8  # two tasks are due after a pause, and run in random order


async def answer_ok(request: Request) -> None:
    await request.respond(200, b"ok")


async def answer_late(request: Request) -> None:
    await trio.sleep(0.2)
    await answer_ok(request)


@attrs.define
class Served:
    """The caller's end of a served connection, read without the event loop."""

    sock: socket.socket
    context: ServerContext

    async def receive(self) -> bytes:
        """Return what arrives first; empty if the connection was closed or reset."""
        with trio.fail_after(5):
            await trio.lowlevel.wait_readable(self.sock)
        try:
            return self.sock.recv(65536)
        except ConnectionResetError:
            return b""

    async def request(self) -> None:
        self.sock.sendall(GET)
        assert (await self.receive()).startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def served(
    handler: Handler = answer_ok, limits: ServerLimits | None = None
) -> AsyncIterator[Served]:
    """Serve one connection."""
    context = ServerContext(handler, limits or ServerLimits(), trio.Event())
    with socket.create_server((HOST, 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        stream = TcpStream(listener.accept()[0])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(CallerConnection(context, stream).run)
        await trio.testing.wait_all_tasks_blocked()
        with sock:
            yield Served(sock, context)
        nursery.cancel_scope.cancel()


class TestIdleTimeout:
    @pytest.mark.parametrize("used", [True, False])
    async def test_request_that_lay_unread_in_a_pause_is_answered(
        self, used: bool
    ) -> None:
        answered = 0
        for _ in range(TURNS):
            limits = ServerLimits(idle_timeout_s=IDLE_TIMEOUT_S)
            async with served(limits=limits) as connection:
                if used:
                    await connection.request()
                connection.sock.sendall(GET)
                time.sleep(PAUSE_S)
                answered += (await connection.receive()).startswith(b"HTTP/1.1 200")
        assert answered == TURNS

    async def test_idle_connection_is_closed(self) -> None:
        limits = ServerLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        async with served(limits=limits) as connection:
            await connection.request()
            assert await connection.receive() == b""

    async def test_first_request_at_the_end_of_its_grace_is_answered(self) -> None:
        answered = 0
        for _ in range(TURNS):
            async with served() as connection:
                connection.context.stopping.set()
                connection.context.close_idle()
                connection.sock.sendall(GET)
                time.sleep(PAUSE_S)
                answered += (await connection.receive()).startswith(b"HTTP/1.1 200")
        assert answered == TURNS


class TestEndAtTheDeadline:
    async def test_answer_that_went_out_whole_is_not_reset(self) -> None:
        """Now and then a write lets other tasks run; the deadline may pass there."""

        async def answer(request: Request) -> None:
            with trio.CancelScope() as scope:
                await request.start_response(200, [], flush=False)
                for _ in range(SENDS_PER_CHECKPOINT - 1):
                    await request.send(b"event")
                scope.cancel()
                await request.finish()
            if not request.finished:
                await request.abort()

        async with served(answer) as connection:
            connection.sock.sendall(GET)
            await trio.sleep(0.1)
            data = await connection.receive()
            assert data.endswith(b"0\r\n\r\n")
            await connection.request()


class TestRecord:
    async def test_caller_that_does_not_read_in_time(self) -> None:
        async def answer(request: Request) -> None:
            await request.start_response(200, [], flush=False)
            await request.send(b"x" * LARGE_BYTES)

        state = RequestState.CUT
        before = closed(Cause.SEND_TIMEOUT, state)
        async with served(answer, ServerLimits(send_timeout_s=0.1)) as connection:
            connection.sock.sendall(GET)
            await wait_until_counted(Cause.SEND_TIMEOUT, state, before)

    @pytest.mark.parametrize("state", [RequestState.UNANSWERED, RequestState.CUT])
    async def test_end_of_the_process(self, state: RequestState) -> None:
        async def stall(request: Request) -> None:
            if state is RequestState.CUT:
                await request.start_response(200, [])
            await trio.sleep_forever()

        before = closed(Cause.PROCESS_ENDED, state)
        async with served(stall) as connection:
            connection.sock.sendall(GET)
            await trio.testing.wait_all_tasks_blocked(0.05)
        assert closed(Cause.PROCESS_ENDED, state) == before + 1

    async def test_handler_that_fails_after_its_answer_has_begun(self) -> None:
        async def fail(request: Request) -> None:
            await request.start_response(200, [])
            raise ValueError("unforeseen")

        before = closed(Cause.ANSWER_FAILED, RequestState.CUT)
        async with served(fail) as connection:
            connection.sock.sendall(GET)
            await wait_until_counted(Cause.ANSWER_FAILED, RequestState.CUT, before)

    async def test_connection_far_over_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def stall(request: Request) -> None:
            await trio.sleep_forever()

        monkeypatch.setattr(server, "REFUSALS_MAX", 0)
        before = closed(Cause.CONNECTION_LIMIT, RequestState.UNREAD)
        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        address = listener.socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, listener, stall, ServerLimits(connections=1))
            async with await trio.open_tcp_stream(*address) as first:
                await first.send_all(GET)
                await trio.testing.wait_all_tasks_blocked(0.01)
                async with await trio.open_tcp_stream(*address) as second:
                    assert (await second.receive_some())[9:12] == b"503"
            nursery.cancel_scope.cancel()
        assert closed(Cause.CONNECTION_LIMIT, RequestState.UNREAD) == before + 1

    async def test_request_that_came_with_a_connection_far_over_the_limit_is_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(server, "REFUSALS_MAX", 0)
        before = closed(Cause.CONNECTION_LIMIT, RequestState.UNREAD)
        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        socks = []
        for _ in range(TURNS):
            sock = socket.create_connection(listener.socket.getsockname())
            sock.sendall(CLOSING_GET)
            socks.append(sock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve, listener, answer_late, ServerLimits(connections=1)
            )
            answers = []
            for sock in socks:
                with sock:
                    answers.append(await trio.to_thread.run_sync(read_all, sock))
            nursery.cancel_scope.cancel()
        assert sorted(answer[9:12] for answer in answers) == [
            b"200",
            *[b"503"] * (TURNS - 1),
        ]
        count = closed(Cause.CONNECTION_LIMIT, RequestState.UNREAD) - before
        assert count == TURNS - 1

    @pytest.mark.parametrize("headers", [[("x-odd", "a\nb")], [("odd name", "a")]])
    async def test_answer_that_cannot_be_written_is_replaced(
        self, headers: list[tuple[str, str]]
    ) -> None:
        async def answer(request: Request) -> None:
            await request.respond(200, b"ok", headers)

        async with served(answer) as connection:
            connection.sock.sendall(GET)
            assert (await connection.receive()).startswith(b"HTTP/1.1 500")


class TestIdleCloses:
    """Connections without a whole request on them; counted, not logged."""

    @pytest.mark.parametrize(
        ("cause", "used"),
        [
            (IdleClose.IDLE_TIMEOUT, True),
            (IdleClose.IDLE_TIMEOUT, False),
            (IdleClose.STOPPING, True),
            (IdleClose.FIRST_REQUEST_GRACE, False),
            (IdleClose.CALLER, True),
            (IdleClose.CALLER, False),
            (IdleClose.CALLER_IN_HEADER, True),
        ],
    )
    async def test_each_is_counted_once_with_its_cause(
        self, cause: IdleClose, used: bool
    ) -> None:
        limits = ServerLimits()
        if cause is IdleClose.IDLE_TIMEOUT:
            limits = ServerLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        before = idle_closes()
        async with served(limits=limits) as connection:
            if used:
                await connection.request()
            if cause in (IdleClose.STOPPING, IdleClose.FIRST_REQUEST_GRACE):
                await trio.testing.wait_all_tasks_blocked()
                connection.context.stopping.set()
                connection.context.close_idle()
            if cause is IdleClose.CALLER_IN_HEADER:
                connection.sock.sendall(GET[:9])
                await trio.sleep(0.05)
            if cause in (IdleClose.CALLER, IdleClose.CALLER_IN_HEADER):
                connection.sock.shutdown(socket.SHUT_WR)
            else:
                assert await connection.receive() == b""
            await trio.sleep(0.05)
        assert idle_closes() == {**before, cause: before[cause] + 1}

    async def test_connection_that_becomes_idle_after_a_stop(self) -> None:
        async def answer(request: Request) -> None:
            await trio.sleep(0.1)
            await request.respond(200, b"ok")

        before = idle_closes()
        async with served(answer) as connection:
            connection.sock.sendall(GET)
            await trio.sleep(0.05)
            connection.context.close_idle()
            assert (await connection.receive()).startswith(b"HTTP/1.1 200")
            assert await connection.receive() == b""
        cause = IdleClose.STOPPING
        assert idle_closes() == {**before, cause: before[cause] + 1}


def idle_closes() -> dict[IdleClose, float]:
    """Return how many connections were closed without a request, by cause."""
    return {
        cause: IDLE_CLOSED.bind(
            cause=cause.value[0], closed_by=cause.value[1].value
        ).value
        for cause in IdleClose
    }


def closed(cause: Cause, state: RequestState) -> float:
    return CONNECTIONS_CLOSED.bind(cause=cause.value, request=state.value).value


async def wait_until_counted(cause: Cause, state: RequestState, before: float) -> None:
    with trio.fail_after(5):
        while closed(cause, state) != before + 1:
            await trio.sleep(0.01)


class TestCompleteAnswers:
    async def test_end_of_the_process_leaves_a_complete_answer_to_its_reader(
        self,
    ) -> None:
        """Its connection waits for the caller's close, or to be read."""

        async def answer(request: Request) -> None:
            await request.respond(200, b"x" * BUFFERED_BYTES)

        async with served(answer) as connection:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.sock.sendall(CLOSING_GET)
            await trio.testing.wait_all_tasks_blocked(0.05)
            sock = connection.sock.dup()
        with sock:
            assert len(await trio.to_thread.run_sync(read_all, sock)) > BUFFERED_BYTES

    @pytest.mark.parametrize("body_bytes", [200_000, 2_000_000, 8_000_000])
    async def test_caller_that_first_sends_all_reads_its_refusal(
        self, body_bytes: int
    ) -> None:
        """A refusal before the body was read, as of an unknown route."""

        async def refuse(request: Request) -> None:
            await request.respond(404, b"none")

        async with served(refuse) as connection:
            head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n"

            def send_all() -> bytes:
                connection.sock.settimeout(5)
                try:
                    connection.sock.sendall(head.encode() + b"x" * body_bytes)
                except OSError:
                    return b"<reset>"
                return read_all(connection.sock)

            data = await trio.to_thread.run_sync(send_all)
            assert data.startswith(b"HTTP/1.1 404")

    @pytest.mark.parametrize(
        ("version", "status"), [("1.1", 404), ("2.0", 400)], ids=["handler", "header"]
    )
    async def test_caller_whose_body_arrives_slowly_reads_its_refusal(
        self, version: str, status: int
    ) -> None:
        """It sends all first, for longer than a closing connection used to wait."""

        async def refuse(request: Request) -> None:
            await request.respond(404, b"none")

        part = b"x" * 1000
        head = (
            f"POST / HTTP/{version}\r\nHost: a\r\n"
            f"Content-Length: {SLOW_PARTS * len(part)}\r\n\r\n"
        )
        async with served(refuse) as connection:
            connection.sock.sendall(head.encode())
            sent_bytes = 0
            for _ in range(SLOW_PARTS):
                await trio.sleep(2 * CLOSE_TIMEOUT_S / SLOW_PARTS)
                with suppress(OSError):
                    sent_bytes += connection.sock.send(part)
            data = await trio.to_thread.run_sync(read_all, connection.sock)
        assert sent_bytes == SLOW_PARTS * len(part)
        assert data.startswith(f"HTTP/1.1 {status}".encode())
        assert not data.endswith(b"<reset>")

    @pytest.mark.parametrize(
        ("request_head", "body_timeout_s"),
        [
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", 0.3),
            (CLOSING_GET, 120.0),
        ],
        ids=["body", "next"],
    )
    async def test_bytes_after_an_answer_are_not_read_for_ever(
        self, request_head: bytes, body_timeout_s: float
    ) -> None:
        limits = ServerLimits(body_timeout_s=body_timeout_s)
        async with served(limits=limits) as connection:
            connection.sock.sendall(request_head)
            is_closed = False
            with trio.fail_after(3 * CLOSE_TIMEOUT_S):
                while not is_closed:
                    await trio.sleep(0.1)
                    try:
                        connection.sock.sendall(b"x")
                    except ConnectionError:
                        is_closed = True

    async def test_body_that_is_discarded_does_not_hold_a_stop(self) -> None:
        """The caller sends a byte now and then, for as long as it is read."""

        async def refuse(request: Request) -> None:
            await request.respond(404, b"none")

        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        stopping = trio.Event()
        stopped = trio.Event()

        async def run() -> None:
            await serve(listener, refuse, ServerLimits(), stopping=stopping)
            stopped.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            with socket.create_connection(listener.socket.getsockname()) as sock:
                sock.sendall(
                    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
                )
                await trio.sleep(0.3)
                stopping.set()
                with trio.fail_after(4 * CLOSE_TIMEOUT_S):
                    while not stopped.is_set():
                        with suppress(OSError):
                            sock.sendall(b"x")
                        await trio.sleep(0.2)

    async def test_refused_connections_keep_nobody_out_for_long(self) -> None:
        """Each sends a byte now and then, for as long as it is read."""
        listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
        address = listener.socket.getsockname()
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, listener, answer_ok, ServerLimits(connections=1))
            served_one = socket.create_connection(address)
            await trio.sleep(0.1)
            refused = [socket.create_connection(address) for _ in range(3)]
            for sock in refused:
                sock.sendall(head)
            await trio.sleep(0.1)
            served_one.close()
            for _ in range(10):
                for sock in refused:
                    with suppress(OSError):
                        sock.sendall(b"x")
                await trio.sleep(0.2 * CLOSE_TIMEOUT_S)
            with socket.create_connection(address) as sock:
                sock.sendall(CLOSING_GET)
                answer = await trio.to_thread.run_sync(read_all, sock)
            for sock in refused:
                sock.close()
            nursery.cancel_scope.cancel()
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_body_in_tiny_chunks_takes_the_memory_of_its_bytes(self) -> None:
        """Each chunk was kept as an object of its own until the end of the body."""
        counted = 0

        async def hold(request: Request) -> None:
            def count(size_bytes: int) -> None:
                nonlocal counted
                counted += size_bytes

            await request.read_body(BUFFERED_BYTES, 30.0, count)

        async with served(hold) as connection:
            connection.sock.sendall(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            tracemalloc.start()
            try:
                part = b"2\r\nab\r\n" * 5_000
                for number in range(1, 21):
                    connection.sock.sendall(part)
                    with trio.fail_after(10):
                        while counted < number * 10_000:
                            await trio.sleep(0.01)
                held_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert held_bytes < 2 * counted


class TestNextRequest:
    """A request that arrives before the answer to the one ahead of it."""

    @pytest.mark.parametrize(
        ("head", "end"),
        [
            (b"Content-Length: 6\r\n\r\nabc", b"def"),
            (b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", b"0\r\n\r\n"),
        ],
        ids=["length", "chunked"],
    )
    @pytest.mark.parametrize("next_parts", [[GET], [GET[:9], GET[9:]], [GET + GET]])
    async def test_request_that_comes_with_the_end_of_a_body_is_answered(
        self, head: bytes, end: bytes, next_parts: list[bytes]
    ) -> None:
        async def answer(request: Request) -> None:
            await request.read_body(100)
            await trio.sleep(0.05)
            await request.respond(200, b"ok")

        async with served(answer) as connection:
            connection.sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\n" + head)
            await trio.sleep(0.05)
            connection.sock.sendall(end + next_parts[0])
            await trio.sleep(0.02)
            for part in next_parts[1:]:
                connection.sock.sendall(part)
            data = b""
            expected = 1 + b"".join(next_parts).count(b"GET")
            with trio.fail_after(5):
                while data.count(b"HTTP/1.1 200") < expected:
                    received = await connection.receive()
                    assert received
                    data += received


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes until the connection ends."""
    sock.settimeout(5)
    received = b""
    while True:
        try:
            data = sock.recv(65536)
        except ConnectionResetError:
            return received + b"<reset>"
        if not data:
            return received
        received += data
