"""What backend servers say of themselves in their answers."""

from __future__ import annotations

import pytest
import trio

from teaseldyke.adapter import HeaderWire
from teaseldyke.gateway import view as view_module
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import Fleet, running_fleet, script_all, wait_until
from tests.platform.standins import Script, answer_with, not_run, stream_of

PAUSE_S = 0.6
TARGET_S = 0.2  # target latency of the tests' routes
REFUSAL = answer_with(503, "X-Teaseldyke-Not-Run: 1", f"Retry-After: {PAUSE_S}")
LEAVING = "Server-Leaving: 1"
RFC_DATE = b"Fri, 04 Dec 2026 10:00:00 GMT"


async def send_some(fleet: Fleet, count: int, prefix: str = "r") -> list[int]:
    """Send requests one after another and return the statuses of the answers."""
    statuses = []
    for i in range(count):
        answer = await fleet.caller().request("/safe/a", request_id=f"{prefix}-{i}")
        statuses.append(answer.status)
    return statuses


class TestPause:
    async def test_paused_engine_gets_no_requests_until_its_pause_ends(
        self, fleet: Fleet
    ) -> None:
        """Before, it got one again after 0.05 s, however long it had asked for."""
        paused = fleet.engines["e-0"]
        paused.scripts = [REFUSAL]
        with trio.fail_after(5):
            while not paused.arrivals:
                await send_some(fleet, 1)
        ends_at_s = trio.current_time() + PAUSE_S
        while trio.current_time() < ends_at_s - 0.1:
            assert await send_some(fleet, 3) == [200] * 3
            await trio.sleep(0.02)
        assert len(paused.arrivals) == 1
        await trio.sleep(0.2)
        fleet.engines["e-1"].scripts = [not_run()]
        assert await send_some(fleet, 1) == [200]
        assert len(paused.arrivals) == 2

    async def test_pause_of_all_engines_refuses_at_once_until_its_end(
        self, fleet: Fleet
    ) -> None:
        started_at_s = trio.current_time()
        for state in fleet.gateways[0].view.all_states():
            state.record_pause(PAUSE_S, boot_time_s())
        answer = await fleet.caller().request("/safe/a")
        elapsed_s = trio.current_time() - started_at_s
        assert answer.status == 503
        assert elapsed_s < TARGET_S
        retry_after_s = float(answer.headers["retry-after"])
        assert PAUSE_S - elapsed_s - 0.001 <= retry_after_s < 2.5 / 3
        assert fleet.arrivals == 0

    @pytest.mark.parametrize(
        ("pause_s", "status", "arrivals"), [(0.3, 200, 2), (9.0, 503, 1)]
    )
    async def test_retry_waits_for_the_end_of_the_pause_or_is_refused(
        self, pause_s: float, status: int, arrivals: int
    ) -> None:
        async with running_fleet(engines=1) as fleet:
            script_all(
                fleet,
                answer_with(503, "X-Teaseldyke-Not-Run: 1", f"Retry-After: {pause_s}"),
            )
            started_at_s = trio.current_time()
            answer = await fleet.caller().request("/safe/a")
            elapsed_s = trio.current_time() - started_at_s
            assert (answer.status, fleet.arrivals) == (status, arrivals)
            assert elapsed_s < TARGET_S if status == 503 else elapsed_s >= pause_s

    async def test_queued_request_is_refused_once_no_engine_can_be_waited_for(
        self, fleet: Fleet
    ) -> None:
        """It would have waited until its last moment."""
        gateway = fleet.gateways[0]
        states = list(gateway.view.all_states())
        for state in states:
            state.mark_full(boot_time_s() + 60.0)
        caller = fleet.caller()
        await caller.send("/safe/a")
        await wait_until(lambda: gateway.placer.waiting == 1)
        for state in states:
            state.record_pause(60.0, boot_time_s())
        with trio.fail_after(1.0):  # its last moment came 2 s after its arrival
            answer = await caller.receive_answer()
        assert answer.status == 503
        assert fleet.arrivals == 0

    @pytest.mark.parametrize(
        ("value", "date", "expected"),
        [
            (b"3", None, 3.0),
            (b"0.25", None, 0.25),
            (b"0", None, 0.0),
            (b"1" + b"0" * 30, None, 1e30),
            (b"Fri, 04 Dec 2026 10:00:07 GMT", RFC_DATE, 7.0),
            (b"Fri, 04 Dec 2026 09:00:00 GMT", RFC_DATE, 0.0),
            (b"Fri, 04 Dec 2026 10:00:07 GMT", None, None),
            (b"Fri, 04 Dec 2026 10:00:07 GMT", b"today", None),
            (b"-1", None, None),
            (b"inf", None, None),
            (b"soon", RFC_DATE, None),
            (b"", None, None),
            (b"\xff", RFC_DATE, None),
        ],
    )
    def test_readings_of_retry_after(
        self, value: bytes, date: bytes | None, expected: float | None
    ) -> None:
        headers = [(b"retry-after", value)]
        if date is not None:
            headers.append((b"date", date))
        assert HeaderWire().read_answer(503, headers).retry_after_s == expected


class TestLeaving:
    @pytest.mark.parametrize(
        ("target", "script"),
        [
            ("/safe/a", answer_with(200, LEAVING)),
            ("/safe/a", answer_with(500, LEAVING)),
            ("/safe/a", answer_with(503, "X-Teaseldyke-Not-Run: 1", LEAVING)),
            ("/once/a", answer_with(404, LEAVING)),
            ("/stream/a", stream_of(1, 3, headers=(LEAVING,))),
        ],
        ids=["plain", "failure", "refusal", "other-status", "stream"],
    )
    async def test_engine_that_said_it_leaves_gets_no_requests(
        self, fleet: Fleet, target: str, script: Script
    ) -> None:
        """Before, only its entry in the store counted."""
        leaving = fleet.engines["e-0"]
        leaving.scripts = [script]
        with trio.fail_after(5):
            while not leaving.arrivals:
                await fleet.caller().request(target)
        leaving.scripts = []
        assert await send_some(fleet, 6) == [200] * 6
        fleet.store.put("servers", "e-0", leaving.entry("app", slots=5))
        view = fleet.gateways[0].view
        await wait_until(lambda: view.state("e-0").server.slots == 5)
        assert await send_some(fleet, 6, "again") == [200] * 6
        assert len(leaving.arrivals) == 1

    async def test_engine_that_started_anew_gets_requests_again(
        self, fleet: Fleet
    ) -> None:
        leaving = fleet.engines["e-0"]
        leaving.scripts = [answer_with(200, LEAVING)]
        with trio.fail_after(5):
            while not leaving.arrivals:
                await send_some(fleet, 1)
        fleet.store.put("servers", "e-0", leaving.entry("app", born=2))
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.states_of("app")) == 2)
        fleet.engines["e-1"].scripts = [not_run()]
        assert await send_some(fleet, 1) == [200]
        assert len(leaving.arrivals) == 2

    async def test_entry_that_comes_back_does_not_bring_a_left_engine_back(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A store restored from a copy lists it again long after it was removed."""
        monkeypatch.setattr(view_module, "REMOVAL_GRACE_S", 0.1)
        engine = fleet.engines["e-0"]
        engine.scripts = [answer_with(200, LEAVING)]
        with trio.fail_after(5):
            while not engine.arrivals:
                await send_some(fleet, 1)
        view = fleet.gateways[0].view
        fleet.store.remove("servers", "e-0")
        await wait_until(lambda: view.state("e-0") is None)
        fleet.store.put("servers", "e-0", engine.entry("app"))
        await wait_until(lambda: view.state("e-0") is not None)
        fleet.engines["e-1"].scripts = [not_run()]
        await send_some(fleet, 1)
        assert len(engine.arrivals) == 1

    async def test_misdirected_answer_says_nothing_of_the_engine(
        self, fleet: Fleet
    ) -> None:
        engine = fleet.engines["e-0"]
        script = answer_with(421, "X-Teaseldyke-Not-Run: 1", LEAVING, "Retry-After: 9")
        engine.scripts = [script]
        with trio.fail_after(5):
            while not engine.arrivals:
                await send_some(fleet, 1)
        state = fleet.gateways[0].view.state("e-0")
        assert not state.said_leaving
        assert state.paused_until_s == 0.0

    @pytest.mark.parametrize(
        ("value", "expected"),
        [(b"1", True), (b"0", False), (b"yes", False), (b"", False), (b"\xff", False)],
    )
    def test_readings_of_server_leaving(self, value: bytes, expected: bool) -> None:
        facts = HeaderWire().read_answer(200, [(b"server-leaving", value)])
        assert facts.is_leaving is expected
