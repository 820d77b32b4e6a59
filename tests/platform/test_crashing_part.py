"""A part of a prompt that crashes each engine that begins to answer it."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import (
    Answer,
    Fleet,
    configuration,
    route,
    running_fleet,
    wait_until,
)
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    chunk,
    event,
    hang,
    reset,
    stream_of,
)

PREFIX = "X-Teaseldyke-Prompt-Prefix"
SHARED, CRASHING, OTHER = "5c1e07a2", "dead06ff", "91bd3f06"
ENGINES = 4
DOWN_S = 0.4  # from a crash to the engine's next start
BEGINS_S = 0.02  # from the header of an answer to its first event
FREE_CRASHES = 5  # after them, few more requests may reach an engine
LATE_MAX = 3


def parts_of(arrival: Arrival) -> list[str]:
    """Return the parts of an arrived prompt."""
    listed = arrival.headers.get(PREFIX.lower(), "")
    return [entry.partition(":")[0] for entry in listed.split(",") if entry]


@attrs.define(eq=False)
class CrashingEngines:
    """Three gateways before engines that crash under one part."""

    fleet: Fleet
    crashes: int = 0
    sent_late: int = 0
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def answer(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        """Answer a stream, or crash when it begins."""
        if CRASHING not in parts_of(arrival)[:-1]:
            first = int(arrival.headers.get("last-event-id", 0)) + 1
            return bool(await stream_of(first, 4)(engine, stream, arrival))
        if self.crashes >= FREE_CRASHES:
            self.sent_late += 1
        head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
        await stream.send_all(head + b"\r\n")
        await trio.sleep(BEGINS_S)
        self.crashes += 1
        self.fleet.nursery.start_soon(self.restart, engine)
        engine.crash()
        return False

    def assert_nothing_accused(self) -> None:
        """Check that no gateway blames a part of a prompt."""
        for gateway in self.fleet.gateways:
            reports = gateway.evidence.reports(0.0)
            assert not [report for report in reports if not report.is_request]
            assert not gateway.evidence.quarantined

    def assert_nothing_held(self) -> None:
        """Check that no gateway refuses a part or a request."""
        for gateway in self.fleet.gateways:
            assert not gateway.evidence.quarantined
            assert not gateway.evidence.held

    async def restart(self, engine: EngineStandin) -> None:
        await trio.sleep(DOWN_S)
        engine.scripts = [self.answer] * 1000
        await self.fleet.nursery.start(engine.run)
        self.fleet.store.put("servers", engine.id, engine.entry("app"))

    async def request(self, *parts: str, target: str = "/stream/a") -> Answer:
        """Send a prompt with the parts and one of its own through any gateway."""
        number = next(self.numbers)
        gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
        listed = ",".join(f"{part}:500" for part in (*parts, f"{number:08x}"))
        return await self.fleet.caller(gateway).request(
            target, headers={PREFIX: listed}, request_id=f"r-{number}"
        )


def quarantine(gateway: Gateway) -> None:
    """Have an instance know of two crashes under the part."""
    now_s = boot_time_s()
    for crash, age_s in (("e-7:1", 2.0), ("e-8:1", 1.0)):
        gateway.evidence.accuse(
            crash, [(CRASHING, 1), ("own", 1)], now_s - age_s, now_s
        )


@pytest.fixture
async def crashing() -> AsyncIterator[CrashingEngines]:
    async with running_fleet(engines=ENGINES) as fleet:
        value = configuration(2)
        value["routes"].append(
            route("many", "streaming", "app", resumable=True, maxAttempts=4)
        )
        fleet.store.put("op", "config", value)
        for i in (2, 3):
            await fleet.add_gateway(f"g-{i}")
        for gateway in fleet.gateways:
            await wait_until(
                lambda gateway=gateway: (
                    gateway.is_ready
                    and gateway.view.table.version == 2
                    and len(gateway.view.states_of("app")) == ENGINES
                    and gateway.totals.instances == 3
                )
            )
        running = CrashingEngines(fleet)
        for engine in fleet.engines.values():
            engine.scripts = [running.answer] * 1000
        yield running


class TestCrashingPart:
    async def test_requests_with_it_stop_reaching_engines_and_sound_ones_are_served(
        self, crashing: CrashingEngines
    ) -> None:
        """They went on as long as they came, each to two engines."""
        sound: list[Answer] = []
        refused: list[Answer] = []

        async def send_sound(i: int) -> None:
            sound.append(await crashing.request(SHARED, f"{i % 3:08x}"))

        async def send_crashing(i: int) -> None:
            refused.append(await crashing.request(SHARED, f"{i % 3:08x}", CRASHING))

        async with trio.open_nursery() as nursery:
            for i in range(60):
                nursery.start_soon(send_sound, i)
                if i % 2:
                    nursery.start_soon(send_crashing, i)
                await trio.sleep(0.06)
        assert crashing.sent_late <= LATE_MAX
        assert all(answer.status in (502, 503) for answer in refused)
        served = sum(answer.status == 200 and answer.complete for answer in sound)
        assert served >= 0.9 * len(sound)

    async def test_caller_is_told_at_once_and_not_asked_to_come_back(
        self, crashing: CrashingEngines
    ) -> None:
        for gateway in crashing.fleet.gateways:
            quarantine(gateway)
        answer = await crashing.request(SHARED, CRASHING)
        assert answer.status == 503
        assert "retry-after" not in answer.headers
        assert b"prompt_quarantined" in answer.body
        assert crashing.fleet.arrivals == 0

    async def test_request_whose_engine_crashed_goes_to_no_second_engine(
        self, crashing: CrashingEngines
    ) -> None:
        """Each request with the part crashed as many engines as it had attempts."""
        answer = await crashing.request(SHARED, CRASHING, target="/many/a")
        assert answer.status == 502
        assert crashing.crashes == 1

    async def test_request_in_a_queue_is_refused_once_its_part_is_quarantined(
        self, crashing: CrashingEngines
    ) -> None:
        gateway = crashing.fleet.gateways[0]
        for state in gateway.view.all_states():
            state.mark_full(float("inf"))
        crashing.numbers = itertools.count(3)  # the first gateway
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crashing.request, SHARED, CRASHING)
            await wait_until(lambda: gateway.placer.waiting == 1)
            quarantine(gateway)
            await wait_until(lambda: not gateway.placer.waiting, 0.5)

    async def test_request_at_an_engine_is_taken_back_before_its_answer_begins(
        self, crashing: CrashingEngines
    ) -> None:
        """It crashed an engine although its part was known."""
        for engine in crashing.fleet.engines.values():
            engine.scripts = [hang]
        crashing.numbers = itertools.count(3)  # the first gateway
        answers: list[Answer] = []

        async def send() -> None:
            answers.append(await crashing.request(SHARED, CRASHING, target="/single/a"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_until(lambda: crashing.fleet.arrivals == 1)
            quarantine(crashing.fleet.gateways[1])  # which tells the first
            await wait_until(lambda: bool(answers), 1.0)
        assert answers[0].status == 502
        engines = crashing.fleet.engines.values()
        await wait_until(lambda: sum(e.closed_by_peer for e in engines) == 1)
        assert crashing.fleet.arrivals == 1

    async def test_instance_that_has_just_started_learns_of_it_from_others(
        self, crashing: CrashingEngines
    ) -> None:
        quarantine(crashing.fleet.gateways[0])
        late = await crashing.fleet.add_gateway("g-late")
        await wait_until(lambda: late.evidence.quarantined == {CRASHING}, 2.0)


class TestOtherFailures:
    """None of them may put a sound part away."""

    async def test_answer_that_breaks_off_accuses_nothing(
        self, crashing: CrashingEngines
    ) -> None:
        async def break_off(
            _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
        ) -> bool:
            head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
            await stream.send_all(head + b"\r\n")
            await stream.aclose()
            return False

        for engine in crashing.fleet.engines.values():
            engine.scripts = [break_off, reset, break_off]
        for _ in range(6):
            await crashing.request(OTHER, target="/many/a")
        crashing.assert_nothing_accused()
        crashing.assert_nothing_held()

    async def test_crash_holds_no_part_of_a_stream_that_had_begun(
        self, crashing: CrashingEngines
    ) -> None:
        async def begin_and_crash(
            engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
        ) -> bool:
            head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
            await stream.send_all(head + b"\r\n" + chunk(event(1)))
            await trio.sleep(BEGINS_S)
            engine.crash()
            return False

        scripts = [begin_and_crash]

        async def crash_once(*fields: Any) -> bool:
            script = scripts.pop() if scripts else crashing.answer
            return bool(await script(*fields))

        for engine in crashing.fleet.engines.values():
            engine.scripts = [crash_once] * 2
        answer = await crashing.request(SHARED)
        assert answer.complete
        assert answer.body == b"".join(event(i) for i in range(1, 5))
        crashing.assert_nothing_held()

    async def test_crash_before_any_answer_holds_no_part_and_is_repeated(
        self, crashing: CrashingEngines
    ) -> None:
        async def crash(
            engine: EngineStandin, _stream: trio.SocketStream, _arrival: Arrival
        ) -> bool:
            engine.crash()
            return False

        for engine in crashing.fleet.engines.values():
            engine.scripts = [crash, *[crashing.answer] * 1000]
        await crashing.request(OTHER, target="/many/a")
        assert crashing.fleet.arrivals > 1
        for gateway in crashing.fleet.gateways:
            assert not gateway.evidence.quarantined
