from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio

from tests.processes.fleet import ENGINE_SERVICE, Fleet, FleetPlan, FleetProcess
from tests.processes.traffic import TrafficReport, mixed_traffic, run_traffic

StartFleet = Callable[..., Awaitable[Fleet]]
Event = Callable[[], Awaitable[None]]

FAULT_AT_S = 1.5  # after the join delay, in which routers withhold their fractions
RATE_HZ = 40.0
REQUEST_S = 0.3  # longest duration of a request without faults
FREEZE_S = 2.5
OUTAGE_S = 1.0
SLOW_STORE_S = 0.2
PLAN = FleetPlan(
    engine={"tokens_per_s": 200},
    router={"join_delay_s": 0.7, "list_poll_s": 0.3, "poll_interval_s": 0.3},
)

pytestmark = pytest.mark.processes


async def _run_traffic_with_event(
    fleet: Fleet, event: Event, *, after_s: float, routers: tuple[int, ...] = ()
) -> TrafficReport:
    """Send requests, run an event at `FAULT_AT_S` and go on for `after_s`."""
    entries = mixed_traffic(
        fleet, duration_s=FAULT_AT_S + after_s, rate_hz=RATE_HZ, routers=routers
    )
    return await run_traffic(fleet, entries, [(FAULT_AT_S, event)])


async def _sum(fleet: Fleet, servers: list[FleetProcess], field: str) -> int:
    states = [await fleet.call(server, "GET", "/standin/state") for server in servers]
    return sum(state[field] for state in states)


async def _check_limits(fleet: Fleet) -> None:
    for engine in fleet.engines:
        state = await fleet.call(engine, "GET", "/standin/state")
        assert state["running_max"] <= PLAN.engine_service.limit
        assert state["cold_overrun"] == 0


async def _dispatcher_and_others(fleet: Fleet) -> tuple[FleetProcess, tuple[int, ...]]:
    dispatcher = await fleet.dispatcher(ENGINE_SERVICE)
    others = [i for i, router in enumerate(fleet.routers) if router is not dispatcher]
    return dispatcher, tuple(others)


@pytest.mark.promise("no-idle-capacity")
@pytest.mark.promise("at-most-once")
@pytest.mark.parametrize(
    ("fault", "gap_max_s"), [("kill", 1.0), ("freeze", 2.0)], ids=["kill", "freeze"]
)
async def test_loss_of_the_dispatcher(
    start_fleet: StartFleet, fault: str, gap_max_s: float
) -> None:
    fleet = await start_fleet(PLAN)
    dispatcher, others = await _dispatcher_and_others(fleet)

    async def fail_dispatcher() -> None:
        if fault == "kill":
            dispatcher.kill()
            return
        dispatcher.freeze()
        await trio.sleep(FREEZE_S)
        dispatcher.unfreeze()

    report = await _run_traffic_with_event(
        fleet, fail_dispatcher, after_s=FREEZE_S + 1.5, routers=others
    )
    assert not report.failed
    report.assert_no_harm()
    await _check_limits(fleet)
    end_s = FAULT_AT_S + FREEZE_S + 1.0
    measured_s = report.longest_answer_gap_s(ENGINE_SERVICE, FAULT_AT_S, end_s)
    assert measured_s <= gap_max_s + REQUEST_S


@pytest.mark.promise("true-refusal")
async def test_store_outage_refuses_only_requests_that_need_a_record(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(PLAN)

    async def outage() -> None:
        await fleet.set_faults(down=True)
        await trio.sleep(OUTAGE_S)
        await fleet.set_faults()

    report = await _run_traffic_with_event(fleet, outage, after_s=OUTAGE_S + 2.0)
    report.assert_no_harm()
    assert report.failed
    for result in report.failed:
        assert not result.arrival.idempotent
        assert result.final.code == "record_unavailable"
        assert result.final.retry_after_s is not None
        assert result.total_s < 0.5
        assert -0.5 < result.arrival.at_s - FAULT_AT_S < OUTAGE_S + 1.0
        assert report.count_executions(result.arrival.idempotency_key) == 0


@pytest.mark.promise("at-most-once")
async def test_lost_store_answers_cause_no_double_execution(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(PLAN)
    await fleet.set_faults(lose_answers=0.3, seed=5)
    entries = mixed_traffic(fleet, duration_s=3.0, rate_hz=RATE_HZ)
    report = await run_traffic(fleet, entries, retries=3)
    report.assert_no_harm()
    assert not [result for result in report.failed if result.arrival.idempotent]


@pytest.mark.promise("failure-domain-out")
async def test_failure_domain_out_with_the_store_down_right_after(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(PLAN)
    taken_out = [fleet.engines[0], fleet.services[0]]
    counts: list[int] = []

    async def take_out() -> None:
        await fleet.switch("failure-domain", PLAN.domain(0), out=True)
        await fleet.set_faults(down=True)
        await trio.sleep(2.0)
        counts.append(await _sum(fleet, taken_out, "executions"))
        await fleet.set_faults()

    report = await _run_traffic_with_event(fleet, take_out, after_s=3.5)
    assert await _sum(fleet, taken_out, "executions") == counts[0] > 0
    assert not [result for result in report.failed if result.arrival.idempotent]
    report.assert_no_harm()


@pytest.mark.promise("backend-server-leaving")
@pytest.mark.promise("planned-stop")
async def test_planned_stops_interrupt_no_request(start_fleet: StartFleet) -> None:
    plan = attrs.evolve(PLAN, engine={**PLAN.engine, "leave_s": 2.0})
    fleet = await start_fleet(plan)
    dispatcher = await fleet.dispatcher(ENGINE_SERVICE)
    engine = fleet.engines[0]

    async def stop() -> None:
        engine.terminate()
        dispatcher.terminate()

    report = await _run_traffic_with_event(fleet, stop, after_s=4.0)
    assert await engine.wait() == 0
    assert await dispatcher.wait() == 0
    assert not report.failed
    report.assert_no_harm()


@pytest.mark.promise("cold-backend-server")
async def test_cold_limits_hold_after_loss_of_the_dispatcher(
    start_fleet: StartFleet,
) -> None:
    engines = attrs.evolve(PLAN.engine_service, warm_after_requests=30)
    plan = attrs.evolve(
        PLAN, engine_service=engines, engine={**PLAN.engine, "die": False}
    )
    fleet = await start_fleet(plan)
    dispatcher, others = await _dispatcher_and_others(fleet)

    async def kill() -> None:
        dispatcher.kill()

    report = await _run_traffic_with_event(fleet, kill, after_s=2.0, routers=others)
    assert await _sum(fleet, fleet.engines, "cold_overrun") == 0
    assert not report.failed
    report.assert_no_harm()


@pytest.mark.promise("cold-backend-server")
async def test_restarted_engine_gets_no_more_than_it_bears(
    start_fleet: StartFleet,
) -> None:
    plan = attrs.evolve(PLAN, engines=2, engine={"tokens_per_s": 60, "die": False})
    fleet = await start_fleet(plan)
    overruns: list[int] = []

    async def restart() -> None:
        engine = fleet.engines[0]
        await fleet.call(engine, "POST", "/standin/cold", b'{"restart": true}')
        await trio.sleep(1.5)
        overruns.append(await _sum(fleet, [engine], "cold_overrun"))
        engine.kill()
        await fleet.restart(engine)

    report = await _run_traffic_with_event(fleet, restart, after_s=4.0)
    overruns.append(await _sum(fleet, fleet.engines, "cold_overrun"))
    assert overruns == [0, 0]
    assert not report.failed
    report.assert_no_harm()


@pytest.mark.promise("planned-stop")
@pytest.mark.promise("configuration")
async def test_rolling_restart_of_all_routers_interrupts_no_request(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(PLAN)
    version = (await fleet.status(fleet.routers[0]))["version"]

    async def restart_all() -> None:
        for router in fleet.routers:
            router.terminate()
            assert await router.wait() == 0
            started = await fleet.restart(router)
            assert (await fleet.status(started))["version"] == version

    report = await _run_traffic_with_event(fleet, restart_all, after_s=8.0)
    assert not report.failed
    report.assert_no_harm()


@pytest.mark.promise("configuration")
async def test_restarted_router_takes_no_request_before_its_configuration(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(PLAN)
    router = fleet.routers[0]

    async def restart() -> None:
        router.terminate()
        assert await router.wait() == 0
        await fleet.set_faults(slow_s=SLOW_STORE_S)
        await fleet.restart(router)
        await fleet.set_faults()

    report = await _run_traffic_with_event(fleet, restart, after_s=4.0)
    assert not [
        result
        for result in report.failed
        if result.final and result.final.code == "configuration_missing"
    ]
    report.assert_no_harm()
