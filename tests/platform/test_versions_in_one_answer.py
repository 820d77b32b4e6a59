"""Streams that break off while engines of several software versions serve."""

from __future__ import annotations

from collections.abc import AsyncIterator

import attrs
import pytest
import trio

from tests.platform.conftest import Fleet, running_fleet, script_all, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    chunk,
    event,
    stream_of,
)

WHOLE = b"".join(event(number) for number in range(1, 6))
VERSIONS = {"e-0": "v1", "e-1": "v2", "e-2": "v1", "e-3": "v2"}


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """A fleet whose next engine for a stream, by latency, is of another version."""
    async with running_fleet(engines=0) as running:
        for name, version in VERSIONS.items():
            zone = "zone-a" if name in ("e-0", "e-1") else "zone-b"
            await running.add_engine(name, zone=zone, version=version)
        view = running.gateways[0].view
        await wait_until(lambda: len(view.states_of("app")) == len(VERSIONS))
        yield running


@attrs.define
class BreaksOff:
    """The stream's first engine sends some events and ends; the next ones go on.

    Attributes
    ----------
    engines : list of str
        Engines that got the stream, in order.
    may_break : trio.Event
        Set when the first engine is to end the stream.
    """

    events: int
    engines: list[str] = attrs.field(factory=list)
    may_break: trio.Event = attrs.field(factory=trio.Event)

    async def __call__(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        self.engines.append(engine.id)
        if len(self.engines) > 1:
            first = int(arrival.headers.get("last-event-id", "0")) + 1
            return bool(await stream_of(first, 5)(engine, stream, arrival))
        head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
        await stream.send_all(head + b"\r\n")
        for number in range(1, self.events + 1):
            await stream.send_all(chunk(event(number)))
        await self.may_break.wait()
        await stream.aclose()
        return False

    @property
    def versions(self) -> set[str]:
        """Versions of the engines that got the stream."""
        return {VERSIONS[name] for name in self.engines}


async def test_stream_within_one_answer_goes_on_at_its_version(fleet: Fleet) -> None:
    """It was joined from two versions."""
    for i in range(6):
        script = BreaksOff(events=2)
        script.may_break.set()
        script_all(fleet, script, script)
        answer = await fleet.caller().request("/stream/a", request_id=f"r-{i}")
        assert len(script.engines) == 2
        assert len(script.versions) == 1
        assert (answer.body, answer.complete) == (WHOLE, True)


async def test_stream_without_an_event_goes_on_at_any_version(fleet: Fleet) -> None:
    script = BreaksOff(events=0)
    script.may_break.set()
    script_all(fleet, script, script)
    answer = await fleet.caller().request("/stream/a")
    assert len(script.versions) == 2
    assert (answer.body, answer.complete) == (WHOLE, True)


async def test_stream_whose_version_has_left_is_cut_at_once(fleet: Fleet) -> None:
    """It was joined from two versions."""
    script = BreaksOff(events=2)
    script_all(fleet, script, script)
    caller = fleet.caller()
    await caller.send("/stream/a")
    await wait_until(lambda: bool(script.engines))
    (version,) = script.versions
    left = [name for name in VERSIONS if VERSIONS[name] == version]
    for name in left:
        entry = fleet.engines[name].entry("app", version=version, state="draining")
        fleet.store.put("servers", name, entry)
    view = fleet.gateways[0].view
    await wait_until(lambda: len(view.states_of("app")) == len(VERSIONS) - len(left))
    script.may_break.set()
    with trio.fail_after(1.0):
        answer = await caller.receive_answer()
    assert len(script.engines) == 1
    assert (answer.body, answer.complete) == (event(1) + event(2), False)


async def test_lone_engine_of_the_version_gets_its_stream_again(fleet: Fleet) -> None:
    """It was joined from two versions; one failed send is no reason to end it."""
    script = BreaksOff(events=2)
    script_all(fleet, script, script)
    caller = fleet.caller()
    await caller.send("/stream/a")
    await wait_until(lambda: bool(script.engines))
    (name,) = script.engines
    for other in VERSIONS:
        if VERSIONS[other] != VERSIONS[name] or other == name:
            continue
        entry = fleet.engines[other].entry(
            "app", version=VERSIONS[name], state="draining"
        )
        fleet.store.put("servers", other, entry)
    view = fleet.gateways[0].view
    await wait_until(lambda: len(view.states_of("app")) == len(VERSIONS) - 1)
    script.may_break.set()
    with trio.fail_after(3.0):
        answer = await caller.receive_answer()
    assert script.engines == [name, name]
    assert (answer.body, answer.complete) == (WHOLE, True)
