from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from teaseldyke.http import (
    BodyTooLarge,
    CallerGone,
    HttpClient,
    Request,
    ServerLimits,
)

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
LIMITS = ServerLimits(
    header_bytes=2048,
    header_timeout_s=5.0,
    idle_timeout_s=6.0,
    body_bytes=4096,
    body_idle_timeout_s=3.0,
    body_timeout_s=9.0,
    send_timeout_s=4.0,
)

StartServer = Callable[..., Awaitable[int]]
ExchangeBytes = Callable[..., Awaitable[bytes]]


async def echo(request: Request) -> None:
    body = await request.read_body(1 << 20)
    await request.respond(200, body)


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


class TestBadInput:
    @pytest.mark.parametrize(
        ("sent", "status", "code"),
        [
            (b"rubbish\r\n\r\n", 400, "malformed_request"),
            (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "malformed_request"),
            (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "malformed_request"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, "malformed_request"),
            (b"GET /\x00 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (b"GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (b"GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (b"GET /%2e%2E/b HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (b"GET /a//b HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
            (POST + b"Content-Length: x\r\n\r\n", 400, "malformed_request"),
            (
                POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                400,
                "malformed_request",
            ),
            (
                POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                400,
                "malformed_request",
            ),
            (
                POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                501,
                "transfer_coding_unsupported",
            ),
            (GET[:-2] + b"A: " + b"a" * 3000 + b"\r\n\r\n", 431, "header_too_large"),
            (b"GET /" + b"a" * 3000, 431, "header_too_large"),
            (b"a" * 100_000, 431, "header_too_large"),
            (POST + b"Content-Length: 5000\r\n\r\n", 413, "body_too_large"),
            (
                POST
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + (b"400\r\n" + b"a" * 1024 + b"\r\n") * 5,
                413,
                "body_too_large",
            ),
        ],
    )
    async def test_is_refused_and_other_connections_are_unaffected(
        self,
        start_server: StartServer,
        exchange_bytes: ExchangeBytes,
        sent: bytes,
        status: int,
        code: str,
    ) -> None:
        port = await start_server(echo, LIMITS)
        async with await trio.open_tcp_stream(HOST, port) as other:
            await other.send_all(CLOSING_GET[:20])
            answer = await exchange_bytes(port, sent)
            assert _status(answer) == status
            problem = json.loads(answer.partition(b"\r\n\r\n")[2])
            assert problem["code"] == code
            assert problem["executed"] == "no"
            await other.send_all(CLOSING_GET[20:])
            assert _status(await other.receive_some()) == 200

    @pytest.mark.parametrize(
        ("sent", "elapsed_s", "status"),
        [
            (b"GET / HT", 5.0, 408),
            (POST + b"Content-Length: 9\r\n\r\nabc", 3.0, 408),
            (b"", 6.0, None),
        ],
        ids=["slow header", "half-open in the body", "half-open and silent"],
    )
    async def test_silent_caller_times_out(
        self,
        start_server: StartServer,
        exchange_bytes: ExchangeBytes,
        clock: object,
        sent: bytes,
        elapsed_s: float,
        status: int | None,
    ) -> None:
        port = await start_server(echo, LIMITS)
        started_s = trio.current_time()
        answer = await exchange_bytes(port, sent)
        assert elapsed_s <= trio.current_time() - started_s < elapsed_s + 1.5
        assert (_status(answer) if answer else None) == status

    @pytest.mark.parametrize(
        ("start", "piece", "interval_s", "end_s"),
        [
            (b"GET / HTTP/1.1\r\nA: ", b"a", 1.0, 5.0),
            (POST + b"Content-Length: 999\r\n\r\n", b"a", 1.0, 9.0),
        ],
        ids=["header", "body"],
    )
    async def test_slow_sender_times_out(
        self,
        start_server: StartServer,
        clock: object,
        start: bytes,
        piece: bytes,
        interval_s: float,
        end_s: float,
    ) -> None:
        port = await start_server(echo, LIMITS)
        started_s = trio.current_time()
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(start)
            with trio.move_on_after(30):
                async with trio.open_nursery() as nursery:

                    async def trickle() -> None:
                        while True:
                            await trio.sleep(interval_s)
                            await stream.send_all(piece)

                    nursery.start_soon(trickle)
                    assert _status(await stream.receive_some()) == 408
                    nursery.cancel_scope.cancel()
        assert trio.current_time() - started_s < end_s + 1.5

    async def test_caller_that_does_not_read_is_disconnected(
        self, start_server: StartServer, clock: object
    ) -> None:
        disconnected = trio.Event()

        async def flood(request: Request) -> None:
            await request.start_response(200, [])
            try:
                while True:
                    await request.send(b"a" * 1_000_000)
            except CallerGone:
                disconnected.set()
                raise

        port = await start_server(flood, LIMITS)
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(GET)
            with trio.fail_after(10):
                await disconnected.wait()

    async def test_connections_above_the_limit_get_503(
        self, start_server: StartServer, exchange_bytes: ExchangeBytes
    ) -> None:
        answering = trio.Event()

        async def echo_later(request: Request) -> None:
            await answering.wait()
            await echo(request)

        port = await start_server(echo_later, ServerLimits(connections=1))
        async with await trio.open_tcp_stream(HOST, port) as first:
            await first.send_all(GET)
            await trio.testing.wait_all_tasks_blocked(0.01)
            answer = await exchange_bytes(port, GET)
            assert _status(answer) == 503
            assert b"retry-after: 1\r\n" in answer
            answering.set()
            assert _status(await first.receive_some()) == 200
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert _status(await exchange_bytes(port, CLOSING_GET)) == 200

    async def test_pipelined_flood_is_buffered_within_bounds(
        self, start_server: StartServer, clock: object
    ) -> None:
        async def wait(request: Request) -> None:
            with trio.move_on_after(10):
                await request.wait_disconnect()
            await request.respond(200, b"ok")

        port = await start_server(wait, LIMITS)
        sent_bytes = 0
        async with await trio.open_tcp_stream(HOST, port) as stream:
            with trio.move_on_after(5):
                while True:
                    await stream.send_all(GET * 10_000)
                    sent_bytes += len(GET) * 10_000
            assert sent_bytes < 20_000_000  # capacity of the socket buffers


class TestResponses:
    async def test_keep_alive_and_pipelining_keep_the_order(
        self, start_server: StartServer, exchange_bytes: ExchangeBytes
    ) -> None:
        async def path(request: Request) -> None:
            await request.respond(200, request.path.encode())

        port = await start_server(path)
        sent = GET.replace(b"/ ", b"/1 ") + GET.replace(b"/ ", b"/2 ") + CLOSING_GET
        answer = await exchange_bytes(port, sent)
        assert [part[:2] for part in answer.split(b"\r\n\r\n")[1:]] == [
            b"/1",
            b"/2",
            b"/",
        ]

    @pytest.mark.parametrize(
        ("method", "status", "body", "ending"),
        [
            (b"HEAD", 200, b"body", b"content-length: 4\r\n"),
            (b"GET", 204, b"", b"\r\n\r\n"),
            (b"GET", 304, b"", b"\r\n\r\n"),
            (b"GET", 200, b"body", b"\r\n\r\nbody"),
        ],
    )
    async def test_responses_without_body(
        self,
        start_server: StartServer,
        exchange_bytes: ExchangeBytes,
        method: bytes,
        status: int,
        body: bytes,
        ending: bytes,
    ) -> None:
        async def answer(request: Request) -> None:
            await request.respond(status, body)

        port = await start_server(answer)
        received = await exchange_bytes(port, method + CLOSING_GET[3:])
        assert _status(received) == status
        assert ending in received
        assert received.endswith(body if method == b"GET" else b"\r\n\r\n")

    async def test_expect_continue_is_answered_when_the_body_is_read(
        self, start_server: StartServer
    ) -> None:
        port = await start_server(echo)
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(
                POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
            )
            assert _status(await stream.receive_some()) == 100
            await stream.send_all(b"hi")
            assert (await stream.receive_some()).endswith(b"hi")

    async def test_early_refusal_of_a_large_body_arrives(
        self, start_server: StartServer
    ) -> None:
        async def refuse(request: Request) -> None:
            raise BodyTooLarge("too large", retry_after_s=2.1)

        port = await start_server(refuse)
        response = await HttpClient().request(
            "POST", HOST, port, "/", body=b"a" * 500_000
        )
        assert response.status == 413
        assert response.header("Retry-After") == "3"
        assert response.header("Connection") == "close"

    @pytest.mark.promise("whole-answer")
    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    async def test_broken_stream_never_looks_complete(
        self, start_server: StartServer, exchange_bytes: ExchangeBytes, version: bytes
    ) -> None:
        async def fail(request: Request) -> None:
            await request.start_response(200, [])
            await request.send(b"part")
            raise ValueError("handler failed")

        port = await start_server(fail)
        answer = await exchange_bytes(port, GET.replace(b"1.1", version))
        assert answer.endswith(b"<reset>")

    async def test_unexpected_error_reports_executed_unknown(
        self, start_server: StartServer, exchange_bytes: ExchangeBytes
    ) -> None:
        async def fail(request: Request) -> None:
            async with trio.open_nursery():
                raise ValueError("secret")

        port = await start_server(fail)
        answer = await exchange_bytes(port, CLOSING_GET)
        assert _status(answer) == 500
        assert b'"executed": "unknown"' in answer
        assert b"secret" not in answer

    @pytest.mark.parametrize("closing", ["aclose", "reset"])
    async def test_disconnect_is_detected_while_the_handler_waits(
        self, start_server: StartServer, closing: str
    ) -> None:
        detected = []
        done = trio.Event()

        async def wait(request: Request) -> None:
            await request.wait_disconnect()
            detected.append(request.path)
            done.set()

        port = await start_server(wait)
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(GET)
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert detected == []
        if closing == "reset":
            stream.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER, 0 s
        await stream.aclose()
        with trio.fail_after(2):
            await done.wait()
        assert detected == ["/"]

    @pytest.mark.parametrize("behind", [b"", GET], ids=["alone", "behind a request"])
    async def test_disconnect_calls_back(
        self, start_server: StartServer, clock: object, behind: bytes
    ) -> None:
        scopes = []
        done = trio.Event()

        async def wait(request: Request) -> None:
            with trio.CancelScope() as scope, request.on_disconnect(scope.cancel):
                scopes.append(scope)
                await trio.sleep(10)
            done.set()

        port = await start_server(wait)
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(GET + behind)
            await trio.sleep(1)
            assert not scopes[0].cancel_called
        started_s = trio.current_time()
        await done.wait()
        assert scopes[0].cancelled_caught
        assert trio.current_time() - started_s < 0.5
