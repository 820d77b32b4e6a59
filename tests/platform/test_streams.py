"""Streams on loopback: complete events, once and in order, across engines."""

from __future__ import annotations

from typing import Any

import pytest

from tests.platform.conftest import (
    Fleet,
    script_all,
    wait_until,
)
from tests.platform.standins import (
    Arrival,
    event,
    hang,
    stream_of,
)

KEY = {"Authorization": "Token key-1"}


class TestStreams:
    async def test_events_are_relayed_in_order(self, fleet: Fleet) -> None:
        script_all(fleet, stream_of(1, 5))
        answer = await fleet.caller().request("/stream/a")
        assert answer.body == b"".join(event(i) for i in range(1, 6))
        assert answer.complete

    @pytest.mark.parametrize("partial", [b"", b"id: 3\ndata: to"])
    async def test_broken_stream_resumes_on_another_engine(
        self, fleet: Fleet, partial: bytes
    ) -> None:
        broken = stream_of(1, 5, cut_after=2, partial=partial)

        async def resume(engine: Any, stream: Any, arrival: Arrival) -> Any:
            first = int(arrival.headers["last-event-id"]) + 1
            return await stream_of(first, 5)(engine, stream, arrival)

        async def break_or_resume(engine: Any, stream: Any, arrival: Arrival) -> Any:
            resumed = "last-event-id" in arrival.headers
            return await (resume if resumed else broken)(engine, stream, arrival)

        script_all(fleet, break_or_resume)
        answer = await fleet.caller().request("/stream/a")
        assert answer.body == b"".join(event(i) for i in range(1, 6))
        assert answer.complete
        assert fleet.arrivals == 2

    async def test_last_event_id_of_the_caller_is_forwarded(self, fleet: Fleet) -> None:
        script_all(fleet, stream_of(8, 9))
        await fleet.caller().request("/stream/a", headers={"Last-Event-Id": "7"})
        (arrival,) = [a for e in fleet.engines.values() for a in e.arrivals]
        assert arrival.headers["last-event-id"] == "7"

    @pytest.mark.parametrize("wrong_first", [1, 2, 4])
    async def test_stream_resumed_at_the_wrong_event_is_broken_off(
        self, fleet: Fleet, wrong_first: int
    ) -> None:
        async def break_or_resume(engine: Any, stream: Any, arrival: Arrival) -> Any:
            resumed = "last-event-id" in arrival.headers
            script = (
                stream_of(wrong_first, 5) if resumed else stream_of(1, 5, cut_after=2)
            )
            return await script(engine, stream, arrival)

        script_all(fleet, break_or_resume)
        answer = await fleet.caller().request("/stream/a")
        assert not answer.complete
        assert answer.body == event(1) + event(2)

    @pytest.mark.parametrize("target", ["/single/a"])
    async def test_broken_stream_with_one_attempt_ends_incomplete(
        self, fleet: Fleet, target: str
    ) -> None:
        script_all(fleet, stream_of(1, 5, cut_after=2, partial=b"id: 3\nda"))
        answer = await fleet.caller().request(target)
        assert answer.body == event(1) + event(2)
        assert not answer.complete
        assert fleet.arrivals == 1

    async def test_caller_disconnect_closes_the_engine_connection(
        self, fleet: Fleet
    ) -> None:
        script_all(fleet, hang)
        caller = fleet.caller()
        await caller.send("/stream/a")
        await wait_until(lambda: fleet.arrivals == 1)
        await caller.close()
        await wait_until(
            lambda: sum(e.closed_by_peer for e in fleet.engines.values()) == 1,
            timeout_s=0.5,
        )
