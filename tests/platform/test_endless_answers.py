"""Engines that send an endless head or body until the connection is closed."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
import trio

from teaseldyke.adapter import StoreClient
from teaseldyke.adapter.store import LISTING_MAX_BYTES
from teaseldyke.gateway.process import LISTING_TARGET, LISTING_TIMEOUT_S
from teaseldyke.http import HttpClient
from teaseldyke.settings import Address
from teaseldyke.types import (
    AnswerLost,
    PlatformUnavailable,
    StoreVersion,
    TeaseldykeError,
)
from tests.platform.conftest import Answer, Fleet, script_all, wait_until
from tests.platform.standins import (
    Arrival,
    Script,
    answer_head,
    answer_with_id,
    chunk,
    complete_answer,
    endless,
    event,
    stream_of,
)

SMALLEST_INSTANCE_BYTES = 128 * 1024 * 1024
BUFFERED_BYTES = 12 * 1024 * 1024  # at most, in the sockets of both sides on loopback
ANSWERS = 24  # slots of a small plain service
PAGE_BYTES = 4096
CHUNKED = "Transfer-Encoding: chunked"
NOT_RUN = "X-Teaseldyke-Not-Run: 1"
EVENTS = "Content-Type: text/event-stream"


def begin(status: int = 200, *lines: str) -> Script:
    def make(arrival: Arrival) -> bytes:
        return answer_head(arrival, status, *lines) + b"\r\n"

    return make


def resident_bytes() -> int:
    """Return the resident memory of this process, which runs the instance."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def no_bytes(_arrival: Arrival) -> bytes:
    return b""


def unterminated_head(arrival: Arrival) -> bytes:
    return answer_head(arrival)


def short_answer(arrival: Arrival) -> bytes:
    return complete_answer(arrival, b"answer")


async def request(fleet: Fleet, target: str) -> Answer:
    with trio.fail_after(3.0):  # the routes' time limit
        return await fleet.caller().request(target)


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("target", "script", "limit_bytes"),
        [
            ("/safe/a", endless(no_bytes, b"x"), 128 * 1024),
            ("/safe/a", endless(unterminated_head, b"A: b\r\n"), 128 * 1024),
            ("/safe/a", endless(no_bytes, b"HTTP/1.1 100 C\r\n\r\n"), 128 * 1024),
            ("/safe/a", endless(begin(200, CHUNKED), chunk(b"x" * 999)), 16 << 20),
            ("/safe/a", endless(begin(200), b"x"), 16 << 20),
            ("/safe/a", endless(begin(500, CHUNKED), chunk(b"x" * 999)), 1 << 20),
            ("/once/a", endless(begin(503, CHUNKED, NOT_RUN), chunk(b"x")), 1 << 20),
            ("/stream/a", endless(begin(503, CHUNKED, NOT_RUN), chunk(b"x")), 1 << 20),
            ("/stream/a", endless(begin(500, CHUNKED), chunk(b"x" * 999)), 1 << 20),
            ("/stream/a", endless(begin(200, CHUNKED, EVENTS), chunk(b"x")), 2 << 20),
            (
                "/stream/a",
                endless(begin(200, CHUNKED, EVENTS), chunk(b"x\n\n")),
                2 << 20,
            ),
            ("/stream/a", endless(begin(200, EVENTS), b"\n"), 2 << 20),
        ],
        ids=[
            "first-line",
            "header",
            "informational",
            "chunked-body",
            "body-without-length",
            "failure",
            "not-run",
            "stream-not-run",
            "stream-failure",
            "event",
            "events-without-id",
            "empty-events",
        ],
    )
    async def test_caller_gets_the_answer_of_another_engine(
        self, fleet: Fleet, target: str, script: Script, limit_bytes: int
    ) -> None:
        healthy = stream_of(1, 3) if target.startswith("/stream") else answer_with_id
        request_count = 0

        async def first_endless(engine, stream, arrival):  # type: ignore[no-untyped-def]
            nonlocal request_count
            request_count += 1
            chosen = script if request_count == 1 else healthy
            return await chosen(engine, stream, arrival)

        script_all(fleet, first_endless, first_endless)
        answer = await request(fleet, target)
        assert answer.status == 200
        assert answer.complete
        if target.startswith("/stream"):
            assert answer.body == b"".join(event(i) for i in range(1, 4))
        await wait_until(
            lambda: sum(e.closed_by_peer for e in fleet.engines.values()) == 1
        )
        sent_bytes = sum(engine.endless_bytes for engine in fleet.engines.values())
        assert sent_bytes <= limit_bytes + BUFFERED_BYTES

    async def test_busy_instance_sends_an_endless_event_to_another_engine(
        self, fleet: Fleet
    ) -> None:
        """Bytes of the event always lay unread and were taken for a next event."""
        request_count = 0

        async def first_endless(engine, stream, arrival):  # type: ignore[no-untyped-def]
            nonlocal request_count
            request_count += 1
            endless_event = endless(begin(200, CHUNKED, EVENTS), chunk(b"x"))
            chosen = endless_event if request_count == 1 else stream_of(1, 3)
            return await chosen(engine, stream, arrival)

        async def keep_busy() -> None:
            while True:
                time.sleep(0.02)
                await trio.lowlevel.checkpoint()

        script_all(fleet, first_endless, first_endless)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_busy)
            answer = await request(fleet, "/stream/a")
            nursery.cancel_scope.cancel()
        assert (answer.status, answer.complete) == (200, True)

    async def test_endless_bytes_after_an_answer_close_the_connection(
        self, fleet: Fleet
    ) -> None:
        script_all(fleet, endless(short_answer, b"x"))
        answer = await request(fleet, "/safe/a")
        assert (answer.status, answer.body) == (200, b"answer")
        await wait_until(
            lambda: sum(e.closed_by_peer for e in fleet.engines.values()) == 1
        )
        sent_bytes = sum(engine.endless_bytes for engine in fleet.engines.values())
        assert sent_bytes <= BUFFERED_BYTES

    async def test_concurrent_endless_answers_fit_in_half_of_the_memory(
        self, fleet: Fleet
    ) -> None:
        """Each answer is within its limit, but together they would fill the memory."""
        script = endless(begin(200), b"x" * (1 << 18))
        script_all(fleet, *[script] * ANSWERS)
        answers: list[Answer] = []
        before_bytes = resident_bytes()
        peak_bytes = 0

        async def watch() -> None:
            nonlocal peak_bytes
            while True:
                peak_bytes = max(peak_bytes, resident_bytes() - before_bytes)
                await trio.sleep(0.01)

        async def request_one(number: int) -> None:
            caller = fleet.caller()
            await caller.send("/once/a", request_id=f"r-{number}")
            answers.append(await caller.receive_answer())

        with trio.fail_after(20.0):
            async with trio.open_nursery() as watching:
                watching.start_soon(watch)
                async with trio.open_nursery() as nursery:
                    for number in range(ANSWERS):
                        nursery.start_soon(request_one, number)
                watching.cancel_scope.cancel()
        # The engines may have run the requests, so no status below 502 is true.
        assert [answer.status for answer in answers if answer.status < 502] == []
        assert peak_bytes <= SMALLEST_INSTANCE_BYTES // 2


OK = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
ENDLESS = {
    "first-line": (b"", b"x", 128 * 1024),
    "header": (OK, b"A: b\r\n", 128 * 1024),
    "informational": (b"", b"HTTP/1.1 100 C\r\n\r\n", 128 * 1024),
    "chunked-body": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        chunk(b"x" * 999),
        LISTING_MAX_BYTES,
    ),
    "body-without-length": (OK + b"\r\n", b"x", LISTING_MAX_BYTES),
    "huge-length": (
        OK + b"Content-Length: 99999999999\r\n\r\n",
        b"x",
        LISTING_MAX_BYTES,
    ),
}


class EndlessServer:
    """Sends the same bytes again and again after a beginning, until it is closed."""

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self.sent_bytes = 0
        self.port = 0
        self._beginning = beginning
        self._page = repeated * max(1, 16384 // len(repeated))

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            await stream.receive_some(65536)
            await stream.send_all(self._beginning)
            while True:
                await stream.send_all(self._page)
                self.sent_bytes += len(self._page)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


@pytest.mark.parametrize(
    ("beginning", "repeated", "limit_bytes"), ENDLESS.values(), ids=ENDLESS
)
class TestOtherEndlessAnswers:
    @pytest.mark.parametrize("call", ["listing", "poll", "write"])
    async def test_endless_answer_of_the_store_ended_the_part_that_follows_it(
        self, beginning: bytes, repeated: bytes, limit_bytes: int, call: str
    ) -> None:
        """Its error was none that a failing store may raise."""
        server = EndlessServer(beginning, repeated)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            client = StoreClient(Address("127.0.0.1", server.port))
            client.era = 1
            calls = {
                "listing": lambda: client.rows("servers"),
                "poll": lambda: client.changes("servers", StoreVersion(1, 3), 10.0),
                "write": lambda: client.write("routers", "g-1", b"{}"),
            }
            with (
                trio.fail_after(5.0),
                pytest.raises((PlatformUnavailable, AnswerLost)),
            ):
                await calls[call]()
            nursery.cancel_scope.cancel()
        assert server.sent_bytes <= limit_bytes + BUFFERED_BYTES

    async def test_endless_listing_of_an_instance_is_bounded(
        self, beginning: bytes, repeated: bytes, limit_bytes: int
    ) -> None:
        server = EndlessServer(beginning, repeated)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            client = HttpClient(timeout_s=LISTING_TIMEOUT_S)
            with trio.fail_after(5.0), pytest.raises(TeaseldykeError):
                await client.request("GET", "127.0.0.1", server.port, LISTING_TARGET)
            nursery.cancel_scope.cancel()
        assert server.sent_bytes <= 2 * limit_bytes + BUFFERED_BYTES
