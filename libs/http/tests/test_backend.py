from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from teaseldyke.http import (
    AnswerBroken,
    AnswerTimedOut,
    AnswerTooLarge,
    BackendPool,
    ConnectFailed,
    CrossedAnswer,
    ExchangeBroken,
    HttpClient,
    Request,
)
from teaseldyke.http.stream import TcpStream
from teaseldyke.timers import boot_time_s
from teaseldyke.types import TeaseldykeError

HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

StartScripted = Callable[..., Awaitable[Any]]
StartServer = Callable[..., Awaitable[int]]


async def _read(pool: BackendPool, port: int, **options: Any) -> bytes:
    async with pool.exchange(
        HOST, port, "POST", "/", [], b"x", request_id="r1", **options
    ) as exchange:
        return await exchange.read()


class TestInvalidResponses:
    @pytest.mark.promise("whole-answer")
    @pytest.mark.parametrize(
        ("answer", "close", "error"),
        [
            (b"", True, AnswerBroken),
            (b"rubbish\r\n\r\n", False, AnswerBroken),
            (b"\x00" * 200_000, False, AnswerBroken),
            (b"HTTP/1.1 200 OK\r\nA: " + b"a" * 200_000, False, AnswerBroken),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 100, False, AnswerBroken),
            (b"HTTP/1.1 101 Other\r\nUpgrade: a\r\n\r\n", False, AnswerBroken),
            (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", True, AnswerBroken),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", True, AnswerBroken),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", True, AnswerBroken),
            (CHUNKED + b"3\r\nabc\r\n", True, AnswerBroken),
            (CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n", False, AnswerBroken),
            (CHUNKED + b"zz\r\n", False, AnswerBroken),
            (OK + b"more", False, AnswerBroken),
            (OK + OK, False, AnswerBroken),
            (CHUNKED + b"0\r\n\r\nmore", False, AnswerBroken),
            (OK.replace(b": 2", b": 99999"), False, AnswerTooLarge),
            (CHUNKED + b"64\r\n" + b"a" * 100, False, AnswerTooLarge),
            (OK[:-4] + b"X-Request-Id: r0\r\n\r\nok", False, CrossedAnswer),
        ],
    )
    async def test_raises_and_connection_is_not_reused(
        self,
        start_scripted: StartScripted,
        answer: bytes,
        close: bool,
        error: type[TeaseldykeError],
    ) -> None:
        server = await start_scripted(answer, OK, close=close)
        pool = BackendPool()
        with trio.fail_after(5):
            with pytest.raises(error) as caught:
                await _read(pool, server.port, answer_limit_bytes=50)
            assert caught.value.executed == "unknown"
            assert await _read(pool, server.port) == b"ok"
        assert server.connections == 2

    @pytest.mark.parametrize("start", [b"", CHUNKED, CHUNKED + b"1\r\na\r\n"])
    async def test_silent_server_times_out(
        self, start_scripted: StartScripted, clock: object, start: bytes
    ) -> None:
        server = await start_scripted(start, OK, close=False)
        pool = BackendPool()
        started_s = trio.current_time()
        with pytest.raises(AnswerTimedOut, match="within 7" if not start else "paused"):
            await _read(pool, server.port, first_byte_timeout_s=7.0, idle_timeout_s=3.0)
        expected_s = 3.0 if start else 7.0
        assert expected_s <= trio.current_time() - started_s < expected_s + 0.5
        assert await _read(pool, server.port) == b"ok"

    @pytest.mark.promise("whole-answer")
    async def test_response_to_a_cancelled_request_is_discarded(
        self, start_server: StartServer
    ) -> None:
        resume = trio.Event()

        async def answer(request: Request) -> None:
            body = await request.read_body(10)
            if body == b"1":
                await resume.wait()
            await request.respond(200, b"answer to " + body)

        port = await start_server(answer)
        pool = BackendPool()
        with trio.move_on_after(0.05):
            async with pool.exchange(HOST, port, "POST", "/", body=b"1"):
                pass
        resume.set()
        async with pool.exchange(HOST, port, "POST", "/", body=b"2") as exchange:
            assert await exchange.read() == b"answer to 2"

    async def test_unexpected_bytes_close_an_idle_connection(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK, OK, OK, close=False)
        pool = BackendPool()
        await _read(pool, server.port)
        await _read(pool, server.port)
        assert server.connections == 1
        await trio.testing.wait_all_tasks_blocked()
        await server.streams[0].send_all(b"HTTP/1.1 408 Late\r\n\r\n")
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert await _read(pool, server.port) == b"ok"
        assert server.connections == 2


class TestExecuted:
    @pytest.mark.promise("true-refusal")
    async def test_refused_connection_is_reported_as_not_executed(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        with pytest.raises(ConnectFailed) as caught:
            await _read(BackendPool(), port)
        assert caught.value.executed == "no"

    async def test_unencodable_request_is_reported_as_not_executed(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK)
        with pytest.raises(ConnectFailed, match="cannot be sent"):
            async with BackendPool().exchange(HOST, server.port, "GET", "/a b"):
                pass
        assert server.requests == []

    async def test_client_retries_get_after_the_server_closed_an_idle_connection(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK, b"", OK, close=False, close_on_empty=True)
        client = HttpClient()
        for _ in range(2):
            response = await client.request("GET", HOST, server.port, "/")
            assert response.body == b"ok"
        assert server.connections == 2

    @pytest.mark.promise("at-most-once")
    async def test_client_never_retries_post(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK, b"", OK, close=False, close_on_empty=True)
        client = HttpClient()
        await client.request("POST", HOST, server.port, "/")
        with pytest.raises(ExchangeBroken) as caught:
            await client.request("POST", HOST, server.port, "/")
        assert caught.value.executed == "unknown"
        assert len(server.requests) == 2

    @pytest.mark.parametrize("accepts", [True, False])
    async def test_client_timeout_reports_whether_the_request_was_sent(
        self, start_scripted: StartScripted, clock: object, accepts: bool
    ) -> None:
        server = await start_scripted(b"", close=False)
        port = server.port if accepts else await _port_with_full_backlog()
        with pytest.raises(TeaseldykeError) as caught:
            await HttpClient(timeout_s=3).request("POST", HOST, port, "/")
        assert caught.value.executed == ("unknown" if accepts else "no")


class TestCompleteResponses:
    @pytest.mark.parametrize(
        ("method", "answer", "body"),
        [
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b""),
            ("GET", b"HTTP/1.1 204 No\r\n\r\n", b""),
            ("GET", b"HTTP/1.1 304 Same\r\n\r\n", b""),
            ("GET", b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"ok"),
            ("GET", CHUNKED + b"1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: 1\r\n\r\n", b"abc"),
        ],
    )
    async def test_connection_is_reused(
        self, start_scripted: StartScripted, method: str, answer: bytes, body: bytes
    ) -> None:
        server = await start_scripted(answer, answer, close=False)
        pool = BackendPool()
        for _ in range(2):
            async with pool.exchange(HOST, server.port, method, "/") as exchange:
                assert await exchange.read() == body
        assert server.connections == 1

    async def test_request_id_of_the_caller_is_replaced(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK)
        headers = [(b"X-Request-Id", b"callers"), (b"accept", b"*/*")]
        async with BackendPool().exchange(
            HOST, server.port, "POST", "/a?b", headers, b"hi", request_id="r1"
        ) as exchange:
            await exchange.read()
        head = server.requests[0].partition(b"\r\n\r\n")[0].lower()
        assert head.splitlines() == [
            b"post /a?b http/1.1",
            b"host: 127.0.0.1:%d" % server.port,
            b"accept: */*",
            b"x-request-id: r1",
            b"content-length: 2",
        ]

    async def test_response_sent_before_the_body_was_read_is_received(
        self, start_server: StartServer
    ) -> None:
        async def refuse(request: Request) -> None:
            await request.respond(413, b"no")

        port = await start_server(refuse)
        body = b"a" * 300_000
        async with BackendPool().exchange(
            HOST, port, "POST", "/", body=body
        ) as exchange:
            assert exchange.status == 413


class TestStatusLines:
    @pytest.mark.promise("whole-answer")
    @pytest.mark.parametrize(
        "status",
        [
            *("000", "099", "600", "700", "999", "20", "2000", "-01", "+20"),
            *("2x0", "abc", "", "0x0", "2 0", "20\u00b2"),
        ],
    )
    async def test_status_out_of_range_or_not_numeric(
        self, start_scripted: StartScripted, status: str
    ) -> None:
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\nok"
        await _assert_refused(start_scripted, head.encode("latin-1"))

    @pytest.mark.parametrize("status", [200, 299, 300, 599])
    async def test_status_within_range(
        self, start_scripted: StartScripted, status: int
    ) -> None:
        server = await start_scripted(OK.replace(b"200", b"%d" % status), close=False)
        assert await _read(BackendPool(), server.port) == b"ok"

    @pytest.mark.promise("whole-answer")
    @pytest.mark.parametrize(
        "second",
        [
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 200 OK: yes",
            b"HTTP/1.1 503 a:b",
            b"HTTP/1.1: 200 OK",
            b"http/1.1 200 ok",
        ],
    )
    @pytest.mark.parametrize("before", [b"", b"A: b\r\n"])
    async def test_second_status_line(
        self, start_scripted: StartScripted, before: bytes, second: bytes
    ) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + before + second
        head += b"\r\nContent-Length: 2\r\n\r\nok"
        await _assert_refused(start_scripted, head)


async def _assert_refused(start_scripted: StartScripted, answer: bytes) -> None:
    """Assert that an answer is not passed on and its connection not reused."""
    server = await start_scripted(answer, OK, close=False)
    pool = BackendPool()
    with trio.fail_after(5):
        with pytest.raises(AnswerBroken):
            await _read(pool, server.port, first_byte_timeout_s=0.5)
        assert await _read(pool, server.port) == b"ok"
    assert server.connections == 2


class TestBrokenSends:
    @pytest.mark.promise("whole-answer")
    async def test_connection_with_a_part_of_a_request_is_not_reused(
        self, start_scripted: StartScripted, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The server would take the next request for the rest of the body."""
        send_all = TcpStream.send_all

        async def send_part(stream: TcpStream, data: bytes) -> None:
            await send_all(stream, data[:-1])
            raise trio.BrokenResourceError from OSError(errno.ENOBUFS, "no buffers")

        server = await start_scripted(OK, OK, close=False)
        pool = BackendPool()
        with monkeypatch.context() as patch:
            patch.setattr(TcpStream, "send_all", send_part)
            assert await _read(pool, server.port) == b"ok"
        assert await _read(pool, server.port) == b"ok"
        assert server.connections == 2


async def _port_with_full_backlog() -> int:
    """Return a port whose accept queue is full and never drained."""
    listener = trio.socket.socket()
    await listener.bind((HOST, 0))
    listener.listen(0)
    port = int(listener.getsockname()[1])
    for _ in range(4):
        with trio.move_on_after(0.05):
            pending = trio.socket.socket()
            _OPEN_SOCKETS.append(pending)
            await pending.connect((HOST, port))
    _OPEN_SOCKETS.append(listener)
    return port


_OPEN_SOCKETS: list[trio.socket.SocketType] = []


class TestIdleSinceSilence:
    async def test_only_connections_proven_since_then_are_reused(
        self, start_scripted: StartScripted
    ) -> None:
        server = await start_scripted(OK, OK, close=False)
        pool = BackendPool()
        before_s = boot_time_s()
        assert await _read(pool, server.port) == b"ok"
        unproven = await pool.acquire(HOST, server.port, proven_since_s=boot_time_s())
        assert not unproven.used
        unproven.close()
        proven = await pool.acquire(HOST, server.port, proven_since_s=before_s)
        assert proven.used
        proven.close()

    @pytest.mark.parametrize("is_older", [True, False])
    async def test_older_connections_are_closed(
        self, start_scripted: StartScripted, is_older: bool
    ) -> None:
        server = await start_scripted(OK, close=False)
        pool = BackendPool()
        before_s = boot_time_s()
        assert await _read(pool, server.port) == b"ok"
        pool.close_older(HOST, server.port, boot_time_s() if is_older else before_s)
        connection = await pool.acquire(HOST, server.port)
        assert connection.used is not is_older
        connection.close()
