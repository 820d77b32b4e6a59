"""Open connections to servers fall silent for good, while new ones work."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.timers import boot_time_s
from tests.platform.conftest import Answer, Fleet, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    chunk,
    complete_answer,
    event,
)
from tests.platform.test_silent_servers import (
    EVENTS,
    FOR_GOOD_S,
    STREAM,
    assert_whole,
    be_silent,
    silent_fleet,
    stream_on,
)

ENGINES = 3
WARM_REQUESTS = 12  # at a time, so that each engine keeps several idle connections
WARM_S = 0.1
GAP_S = 0.05  # of a stream, in which its connection is silenced
SCRIPTS = 400
REFUSED_PAUSE_S = 0.05
SENDS_MAX = 5  # of a caller whose request was refused
ANSWER = b"whole"
DEADLINE_HEADER = "X-Teaseldyke-Deadline-Ms"


@attrs.define(eq=False)
class OpenConnections:
    """Script of all engines; answers on connections that were not silenced.

    Attributes
    ----------
    plain_s : float
        Processing time of plain requests.
    first_s : float
        Time to the first event of a stream.
    reset_after_s : float
        Silence after which a silenced connection is closed.
    paused_until_s : float
        If set, silenced connections go on then, since their server has only paused.
    silenced : dict
        For each engine, the number of its last silenced connection.
    arrived, runs : Counter
        Requests that came and that ran, by id.
    begun : int
        Streams that have got two events.
    """

    plain_s: float = WARM_S
    first_s: float = 0.0
    reset_after_s: float = FOR_GOOD_S
    paused_until_s: float = 0.0
    silenced: dict[str, int] = attrs.field(factory=dict)
    arrived: Counter[str] = attrs.field(factory=Counter)
    runs: Counter[str] = attrs.field(factory=Counter)
    begun: int = 0

    def silence(self, fleet: Fleet) -> None:
        """Silence the open connections of all engines for good."""
        for engine in fleet.engines.values():
            self.silenced[engine.id] = engine.connections

    async def can_go_on(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        if arrival.connection > self.silenced.get(engine.id, 0):
            return True
        if not self.paused_until_s:
            await be_silent(engine, stream, self.reset_after_s)
            return False
        pause_s = self.paused_until_s - trio.current_time()
        return pause_s <= 0.0 or await be_silent(engine, stream, pause_s)

    async def __call__(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        request_id = arrival.headers["x-teaseldyke-request-id"]
        self.arrived[request_id] += 1
        if not await self.can_go_on(engine, stream, arrival):
            return False
        self.runs[request_id] += 1
        if not arrival.target.startswith(("/stream", "/fixed", "/single")):
            await trio.sleep(self.plain_s)
            await stream.send_all(complete_answer(arrival, ANSWER))
            return True
        done = int(arrival.headers.get("last-event-id", "0"))
        await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
        await trio.sleep(self.first_s if not done else 0.0)
        for number in range(done + 1, EVENTS + 1):
            if not await self.can_go_on(engine, stream, arrival):
                return False
            await stream.send_all(chunk(event(number)))
            if number != 2:
                continue
            self.begun += 1
            await trio.sleep(GAP_S)
        await stream.send_all(b"0\r\n\r\n")
        return True


@asynccontextmanager
async def warm_fleet(
    *, is_engine: bool = True, engines: int = ENGINES
) -> AsyncIterator[tuple[Fleet, OpenConnections]]:
    """Run a fleet whose pool has idle connections to each engine."""
    async with silent_fleet(
        stream_on(), stream_on(), engines=engines, is_engine=is_engine
    ) as (fleet, _):
        script = OpenConnections()
        for engine in fleet.engines.values():
            engine.scripts = [script] * SCRIPTS
        answers = await ask_many(fleet, "/safe/a", WARM_REQUESTS, prefix="warm")
        assert [answer.status for answer in answers] == [200] * WARM_REQUESTS
        assert min(engine.connections for engine in fleet.engines.values()) >= 2
        script.plain_s = 0.01
        script.runs.clear()
        script.arrived.clear()
        yield fleet, script


async def ask(
    fleet: Fleet, target: str, request_id: str, deadline_ms: int = 7000
) -> Answer:
    """Return the answer; repeats a request that an instance late itself refused."""
    headers = {DEADLINE_HEADER: str(deadline_ms)}
    for _ in range(SENDS_MAX):
        caller = fleet.caller()
        answer = await caller.request(target, headers=headers, request_id=request_id)
        await caller.close()
        if answer.status != 503 or b'"busy"' not in answer.body:
            break
        await trio.sleep(REFUSED_PAUSE_S)
    return answer


async def ask_many(
    fleet: Fleet, target: str, count: int, deadline_ms: int = 7000, prefix: str = "r"
) -> list[Answer]:
    answers: list[Answer] = []

    async def send(request_id: str) -> None:
        answers.append(await ask(fleet, target, request_id, deadline_ms))

    async with trio.open_nursery() as nursery:
        for i in range(count):
            nursery.start_soon(send, f"{prefix}-{i}")
    return answers


class TestSecondSends:
    """The second server was sent the request on a connection that was silent, too."""

    @pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain"])
    async def test_stream_silenced_between_events_is_continued_elsewhere(
        self, is_engine: bool
    ) -> None:
        async with warm_fleet(is_engine=is_engine) as (fleet, script):
            async with trio.open_nursery() as nursery:
                answers: list[Answer] = []

                async def send() -> None:
                    answers.append(await ask(fleet, "/stream/a", "r-1", 4000))

                nursery.start_soon(send)
                await wait_until(lambda: script.begun)
                script.silence(fleet)
            assert_whole(answers[0])
            assert script.arrived["r-1"] == 2

    @pytest.mark.parametrize("target", ["/stream/a", "/safe/a"])
    @pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain"])
    async def test_request_sent_on_a_silenced_connection_is_answered_elsewhere(
        self, target: str, is_engine: bool
    ) -> None:
        async with warm_fleet(is_engine=is_engine) as (fleet, script):
            script.silence(fleet)
            answer = await ask(fleet, target, "r-1", 4000)
            assert (answer.status, answer.complete) == (200, True)
            assert script.arrived["r-1"] == 2

    async def test_retry_after_a_silence_is_sent_on_a_connection_that_works(
        self,
    ) -> None:
        async with warm_fleet(engines=2) as (fleet, script):
            script.silence(fleet)
            script.reset_after_s = 1.8
            gateway = fleet.gateways[0]
            gateway.view.state("e-1").mark_full(boot_time_s() + 2.0)
            answer = await ask(fleet, "/stream/a", "r-1", 5000)
            assert_whole(answer)

    async def test_busy_server_gets_second_sends_on_proven_connections(self) -> None:
        """Connections that have worked since the silence began are reused."""
        streams = 6
        async with warm_fleet(engines=2) as (fleet, script):
            first, other = fleet.engines["e-0"], fleet.engines["e-1"]
            state = fleet.gateways[0].view.state("e-1")
            state.mark_full(boot_time_s() + 0.3)
            answers: list[Answer] = []

            async def send(i: int) -> None:
                answers.append(await ask(fleet, "/stream/a", f"r-{i}"))

            async with trio.open_nursery() as nursery:
                for i in range(streams):
                    nursery.start_soon(send, i)
                await wait_until(lambda: script.begun == streams)
                script.silenced[first.id] = first.connections
                await trio.sleep(0.5)
                fleet.gateways[0].view.state("e-0").mark_full(boot_time_s() + 9.0)
                await ask_many(fleet, "/safe/a", streams, prefix="busy")
                connections = other.connections
            for answer in answers:
                assert_whole(answer)
            assert sum(script.arrived[f"r-{i}"] for i in range(streams)) > streams
            assert other.connections == connections


class TestShortTime:
    """Streams of callers that wait 2.5 s were due when their time was over."""

    @pytest.mark.parametrize("first_s", [0.7, 0.8, 0.9])
    async def test_streams_are_continued_elsewhere_within_their_time(
        self, first_s: float
    ) -> None:
        streams = 12
        async with warm_fleet(engines=2) as (fleet, script):
            script.first_s = first_s
            fleet.gateways[0].view.state("e-1").mark_full(boot_time_s() + 0.3)
            answers: list[Answer] = []

            async def send(i: int) -> None:
                answers.append(await ask(fleet, "/stream/a", f"r-{i}", 2500))

            async with trio.open_nursery() as nursery:
                for i in range(streams):
                    nursery.start_soon(send, i)
                await wait_until(lambda: script.begun == streams)
                script.silence(fleet)
            whole = sum(answer.complete for answer in answers)
            assert (whole, len(answers)) == (streams, streams)


class TestPause:
    """A sound server that pauses is no reason for many connections or sends."""

    @pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain"])
    @pytest.mark.parametrize("deadline_ms", [2500, 7000])
    @pytest.mark.parametrize(("pause_s", "most"), [(0.9, 0), (1.25, 8)])
    async def test_pause_opens_no_more_connections_than_second_sends(
        self, pause_s: float, most: int, deadline_ms: int, is_engine: bool
    ) -> None:
        streams = 16
        async with warm_fleet(engines=2, is_engine=is_engine) as (fleet, script):
            first, other = fleet.engines["e-0"], fleet.engines["e-1"]
            view = fleet.gateways[0].view
            view.state("e-1").mark_full(boot_time_s() + 0.3)
            answers: list[Answer] = []

            async def send(i: int) -> None:
                answers.append(await ask(fleet, "/stream/a", f"r-{i}", deadline_ms))

            async with trio.open_nursery() as nursery:
                for i in range(streams):
                    nursery.start_soon(send, i)
                await wait_until(lambda: script.begun == streams)
                script.silenced[first.id] = first.connections
                script.paused_until_s = trio.current_time() + pause_s
                connections = first.connections, other.connections
            for answer in answers:
                assert_whole(answer)
            second_sends = sum(script.arrived.values()) - streams
            assert second_sends <= most
            assert other.connections - connections[1] <= second_sends
            assert first.connections == connections[0]
