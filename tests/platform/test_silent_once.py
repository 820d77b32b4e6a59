"""Requests that may run once, on idle connections that are silent for good."""

from __future__ import annotations

from typing import Any

import pytest
import structlog
import trio

from teaseldyke.timers import boot_time_s
from tests.platform.conftest import Answer, wait_until
from tests.platform.standins import (
    Arrival,
    answer_head,
    answer_with,
    chunk,
    event,
    not_run,
)
from tests.platform.test_silent_connections import ask, ask_many, warm_fleet
from tests.platform.test_silent_servers import STREAM

LATER = 8  # requests after the silence has been noticed
DEADLINE_MS = 1200  # of the first ones, so that later ones find idle connections


class TestDeadConnections:
    """Each idle connection that was dead cost one request its whole time."""

    @pytest.mark.parametrize(
        ("is_engine", "latency_s"),
        [(True, 0.1), (False, 0.1), (False, 0.5)],
        ids=["engine", "plain", "slow-plain"],
    )
    async def test_only_requests_already_on_dead_connections_are_lost(
        self, is_engine: bool, latency_s: float
    ) -> None:
        async with warm_fleet(is_engine=is_engine, engines=1) as (fleet, script):
            fleet.gateways[0].view.state("e-0").latency_s = latency_s
            script.silence(fleet)
            lost = await ask(fleet, "/once/a", "lost", DEADLINE_MS)
            assert (lost.status, lost.complete) == (504, True)
            answers = await ask_many(fleet, "/once/a", LATER, 3000)
            assert [answer.status for answer in answers] == [200] * LATER
            assert set(script.arrived.values()) == {1}
            assert script.runs["lost"] == 0

    async def test_connections_proven_since_the_silence_began_are_reused(self) -> None:
        async with warm_fleet(is_engine=False, engines=1) as (fleet, script):
            (engine,) = fleet.engines.values()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, fleet, "/once/a", "lost", DEADLINE_MS)
                script.silence(fleet)
                await wait_until(lambda: script.arrived["lost"])
                script.silenced.clear()  # the others work
                script.plain_s = 0.1
                await trio.sleep(0.4)
                await ask_many(fleet, "/once/a", LATER, prefix="proven")
            connections = engine.connections
            answers = await ask_many(fleet, "/once/a", LATER)
            assert [answer.status for answer in answers] == [200] * LATER
            assert engine.connections == connections

    async def test_late_refusal_is_no_sign_of_dead_connections(self) -> None:
        """The connection has brought it, so the others may work, too."""
        async with warm_fleet(is_engine=False, engines=1) as (fleet, script):
            (engine,) = fleet.engines.values()
            connections = engine.connections

            async def refuse_late(engine: Any, stream: Any, arrival: Arrival) -> Any:
                await trio.sleep(1.0)
                return await not_run()(engine, stream, arrival)

            engine.scripts.insert(0, refuse_late)
            await ask(fleet, "/once/a", "refused")
            script.plain_s = 0.1
            await ask_many(fleet, "/once/a", LATER)
            assert engine.connections <= connections + 1

    @pytest.mark.parametrize(
        ("is_engine", "target", "deadline_ms"),
        [(True, "/single/a", 925), (False, "/once/a", 120)],
        ids=["stream", "plain"],
    )
    async def test_deadline_of_a_server_that_talks_is_no_sign_of_dead_connections(
        self, is_engine: bool, target: str, deadline_ms: int
    ) -> None:
        """It had been silent for less than ordinary gaps."""
        async with warm_fleet(is_engine=is_engine, engines=1) as (fleet, script):
            (engine,) = fleet.engines.values()
            connections = engine.connections

            async def talk(_engine: Any, stream: Any, arrival: Arrival) -> None:
                if is_engine:
                    await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
                for number in range(1, 100):
                    if is_engine:
                        await stream.send_all(chunk(event(number)))
                    await trio.sleep(0.05)

            engine.scripts.insert(0, talk)
            answer = await ask(fleet, target, "slow", deadline_ms)
            assert not answer.complete or answer.status == 504
            script.plain_s = 0.1
            await ask_many(fleet, "/once/a", LATER)
            assert engine.connections <= connections + 1

    async def test_server_that_answers_late_is_not_called_silent(self) -> None:
        async with warm_fleet(is_engine=False, engines=1) as (fleet, _):
            (engine,) = fleet.engines.values()

            async def fail_late(engine: Any, stream: Any, arrival: Arrival) -> Any:
                await trio.sleep(0.4)
                return await answer_with(503)(engine, stream, arrival)

            engine.scripts.insert(0, fail_late)
            with structlog.testing.capture_logs() as lines:
                answer = await ask(fleet, "/once/a", "late", 3000)
            assert answer.status == 502
            (line,) = [line for line in lines if line["event"] == "send_ended"]
            assert line["silent_s"] < 0.3

    async def test_superseded_request_tells_of_the_other_connections(self) -> None:
        async with warm_fleet(is_engine=False, engines=2) as (fleet, script):
            first = fleet.engines["e-0"]
            states = [fleet.gateways[0].view.state(name) for name in ("e-0", "e-1")]
            states[1].mark_full(boot_time_s() + 0.2)
            script.silenced["e-0"] = first.connections
            answer = await ask(fleet, "/safe/a", "safe")
            assert answer.status == 200
            assert script.arrived["safe"] == 2
            states[1].mark_full(boot_time_s() + 9.0)
            answers: list[Answer] = await ask_many(fleet, "/once/a", LATER, 1500)
            assert [answer.status for answer in answers] == [200] * LATER
            assert sum(script.arrived.values()) == LATER + 2


class TestPause:
    @pytest.mark.parametrize("is_engine", [True, False], ids=["engine", "plain"])
    @pytest.mark.parametrize("pause_s", [0.9, 1.25])
    async def test_pause_costs_no_request_and_few_connections(
        self, pause_s: float, is_engine: bool
    ) -> None:
        async with warm_fleet(is_engine=is_engine, engines=1) as (fleet, script):
            (engine,) = fleet.engines.values()
            connections = engine.connections
            script.silence(fleet)
            script.paused_until_s = trio.current_time() + pause_s
            answers = await ask_many(fleet, "/once/a", LATER)
            answers += await ask_many(fleet, "/once/a", LATER, prefix="after")
            assert [answer.status for answer in answers] == [200] * 2 * LATER
            assert set(script.runs.values()) == {1}
            assert engine.connections == connections

    @pytest.mark.parametrize("pause_s", [0.9, 1.25])
    async def test_pause_of_a_plain_server_replaces_each_connection_at_most_once(
        self, pause_s: float
    ) -> None:
        """Repeatable requests are answered by the other server, which they tell of."""
        async with warm_fleet(is_engine=False, engines=2) as (fleet, script):
            first, other = fleet.engines["e-0"], fleet.engines["e-1"]
            connections = first.connections, other.connections
            fleet.gateways[0].view.state("e-1").mark_full(boot_time_s() + 0.2)
            script.silenced["e-0"] = first.connections
            script.paused_until_s = trio.current_time() + pause_s
            answers = await ask_many(fleet, "/safe/a", LATER)
            second_sends = sum(script.arrived.values()) - LATER
            assert second_sends <= LATER
            assert other.connections - connections[1] <= second_sends
            await trio.sleep(pause_s)
            for i in range(4):
                answers += await ask_many(fleet, "/safe/a", LATER, prefix=f"a-{i}")
            assert [answer.status for answer in answers] == [200] * 5 * LATER
            opened = first.connections + other.connections - sum(connections)
            assert opened <= second_sends + LATER
