"""Engines that send bytes without end, in a head or a body, until they are cut off."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from tests.platform.conftest import Answer, Fleet, script_all, until
from tests.platform.standins import (
    Arrival,
    Script,
    answer_whole,
    chunk,
    endless,
    event,
    head_of,
    stream_of,
    whole,
)

SMALLEST_INSTANCE_BYTES = 128 * 1024 * 1024
BUFFERED_BYTES = 12 * 1024 * 1024  # in the sockets of both sides on loopback, at most
ANSWERS = 24  # slots of a small plain service
PAGE_BYTES = 4096
CHUNKED = "Transfer-Encoding: chunked"
NOT_RUN = "X-Teaseldyke-Not-Run: 1"
EVENTS = "Content-Type: text/event-stream"


def begin(status: int = 200, *lines: str) -> Script:
    def make(arrival: Arrival) -> bytes:
        return head_of(arrival, status, *lines) + b"\r\n"

    return make


def resident_bytes() -> int:
    """Return the memory of this process, which runs the instance."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def nothing(_arrival: Arrival) -> bytes:
    return b""


def open_head(arrival: Arrival) -> bytes:
    return head_of(arrival)


def whole_answer(arrival: Arrival) -> bytes:
    return whole(arrival, b"answer")


async def request(fleet: Fleet, target: str) -> Answer:
    with trio.fail_after(3.0):  # the routes' time limit
        return await fleet.caller().request(target)


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("target", "script", "limit_bytes"),
        [
            ("/safe/a", endless(nothing, b"x"), 128 * 1024),
            ("/safe/a", endless(open_head, b"A: b\r\n"), 128 * 1024),
            ("/safe/a", endless(nothing, b"HTTP/1.1 100 C\r\n\r\n"), 128 * 1024),
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
        sound = stream_of(1, 3) if target.startswith("/stream") else answer_whole
        asked = 0

        async def first_endless(engine, stream, arrival):  # type: ignore[no-untyped-def]
            nonlocal asked
            asked += 1
            chosen = script if asked == 1 else sound
            return await chosen(engine, stream, arrival)

        script_all(fleet, first_endless, first_endless)
        answer = await request(fleet, target)
        assert answer.status == 200
        assert answer.complete
        if target.startswith("/stream"):
            assert answer.body == b"".join(event(i) for i in range(1, 4))
        await until(lambda: sum(e.closed for e in fleet.engines.values()) == 1)
        poured = sum(engine.poured_bytes for engine in fleet.engines.values())
        assert poured <= limit_bytes + BUFFERED_BYTES

    async def test_bytes_after_an_answer_end_with_its_connection(
        self, fleet: Fleet
    ) -> None:
        script_all(fleet, endless(whole_answer, b"x"))
        answer = await request(fleet, "/safe/a")
        assert (answer.status, answer.body) == (200, b"answer")
        await until(lambda: sum(e.closed for e in fleet.engines.values()) == 1)
        poured = sum(engine.poured_bytes for engine in fleet.engines.values())
        assert poured <= BUFFERED_BYTES

    async def test_many_at_once_leave_half_of_the_smallest_instance(
        self, fleet: Fleet
    ) -> None:
        """Each is within the limit of one answer; together they would fill it."""
        script = endless(begin(200), b"x" * (1 << 18))
        script_all(fleet, *[script] * ANSWERS)
        answers: list[Answer] = []
        before_bytes = resident_bytes()
        most_bytes = 0

        async def watch() -> None:
            nonlocal most_bytes
            while True:
                most_bytes = max(most_bytes, resident_bytes() - before_bytes)
                await trio.sleep(0.01)

        async def one(number: int) -> None:
            caller = fleet.caller()
            await caller.send("/once/a", request_id=f"r-{number}")
            answers.append(await caller.answer())

        with trio.fail_after(20.0):
            async with trio.open_nursery() as watching:
                watching.start_soon(watch)
                async with trio.open_nursery() as nursery:
                    for number in range(ANSWERS):
                        nursery.start_soon(one, number)
                watching.cancel_scope.cancel()
        # The engines may have run them.
        assert [answer.status for answer in answers if answer.status < 502] == []
        assert most_bytes <= SMALLEST_INSTANCE_BYTES // 2
