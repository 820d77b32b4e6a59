from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio

from tests.processes.fleet import ENGINE_SERVICE, Fleet, FleetPlan
from tests.processes.traffic import mixed_traffic, run_traffic

StartFleet = Callable[..., Awaitable[Fleet]]

FAULT_AT_S = 1.5
PARTITION_S = 2.5
REJOINED_S = 1.0
MODES = ("hold", "cut")  # bytes are held back; connections are closed
RATE_HZ = 40.0
PLAN = FleetPlan(
    engine={"tokens_per_s": 200},
    router={"join_delay_s": 0.7, "list_poll_s": 0.3, "poll_interval_s": 0.3},
)
DISPATCHER = 2  # of both services, as follows from the routers' names

pytestmark = pytest.mark.processes


@pytest.mark.promise("cold-backend-server")
@pytest.mark.promise("at-most-once")
@pytest.mark.promise("no-idle-capacity")
@pytest.mark.parametrize("index", [DISPATCHER, 0], ids=["dispatcher", "other"])
async def test_one_router_is_partitioned_and_rejoins(
    start_fleet: StartFleet, index: int
) -> None:
    fleet = await start_fleet(attrs.evolve(PLAN, isolable=index))
    dispatcher = await fleet.dispatcher(ENGINE_SERVICE)
    assert dispatcher is fleet.routers[DISPATCHER]
    duration_s = FAULT_AT_S + len(MODES) * (PARTITION_S + REJOINED_S)
    entries = mixed_traffic(fleet, duration_s=duration_s, rate_hz=RATE_HZ)

    async def partition_twice() -> None:
        for mode in MODES:
            await fleet.set_links(mode)
            await trio.sleep(PARTITION_S)
            await fleet.set_links("pass")
            await trio.sleep(REJOINED_S)

    report = await run_traffic(fleet, entries, [(FAULT_AT_S, partition_twice)])
    for engine in fleet.engines:
        state = await fleet.call(engine, "GET", "/standin/state")
        assert state["running_max"] <= PLAN.engine_service.limit
        assert state["cold_overrun"] == 0
    assert not report.failed
    report.assert_no_harm()
