"""A server falls silent in the middle of an answer, for a while or for good."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.gateway import FleetBounds
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
    Script,
    answer_head,
    answer_with,
    chunk,
    complete_answer,
    event,
    not_run,
    reset,
)

EVENTS = 5
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))
STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
PATIENT = {"X-Teaseldyke-Deadline-Ms": "7000"}
SLOTS = 64  # of an engine
FOR_GOOD_S = 60.0
RESET_WITHIN_S = 0.4  # after the other attempt has brought an event
LATER = {"not-run": not_run(), "500": answer_with(500), "reset": reset}
PLACES = ["head", "first", "between"]


@attrs.define(eq=False)
class FirstAndLater:
    """Runs the first script for the first request, and others for all later ones.

    Attributes
    ----------
    arrived : list of (str, Arrival, float)
        Engine, request and time of each send.
    closed : list of (str, float)
        Engines whose connection the instance closed in a silence, and when.
    """

    first: Script
    later: Script
    arrived: list[tuple[str, Arrival, float]] = attrs.field(factory=list)
    closed: list[tuple[str, float]] = attrs.field(factory=list)

    async def __call__(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        is_first = not self.arrived
        self.arrived.append((engine.id, arrival, trio.current_time()))
        script = self.first if is_first else self.later
        was_closed = engine.closed_by_peer
        try:
            return await script(engine, stream, arrival)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.append((engine.id, trio.current_time()))
            raise
        finally:
            if engine.closed_by_peer > was_closed:
                self.closed.append((engine.id, trio.current_time()))


async def be_silent(
    engine: EngineStandin, stream: trio.SocketStream, silent_s: float
) -> bool:
    """Send nothing for a while; return whether the connection is still open."""
    with trio.move_on_after(silent_s):
        await stream.receive_some(1)
        engine.closed_by_peer += 1
        return False
    return True


def silent_stream(
    place: str, silent_s: float, *, partial: bytes = b"", last: int = EVENTS
) -> Script:
    """Return a script of a stream with a silence at one place.

    It begins after the event that the request names.
    """

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        done = int(arrival.headers.get("last-event-id", "0"))
        numbers = list(range(done + 1, last + 1))
        if place == "head" and not await be_silent(engine, stream, silent_s):
            return False
        await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
        if place == "first" and not await be_silent(engine, stream, silent_s):
            return False
        for number in numbers:
            await stream.send_all(chunk(event(number)))
            await trio.sleep(0.002)
            if place != "between" or number != done + 2:
                continue
            if partial:
                await stream.send_all(chunk(partial))
            if not await be_silent(engine, stream, silent_s):
                return False
            if partial:
                rest = event(number + 1)[len(partial) :]
                await stream.send_all(chunk(rest))
                numbers.remove(number + 1)
        await stream.send_all(b"0\r\n\r\n")
        return True

    return script


def stream_on() -> Script:
    """Return a script of a stream without silence, from the event that is due."""
    return silent_stream("none", 0.0)


def silent_plain(silent_s: float) -> Script:
    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        if not await be_silent(engine, stream, silent_s):
            return False
        await stream.send_all(complete_answer(arrival, b"of the first"))
        return True

    return script


@asynccontextmanager
async def silent_fleet(
    first: Script,
    later: Script,
    engines: int = 2,
    bounds: FleetBounds | None = None,
    *,
    is_engine: bool = True,
) -> AsyncIterator[tuple[Fleet, FirstAndLater]]:
    """Run a fleet whose routes and callers allow longer silences."""
    async with running_fleet(engines=engines) as fleet:
        value = configuration(version=2)
        value["routes"] = [
            route("safe", "idempotent", "app", timeoutMs=8000),
            route("once", "non_idempotent", "app", timeoutMs=8000),
            route("stream", "streaming", "app", resumable=True, gapAimMs=100),
            route("fixed", "streaming", "app", gapAimMs=100),
            route(
                "single",
                "streaming",
                "app",
                resumable=True,
                maxAttempts=1,
                gapAimMs=100,
            ),
        ]
        for fields in value["routes"]:
            fields["timeoutMs"] = 8000
        if is_engine:
            value["services"][0]["engine"] = {"slots": SLOTS, "kvCapacityTokens": 10**6}
        fleet.store.put("op", "config", value)
        for engine in fleet.engines.values():
            fleet.store.put("servers", engine.id, engine.entry("app", slots=SLOTS))
        gateway = fleet.gateways[0]
        if bounds is not None:
            gateway.sender.update_bounds(bounds)
        await wait_until(
            lambda: gateway.view.table is not None and gateway.view.table.version == 2
        )
        states = gateway.view.states_of("app")
        await wait_until(lambda: all(s.server.slots == SLOTS for s in states))
        script = FirstAndLater(first, later)
        for engine in fleet.engines.values():
            engine.scripts = [script] * 64
        yield fleet, script


async def ask(fleet: Fleet, target: str = "/stream/a", **headers: str) -> Answer:
    return await fleet.caller().request(target, headers={**PATIENT, **headers})


def assert_whole(answer: Answer) -> None:
    assert (answer.status, answer.body, answer.complete) == (200, WHOLE, True)


class TestServerGoesOn:
    """An attempt was given up before another server had the request."""

    @pytest.mark.parametrize("later", LATER)
    @pytest.mark.parametrize(
        ("place", "silent_s"),
        [("between", 1.3), ("between", 2.2), ("head", 2.2), ("first", 2.2)],
    )
    async def test_stream_of_a_silent_engine_is_whole_though_later_sends_fail(
        self, place: str, silent_s: float, later: str
    ) -> None:
        async with silent_fleet(
            silent_stream(place, silent_s), LATER[later], engines=4
        ) as (fleet, _):
            assert_whole(await ask(fleet))

    @pytest.mark.parametrize("later", LATER)
    async def test_plain_answer_of_a_silent_server_arrives_though_later_sends_fail(
        self, later: str
    ) -> None:
        async with silent_fleet(
            silent_plain(1.2), LATER[later], engines=4, is_engine=False
        ) as (fleet, _):
            answer = await ask(fleet, "/safe/a")
        assert (answer.status, answer.body) == (200, b"of the first")

    @pytest.mark.parametrize("cause", ["no-other", "full", "budget", "leaving"])
    @pytest.mark.parametrize("place", ["head", "between"])
    async def test_stream_is_whole_though_no_other_engine_can_be_had(
        self, place: str, cause: str
    ) -> None:
        bounds = FleetBounds(0.0, 0.0, 10.0, 1.5, 5.0, 8.0)
        async with silent_fleet(
            silent_stream(place, 2.2),
            stream_on(),
            engines=1 if cause == "no-other" else 2,
            bounds=bounds if cause == "budget" else None,
        ) as (fleet, script):
            state = fleet.gateways[0].view.state("e-1")
            if cause == "full":
                state.mark_full(boot_time_s() + 60.0)
            if cause == "leaving":
                fleet.store.put(
                    "servers",
                    "e-1",
                    fleet.engines["e-1"].entry("app", state="draining"),
                )
                await wait_until(lambda: state.server.leaving)
            assert_whole(await ask(fleet))
            assert len(script.arrived) == 1

    async def test_late_instance_takes_its_own_pause_for_no_silence(self) -> None:
        """The events lay unread in the socket; the engine had been heard."""
        async with silent_fleet(silent_stream("between", 0.3), stream_on()) as (
            fleet,
            script,
        ):
            async with trio.open_nursery() as nursery:
                answers: list[Answer] = []

                async def send() -> None:
                    answers.append(await ask(fleet))

                nursery.start_soon(send)
                await wait_until(lambda: script.arrived)
                await trio.sleep(0.1)
                time.sleep(1.6)
            assert_whole(answers[0])
            assert len(script.arrived) == 1

    async def test_first_engine_that_goes_on_resets_the_second(self) -> None:
        async with silent_fleet(
            silent_stream("between", 1.9), silent_stream("first", FOR_GOOD_S)
        ) as (fleet, script):
            assert_whole(await ask(fleet))
            assert len(script.arrived) == 2
            (second, _, _) = script.arrived[1]
            await wait_until(
                lambda: [name for name, _ in script.closed] == [second],
                timeout_s=RESET_WITHIN_S,
            )

    async def test_part_of_an_event_is_completed_by_its_own_engine(self) -> None:
        async with silent_fleet(
            silent_stream("between", 2.2, partial=event(3)[:9]),
            silent_stream("first", FOR_GOOD_S),
        ) as (fleet, _):
            assert_whole(await ask(fleet))

    async def test_engine_silent_until_the_deadline_ends_the_answer_there(
        self,
    ) -> None:
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), stream_on(), engines=1
        ) as (fleet, _):
            started_s = trio.current_time()
            answer = await ask(fleet, **{"X-Teaseldyke-Deadline-Ms": "2600"})
            assert 2.4 < trio.current_time() - started_s < 3.0
            assert (answer.body, answer.complete) == (event(1) + event(2), False)


class TestServerStaysSilent:
    @pytest.mark.parametrize(
        ("place", "partial"),
        [*((place, b"") for place in PLACES), ("between", event(3)[:9])],
        ids=[*PLACES, "partial"],
    )
    async def test_second_engine_goes_on_and_the_first_is_reset(
        self, place: str, partial: bytes
    ) -> None:
        async with silent_fleet(
            silent_stream(place, FOR_GOOD_S, partial=partial), stream_on()
        ) as (fleet, script):
            started_s = trio.current_time()
            assert_whole(await ask(fleet))
            assert trio.current_time() - started_s < 2.4
            assert len(script.arrived) == 2
            (first, _, _) = script.arrived[0]
            await wait_until(
                lambda: [name for name, _ in script.closed] == [first],
                timeout_s=RESET_WITHIN_S,
            )

    async def test_first_stays_open_until_the_second_has_brought_an_event(self) -> None:
        """At most once: the first must end within 0.4 s of the second's beginning."""
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), silent_stream("first", 0.7)
        ) as (fleet, script):
            assert_whole(await ask(fleet))
            (_, _, arrived_s) = script.arrived[1]
            await wait_until(lambda: script.closed, timeout_s=RESET_WITHIN_S)
            ((_, closed_s),) = script.closed
            assert 0.65 < closed_s - arrived_s < 0.7 + RESET_WITHIN_S

    async def test_plain_answer_comes_from_the_second_server(self) -> None:
        async with silent_fleet(
            silent_plain(FOR_GOOD_S),
            answer_with(200, body=b"of the second"),
            is_engine=False,
        ) as (fleet, script):
            answer = await ask(fleet, "/safe/a")
            assert (answer.status, answer.body) == (200, b"of the second")
            await wait_until(lambda: script.closed, timeout_s=RESET_WITHIN_S)

    async def test_second_attempt_is_made_again_after_a_refusal(self) -> None:
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), stream_on(), engines=3
        ) as (fleet, script):
            resume = script.later

            async def refuse_once(engine: Any, stream: Any, arrival: Arrival) -> Any:
                chosen = not_run() if len(script.arrived) == 2 else resume
                return await chosen(engine, stream, arrival)

            script.later = refuse_once
            assert_whole(await ask(fleet))
            assert len(script.arrived) == 3

    async def test_engine_that_accepts_again_gets_the_second_attempt(self) -> None:
        async with silent_fleet(silent_stream("between", FOR_GOOD_S), stream_on()) as (
            fleet,
            script,
        ):
            state = fleet.gateways[0].view.state("e-1")
            state.mark_full(boot_time_s() + 1.6)
            assert_whole(await ask(fleet))
            assert len(script.arrived) == 2


class TestBounds:
    @pytest.mark.parametrize("target", ["/single/a", "/fixed/a"])
    async def test_stream_that_may_run_once_is_sent_once(self, target: str) -> None:
        async with silent_fleet(silent_stream("between", 2.2), stream_on()) as (
            fleet,
            script,
        ):
            assert_whole(await ask(fleet, target))
            assert len(script.arrived) == 1

    async def test_request_that_may_run_once_is_sent_once(self) -> None:
        async with silent_fleet(
            silent_plain(1.2), answer_with(200), is_engine=False
        ) as (fleet, script):
            answer = await ask(fleet, "/once/a")
            assert (answer.status, answer.body) == (200, b"of the first")
            assert len(script.arrived) == 1

    async def test_silent_request_runs_at_no_more_servers_than_its_route_allows(
        self,
    ) -> None:
        async with silent_fleet(
            silent_stream("first", FOR_GOOD_S),
            silent_stream("first", FOR_GOOD_S),
            engines=4,
        ) as (fleet, script):
            await ask(fleet, **{"X-Teaseldyke-Deadline-Ms": "4000"})
            assert len(script.arrived) == 2

    async def test_refused_second_attempts_stay_few(self) -> None:
        async with silent_fleet(
            silent_stream("between", 3.5), not_run(), engines=12
        ) as (fleet, script):
            assert_whole(await ask(fleet))
            assert 2 <= len(script.arrived) <= 4

    async def test_second_attempts_stay_within_the_budget(self) -> None:
        bounds = FleetBounds(0.0, 2.6, 10.0, 1.5, 5.0, 8.0)  # two retries
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), stream_on(), 1, bounds
        ) as (fleet, script):
            script.later = script.first
            async with trio.open_nursery() as nursery:
                for i in range(8):
                    nursery.start_soon(ask_impatient, fleet, f"r-{i}")
                await wait_until(lambda: len(script.arrived) == 8)
                await add_other(fleet)
            assert len(fleet.engines["e-other"].arrivals) == 2

    @pytest.mark.parametrize(("silent_s", "most"), [(0.9, 0), (1.25, 8)])
    async def test_pause_of_an_engine_with_many_streams_causes_few_second_attempts(
        self, silent_s: float, most: int
    ) -> None:
        streams = 16
        async with silent_fleet(silent_stream("between", silent_s), stream_on(), 1) as (
            fleet,
            script,
        ):
            script.later = script.first
            answers: list[Answer] = []

            async def send(request_id: str) -> None:
                answers.append(
                    await fleet.caller().request(
                        "/stream/a", headers=PATIENT, request_id=request_id
                    )
                )

            async with trio.open_nursery() as nursery:
                for i in range(streams):
                    nursery.start_soon(send, f"r-{i}")
                await wait_until(lambda: len(script.arrived) == streams)
                other = await add_other(fleet)
            assert len(answers) == streams
            for answer in answers:
                assert_whole(answer)
            assert len(other.arrivals) <= most


async def ask_impatient(fleet: Fleet, request_id: str) -> None:
    headers = {"X-Teaseldyke-Deadline-Ms": "3500"}
    await fleet.caller().request("/stream/a", headers=headers, request_id=request_id)


async def add_other(fleet: Fleet) -> EngineStandin:
    """Add an engine that continues streams, once the others have their requests."""
    other = await fleet.add_engine("e-other", slots=SLOTS)
    other.scripts = [stream_on()] * 64
    return other


class TestCallerLeaves:
    async def test_both_engines_are_reset(self) -> None:
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), silent_stream("first", FOR_GOOD_S)
        ) as (fleet, script):
            caller = fleet.caller()
            await caller.send("/stream/a", headers=PATIENT)
            await wait_until(lambda: len(script.arrived) == 2, timeout_s=3.0)
            assert not script.closed
            await caller.close()
            await wait_until(lambda: len(script.closed) == 2, timeout_s=0.5)
            await wait_until(lambda: not fleet.gateways[0].calls.running)

    async def test_both_engines_are_reset_at_the_deadline(self) -> None:
        async with silent_fleet(
            silent_stream("between", FOR_GOOD_S), silent_stream("first", FOR_GOOD_S)
        ) as (fleet, script):
            answer = await ask(fleet, **{"X-Teaseldyke-Deadline-Ms": "2600"})
            assert not answer.complete
            assert len(script.arrived) == 2
            await wait_until(lambda: len(script.closed) == 2, timeout_s=0.5)


@pytest.mark.parametrize("place", PLACES)
async def test_load_of_both_servers_is_released(place: str) -> None:
    async with silent_fleet(silent_stream(place, FOR_GOOD_S), stream_on()) as (
        fleet,
        _,
    ):
        assert_whole(await ask(fleet))
        states = fleet.gateways[0].view.states_of("app")
        await wait_until(
            lambda: not any(state.own_load.running for state in states), timeout_s=0.5
        )
