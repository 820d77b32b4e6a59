"""A planned stop of one instance, with requests late in its grace period (LOST)."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway, calls
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import (
    BOUNDS,
    Answer,
    Caller,
    Fleet,
    configuration,
    route,
    running_fleet,
    script_all,
    wait_until,
)
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    Script,
    answer_head,
    answer_with_id,
    chunk,
    event,
)

GRACE_S = 4.0


def slow_answer(needs_s: float) -> Script:
    """Return a script that answers after a time."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> None:
        await trio.sleep(needs_s)
        await answer_with_id(engine, stream, arrival)

    return script


async def endless_stream(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> bool:
    head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
    await stream.send_all(head + b"\r\n")
    for number in range(1, 1000):
        await stream.send_all(chunk(event(number)))
        await trio.sleep(0.05)
    return False


@attrs.define(eq=False)
class StoppingFleet:
    """A gateway that stops while a long stream keeps it open."""

    fleet: Fleet
    gateway: Gateway
    signalled_at_s: float = 0.0
    holding: Caller | None = None  # of the stream

    def stop(self) -> None:
        """Send the signal to this process, in which the one gateway listens."""
        self.signalled_at_s = boot_time_s()
        signal.raise_signal(signal.SIGTERM)

    async def until_left(self, left_s: float) -> None:
        """Wait until so much is left of the grace period."""
        await trio.sleep(self.signalled_at_s + GRACE_S - left_s - boot_time_s())

    async def kept_connection(self) -> Caller:
        """Return a connection on which a request has been answered."""
        caller = self.fleet.caller(self.gateway)
        assert (await caller.request("/safe/a")).status == 200
        return caller


@asynccontextmanager
async def stopping_fleet() -> AsyncIterator[StoppingFleet]:
    """Run a fleet whose second gateway has the short grace period.

    The first one, which the harness starts, would get the signal, too, so its grace
    period is long.
    """
    async with running_fleet() as fleet:
        first = fleet.gateways[0]
        first.settings = attrs.evolve(
            first.settings, bounds=attrs.evolve(BOUNDS, stop_s=60.0)
        )
        gateway = await fleet.add_gateway(
            "g-2", bounds=attrs.evolve(BOUNDS, stop_s=GRACE_S)
        )
        value = configuration(2)
        value["routes"].append(
            route("long", "streaming", "app", maxAttempts=1, timeoutMs=60_000)
        )
        fleet.store.put("op", "config", value)
        await wait_until(lambda: gateway.is_ready)
        await wait_until(lambda: gateway.view.table.version == 2)
        await wait_until(lambda: len(gateway.view.states_of("app")) == 2)
        yield StoppingFleet(fleet, gateway)


def script_each(fleet: Fleet, script: Script) -> None:
    """Have each engine answer all further requests by a script."""
    script_all(fleet, *[script] * 100)


async def hold_open(stopping: StoppingFleet) -> None:
    """Start a stream that runs until the process ends."""
    script_each(stopping.fleet, endless_stream)
    caller = stopping.holding = stopping.fleet.caller(stopping.gateway)
    arrivals = stopping.fleet.arrivals
    await caller.send("/long/a", headers={"X-Teaseldyke-Deadline-Ms": "60000"})
    await wait_until(lambda: stopping.fleet.arrivals == arrivals + 1)


DEADLINE = {"X-Teaseldyke-Deadline-Ms": "2900"}


class TestLateRequests:
    @pytest.mark.parametrize("target", ["/safe/a", "/once/a"])
    @pytest.mark.parametrize("needs_s", [0.3, 0.9, 2.3])
    @pytest.mark.parametrize("left_s", [2.0, 1.4, 1.25])
    async def test_request_late_in_the_grace_period_gets_its_final_answer(
        self, left_s: float, needs_s: float, target: str
    ) -> None:
        """Nine of these 18 were cut without a byte."""
        async with stopping_fleet() as stopping:
            caller = await stopping.kept_connection()
            await hold_open(stopping)
            script_each(stopping.fleet, slow_answer(needs_s))
            stopping.stop()
            await stopping.until_left(left_s)
            arrivals = stopping.fleet.arrivals
            answer = await caller.request(target, headers=DEADLINE, request_id="r-2")
            assert answer.complete
            assert answer.status in (200, 502, 503)
            was_sent = stopping.fleet.arrivals > arrivals
            assert was_sent == (answer.status != 503)
            assert answer.headers["connection"] == "close"
            if answer.status == 503:
                assert float(answer.headers["retry-after"]) < 0.5

    @pytest.mark.parametrize("target", ["/safe/a", "/once/a"])
    async def test_request_that_its_server_cannot_answer_in_time_is_not_sent(
        self, target: str
    ) -> None:
        """What servers needed before tells; it was one constant for all."""
        async with stopping_fleet() as stopping:
            script_each(stopping.fleet, slow_answer(1.2))
            caller = await stopping.kept_connection()
            other = stopping.fleet.caller(stopping.gateway)
            assert (await other.request("/safe/a", request_id="r-0")).status == 200
            await hold_open(stopping)
            script_each(stopping.fleet, slow_answer(1.2))
            stopping.stop()
            await stopping.until_left(1.7)
            arrivals = stopping.fleet.arrivals
            answer = await caller.request(target, headers=DEADLINE, request_id="r-2")
            assert answer.status == 503
            assert stopping.fleet.arrivals == arrivals

    async def test_no_retry_is_begun_that_cannot_end(self) -> None:
        async with stopping_fleet() as stopping:
            script_each(stopping.fleet, slow_answer(0.6))
            caller = await stopping.kept_connection()
            await hold_open(stopping)

            async def fail_late(
                _engine: EngineStandin, stream: trio.SocketStream, _arrival: Arrival
            ) -> bool:
                await trio.sleep(0.6)
                await stream.aclose()
                return False

            script_each(stopping.fleet, fail_late)
            stopping.stop()
            await stopping.until_left(2.1)
            arrivals = stopping.fleet.arrivals
            answer = await caller.request("/safe/a", headers=DEADLINE, request_id="r-2")
            assert answer.complete
            assert answer.status == 502
            assert stopping.fleet.arrivals == arrivals + 1


class TestOtherWaysToTheEnd:
    @pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/single/a"])
    async def test_second_signal_gives_running_requests_their_final_answer(
        self, target: str
    ) -> None:
        async with stopping_fleet() as stopping:
            caller = await stopping.kept_connection()
            script_each(stopping.fleet, slow_answer(3.0))
            await caller.send(target, headers=DEADLINE, request_id="r-2")
            await wait_until(lambda: stopping.gateway.calls.running == 1)
            await wait_until(lambda: stopping.fleet.arrivals == 2)
            answers: list[Answer] = []
            async with trio.open_nursery() as nursery:

                async def receive() -> None:
                    answers.append(await caller.receive_answer())

                nursery.start_soon(receive)
                stopping.stop()
                await trio.sleep(0.1)
                stopping.stop()
            assert answers[0].status == 502
            assert answers[0].complete

    async def test_answer_that_the_end_of_the_process_breaks_off_is_counted(
        self,
    ) -> None:
        ended = calls.ANSWERS_ENDED.bind(reason="process_ended", started="yes")
        before = ended.value
        async with stopping_fleet() as stopping:
            await hold_open(stopping)
            assert stopping.holding is not None
            assert stopping.holding.stream is not None
            assert await stopping.holding.stream.receive_some(4096)
            stopping.stop()
            await trio.sleep(0.1)
            stopping.stop()
            await wait_until(lambda: ended.value == before + 1)

    async def test_request_that_waits_for_a_server_is_told_that_it_was_not_sent(
        self,
    ) -> None:
        async with stopping_fleet() as stopping:
            caller = await stopping.kept_connection()
            await hold_open(stopping)
            for state in stopping.gateway.view.all_states():
                state.mark_full(float("inf"))
                state.paused_until_s = 0.0
            stopping.stop()
            await stopping.until_left(2.0)
            answer = await caller.request("/once/a", headers=DEADLINE, request_id="r-2")
            assert answer.complete
            assert answer.status in (200, 503)

    async def test_request_whose_body_still_comes_is_told_that_it_was_not_sent(
        self,
    ) -> None:
        async with stopping_fleet() as stopping:
            caller = await stopping.kept_connection()
            await hold_open(stopping)
            stopping.stop()
            await stopping.until_left(2.0)
            arrivals = stopping.fleet.arrivals
            assert caller.stream is not None
            head = (
                b"POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900\r\n"
                b"X-Teaseldyke-Request-Id: r-9\r\n"
                b"X-Teaseldyke-Deadline-Ms: 9000\r\n\r\nbegin"
            )
            await caller.stream.send_all(head)
            with trio.fail_after(3):
                data = await caller.stream.receive_some(65536)
            assert data.startswith(b"HTTP/1.1 503")
            assert b"connection: close" in data.lower()
            assert stopping.fleet.arrivals == arrivals

    async def test_slow_caller_reads_the_rest_of_its_answer_after_the_deadline(
        self,
    ) -> None:
        """An answer that has begun isn't replaced; it goes on until the end."""
        body = b"x" * 100_000

        async def answer_large(
            _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
        ) -> None:
            head = answer_head(arrival, 200, f"Content-Length: {len(body)}")
            await stream.send_all(head + b"\r\n" + body)

        async with stopping_fleet() as stopping:
            caller = await stopping.kept_connection()
            await hold_open(stopping)
            script_each(stopping.fleet, answer_large)
            stopping.stop()
            await stopping.until_left(1.9)
            await caller.send("/once/a", headers=DEADLINE, request_id="r-2")
            await stopping.until_left(0.5)
            with trio.fail_after(3):
                answer = await caller.receive_answer()
            assert answer.complete
            assert answer.body == body
