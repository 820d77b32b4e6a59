"""Failures that operators of similar systems have reported, at a gateway."""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio

from teaseldyke.http import backend as backend_module
from teaseldyke.placement import CHOICE_TTL_S
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import Fleet, running_fleet, script_all, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    answer_with,
    answer_with_id,
    chunk,
    complete_answer,
    event,
)

NOT_RUN = "X-Teaseldyke-Not-Run: 1"
DEADLINE_S = 2.5  # that the tests' callers state
FINAL_ANSWER_S = 0.5  # after it, in which the final answer must have come


def late_copy(status: int, *extra: str, with_id: bool) -> Any:
    """Return a script: a copy of the last answer comes in place of the answer."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        earlier = Arrival("POST", "/", {"x-teaseldyke-request-id": "r-0"}, b"", 0)
        data = complete_answer(earlier, b"of r-0", status, *extra)
        if not with_id:
            data = data.replace(b"X-Teaseldyke-Request-Id: r-0\r\n", b"")
        await stream.send_all(data)
        await trio.sleep(0.02)
        await answer_with_id(engine, stream, arrival)
        return True

    return script


class TestLateSecondAnswer:
    @pytest.mark.parametrize("with_id", [True, False], ids=["with-id", "without-id"])
    @pytest.mark.parametrize(
        ("status", "extra"),
        [(200, ()), (500, ()), (503, (NOT_RUN,)), (421, (NOT_RUN,))],
        ids=["answer", "failure", "refusal", "misdirected"],
    )
    async def test_it_is_not_taken_for_the_next_answer(
        self, status: int, extra: tuple[str, ...], with_id: bool
    ) -> None:
        """A late refusal counted as one of the next request, which ran twice."""
        async with running_fleet(engines=1) as fleet:
            await fleet.add_engine("e-other")
            gateway = fleet.gateways[0]
            await wait_until(lambda: len(gateway.view.states_of("app")) == 2)
            first, other = fleet.engines.values()
            gateway.view.state("e-other").mark_full(boot_time_s() + 0.5)
            first.scripts = [
                answer_with_id,
                late_copy(status, *extra, with_id=with_id),
            ]
            caller = fleet.caller()
            assert (await caller.request("/once/a", request_id="r-0")).status == 200
            answer = await caller.request("/once/a", request_id="r-1")
            assert answer.status == 502
            assert b"r-0" not in answer.body
            assert (len(first.arrivals), len(other.arrivals)) == (2, 0)
            assert {arrival.connection for arrival in first.arrivals} == {1}


class TestPlannedStop:
    async def test_no_accepted_request_is_cut_under_load(self, fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        cut: list[str] = []
        answered = 0

        async def call_again_and_again(name: str) -> None:
            nonlocal answered
            caller = fleet.caller()
            for i in range(10_000):
                try:
                    await caller.send("/once/a", request_id=f"{name}-{i}")
                except OSError:
                    return  # the port is closed
                except trio.BrokenResourceError:
                    caller = fleet.caller()
                    continue
                answer = await caller.receive_answer()
                if not answer.complete:
                    cut.append(f"{name}-{i}")
                    return
                answered += 1
                if answer.headers.get("connection") == "close":
                    await caller.close()
                    caller = fleet.caller()

        async with trio.open_nursery() as nursery:
            for i in range(8):
                nursery.start_soon(call_again_and_again, f"r{i}")
            await trio.sleep(0.3)
            gateway.stopping.set()
            with trio.fail_after(8):
                await gateway._drain()
                await wait_until(lambda: not gateway.calls.running)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert answered > 100
        assert cut == []


def slow_events(first: int, last: int, gap_s: float) -> Any:
    """Return a script that streams events with a gap, from where it is resumed."""

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        after = int(arrival.headers.get("last-event-id", first - 1))
        head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
        await stream.send_all(head + b"\r\n")
        for number in range(after + 1, last + 1):
            await stream.send_all(chunk(event(number)))
            await trio.sleep(gap_s)
        await stream.send_all(b"0\r\n\r\n")
        return True

    return script


async def drip(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    """Send a byte now and then and never an event."""
    head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
    await stream.send_all(head + b"\r\n")
    while True:
        await stream.send_all(chunk(b":"))
        await trio.sleep(0.2)


class TestStreams:
    @pytest.mark.parametrize("target", ["/stream/a", "/single/a"])
    async def test_slow_sound_stream_is_not_cut(
        self, fleet: Fleet, target: str
    ) -> None:
        script_all(fleet, slow_events(1, 3, 0.6), slow_events(1, 3, 0.6))
        answer = await fleet.caller().request(target)
        assert answer.body == b"".join(event(i) for i in range(1, 4))
        assert answer.complete

    @pytest.mark.parametrize("target", ["/stream/a", "/single/a"])
    async def test_stalled_stream_ends_at_the_deadline(
        self, fleet: Fleet, target: str
    ) -> None:
        script_all(fleet, drip, drip)
        started_at_s = trio.current_time()
        answer = await fleet.caller().request(target)
        assert trio.current_time() - started_at_s < DEADLINE_S + FINAL_ANSWER_S
        assert not (answer.status == 200 and answer.complete)


class TestPause:
    async def test_placement_from_before_a_pause_is_not_used(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its server may have left meanwhile, and it states too much time left."""
        gateway = fleet.gateways[0]
        acquire = gateway.pool.acquire
        ports: list[int] = []

        async def pause_and_acquire(host: str, port: int, **fields: Any) -> Any:
            connection = await acquire(host, port, **fields)
            ports.append(port)
            if len(ports) == 1:
                time.sleep(CHOICE_TTL_S + 0.1)
                for state in gateway.view.states_of("app"):
                    state.said_leaving = state.server.port == port
            return connection

        monkeypatch.setattr(gateway.pool, "acquire", pause_and_acquire)
        answer = await fleet.caller().request("/once/a")
        assert answer.status == 200
        left, other = sorted(
            fleet.engines.values(), key=lambda engine: engine.port != ports[0]
        )
        assert not left.arrivals
        (arrival,) = other.arrivals
        assert int(arrival.headers["x-teaseldyke-deadline-ms"]) < 1500

    async def test_idle_connection_expires_while_the_machine_is_suspended(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The server closes it meanwhile; a request sent then would be lost."""
        async with running_fleet(engines=1) as fleet:
            (engine,) = fleet.engines.values()
            engine.scripts = [answer_with(200, "Keep-Alive: timeout=5")]
            assert (await fleet.caller().request("/once/a")).status == 200
            monkeypatch.setattr(
                backend_module, "boot_time_s", lambda: boot_time_s() + 10.0
            )
            answer = await fleet.caller().request("/once/a", request_id="r-2")
            assert answer.status == 200
            assert engine.connections == 2
