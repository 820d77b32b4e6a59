from __future__ import annotations

import attrs
import pytest
import trio

from teaseldyke.dispatch import OrganisationRefused, PermitLapsed
from teaseldyke.types import Switches

WARM_AFTER_REQUESTS = 8


def longest_pause_s(fleet, since_s: float, until_s: float) -> float:
    times = [at_s for at_s, _, _ in fleet.sent if since_s <= at_s <= until_s]
    pairs = zip([since_s, *times], [*times, until_s], strict=True)
    return max(later - earlier for earlier, later in pairs)


async def busy_fleet(make_fleet, configuration, routers: int = 3):
    fleet = await make_fleet(configuration, routers)
    for name in fleet.routers:
        await fleet.keep_busy(name, "a", 0.2, depth=10)
        await fleet.keep_busy(name, "b", 0.2, depth=10)
    await trio.sleep(2.0)
    return fleet


@pytest.mark.parametrize(("fault", "bound_s"), [("kill", 1.0), ("freeze", 2.0)])
async def test_loss_of_the_dispatcher(
    autojump_clock, make_fleet, make_configuration, fault: str, bound_s: float
) -> None:
    fleet = await busy_fleet(make_fleet, make_configuration())
    (dispatcher,) = fleet.acting_routers()
    lost_at_s = trio.current_time()
    if fault == "kill":
        fleet.kill(dispatcher)
    else:
        fleet.network.frozen.add(dispatcher)
    await trio.sleep(6.0)
    others = [item for item in fleet.sent if item[1] != dispatcher]
    fleet.sent = others
    assert longest_pause_s(fleet, lost_at_s, lost_at_s + 6.0) <= bound_s
    assert sum(server.overruns for server in fleet.servers.values()) == 0


@pytest.mark.promise("failure-domain-out")
async def test_domain_out_gets_no_new_work(
    autojump_clock, make_fleet, make_configuration
) -> None:
    configuration = make_configuration(servers=3)
    fleet = await busy_fleet(make_fleet, configuration)
    switches = Switches(failure_domains_out=frozenset({"zone-1"}))
    fleet.apply(attrs.evolve(configuration, version=2, switches=switches))
    out_at_s = trio.current_time()
    await trio.sleep(3.0)
    late = [s for at_s, _, s in fleet.sent if at_s > out_at_s and s == "engine-1"]
    assert late == []
    fleet.apply(attrs.evolve(configuration, version=3))
    await trio.sleep(3.0)
    assert any(s == "engine-1" for at_s, _, s in fleet.sent if at_s > out_at_s)


@pytest.mark.parametrize("reason", ["time", "switch", "dispatcher"])
async def test_permit_lapses(
    autojump_clock, make_fleet, make_configuration, reason: str
) -> None:
    configuration = make_configuration()
    fleet = await make_fleet(configuration)
    await fleet.request("router-0", "a", 0.1)
    (dispatcher,) = fleet.acting_routers()
    name = next(name for name in fleet.routers if name != dispatcher)
    permit = await fleet.routers[name].acquire("llm", "a", estimate_cost=1.0)
    permit.check()
    if reason == "time":
        await trio.sleep(1.5)
    elif reason == "switch":
        out = frozenset({permit.server.name})
        switches = Switches(backend_servers_out=out)
        fleet.apply(attrs.evolve(configuration, version=2, switches=switches))
    else:
        fleet.kill(dispatcher)
        await trio.sleep(0.2)
    with pytest.raises(PermitLapsed) as info:
        permit.check()
    assert info.value.executed == "no"


async def test_disabled_organisation_is_refused_at_once(
    autojump_clock, make_fleet, make_configuration
) -> None:
    configuration = make_configuration(limit=1, servers=1)
    fleet = await make_fleet(configuration, 1)
    await fleet.keep_busy("router-0", "a", 100.0, depth=1)
    await trio.sleep(1.0)
    switches = Switches(organisations_disabled=frozenset({"b"}))
    changed = attrs.evolve(configuration, version=2, switches=switches)
    async with trio.open_nursery() as nursery:

        async def refused() -> None:
            with pytest.raises(OrganisationRefused):
                await fleet.request("router-0", "b", 1.0)

        nursery.start_soon(refused)
        await trio.sleep(0.1)
        fleet.apply(changed)
        with trio.fail_after(0.01):
            await trio.testing.wait_all_tasks_blocked()
    assert fleet.routers["router-0"].snapshot().queues == ()


@pytest.mark.promise("planned-stop")
async def test_drain_hands_over_the_dispatcher_role(
    autojump_clock, make_fleet, make_configuration
) -> None:
    fleet = await busy_fleet(make_fleet, make_configuration())
    (dispatcher,) = fleet.acting_routers()
    fleet.nursery.start_soon(fleet.routers[dispatcher].drain)
    started_at_s = trio.current_time()
    await trio.sleep(3.0)
    assert dispatcher not in fleet.acting_routers()
    assert longest_pause_s(fleet, started_at_s, started_at_s + 3.0) < 0.35
    assert sum(server.overruns for server in fleet.servers.values()) == 0


@pytest.mark.promise("cold-backend-server")
async def test_cold_servers_are_not_overrun(
    autojump_clock, make_fleet, make_configuration
) -> None:
    configuration = make_configuration(
        servers=3, limit=8, cold_limit=1, warm_after_requests=8
    )
    fleet = await make_fleet(configuration)
    for server in fleet.servers.values():
        server.capacity = 1
    for name in fleet.routers:
        await fleet.keep_busy(name, "a", 0.2, depth=20)
    await trio.sleep(1.4)
    assert sum(server.overruns for server in fleet.servers.values()) == 0
    assert all(server.completed >= 5 for server in fleet.servers.values())


def cold_configuration(make_configuration):
    return make_configuration(
        servers=1, limit=4, cold_limit=1, warm_after_requests=WARM_AFTER_REQUESTS
    )


async def send_burst(fleet, name: str) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(fleet.request, name, "a", 0.2)


@pytest.mark.promise("cold-backend-server")
async def test_successor_of_a_dispatcher_that_saw_a_restart(
    autojump_clock, make_fleet, make_configuration
) -> None:
    """The restart was seen before any request was completed since."""
    fleet = await make_fleet(cold_configuration(make_configuration))
    for _ in range(WARM_AFTER_REQUESTS):
        await fleet.request("router-0", "a", 0.1)
    (dispatcher,) = fleet.acting_routers()
    server = fleet.servers["engine-0"]
    server.restart()
    name = next(name for name in fleet.routers if name != dispatcher)
    fleet.nursery.start_soon(fleet.request, name, "a", 100.0)
    await trio.sleep(1.5)  # several load polls
    fleet.kill(dispatcher)
    with trio.move_on_after(8.0):
        await send_burst(fleet, name)
    assert server.overruns == 0


@pytest.mark.promise("cold-backend-server")
@pytest.mark.parametrize("restarts", [True, False], ids=["restart", "warm"])
@pytest.mark.parametrize(
    ("change", "warm_limit"),
    [
        ("kill", 4),
        pytest.param("freeze", 3, id="freeze"),  # without one of three fractions
        ("drain", 4),
        ("idle", 4),
    ],
)
async def test_restart_that_no_dispatcher_saw(
    autojump_clock,
    make_fleet,
    make_configuration,
    change: str,
    warm_limit: int,
    restarts: bool,
) -> None:
    """A dispatcher that begins to act doesn't know whether the server restarted."""
    fleet = await make_fleet(cold_configuration(make_configuration))
    for _ in range(WARM_AFTER_REQUESTS):
        await fleet.request("router-0", "a", 0.1)
    (dispatcher,) = fleet.acting_routers()
    name = next(name for name in fleet.routers if name != dispatcher)
    if change == "idle":
        await trio.sleep(10.0)
        assert fleet.acting_routers() == []
    server = fleet.servers["engine-0"]
    if restarts:
        server.restart()
    if change == "kill":
        fleet.kill(dispatcher)
    if change == "freeze":
        fleet.network.frozen.add(dispatcher)
    if change == "drain":
        fleet.nursery.start_soon(fleet.routers[dispatcher].drain)
    await fleet.keep_busy(name, "a", 1.0, depth=8)
    await trio.sleep(4.0)
    assert server.overruns == 0
    assert server.max_running == (1 if restarts else warm_limit)


@pytest.mark.promise("no-starvation")
async def test_small_organisation_is_served_under_a_flood(
    autojump_clock, make_fleet, make_configuration
) -> None:
    fleet = await make_fleet(make_configuration())
    flood_s, own_s, control_s = 1.0, 0.1, 0.02
    await fleet.keep_busy("router-0", "a", flood_s, depth=60)
    await trio.sleep(5.0)
    for _ in range(5):
        started_at_s = trio.current_time()
        await fleet.request("router-1", "b", own_s)
        assert trio.current_time() - started_at_s < flood_s + own_s + control_s
        await trio.sleep(1.0)
