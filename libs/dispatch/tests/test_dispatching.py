from __future__ import annotations

import pytest
import trio

from teaseldyke.dispatch import (
    OrganisationRefused,
    QueueFull,
    QueueTimeout,
    ServiceUnknown,
)


@pytest.mark.parametrize("routers", [1, 3])
async def test_first_request_is_granted_soon(
    autojump_clock, make_fleet, make_configuration, routers: int
) -> None:
    fleet = await make_fleet(make_configuration(), routers)
    for name in fleet.routers:
        started_at_s = trio.current_time()
        await fleet.request(name, "a", 0.0)
        assert trio.current_time() - started_at_s < 0.02
        await trio.sleep(5.0)


@pytest.mark.promise("no-idle-capacity")
@pytest.mark.parametrize("spread", ["all", "one"])
async def test_every_slot_is_used(
    autojump_clock, make_fleet, make_configuration, spread: str
) -> None:
    fleet = await make_fleet(make_configuration(servers=3))
    names = list(fleet.routers) if spread == "all" else ["router-0"]
    for name in names:
        await fleet.keep_busy(name, "a", 0.5, depth=30)
        await fleet.keep_busy(name, "b", 0.5, depth=30)
    await trio.sleep(1.0)
    fleet.served.clear()
    await trio.sleep(20.0)
    assert sum(fleet.served.values()) / (20.0 * 12) > 0.97
    assert sum(server.overruns for server in fleet.servers.values()) == 0


@pytest.mark.promise("service-gap")
async def test_service_follows_shares(
    autojump_clock, make_fleet, make_configuration
) -> None:
    fleet = await make_fleet(make_configuration(shares={"a": 1.0, "b": 3.0}))
    await fleet.keep_busy("router-0", "a", 0.5, depth=30)
    await fleet.keep_busy("router-1", "b", 0.2, depth=30)
    await trio.sleep(30.0)
    gap = abs(fleet.served["a"] - fleet.served["b"] / 3)
    assert gap < 0.5 * 8


@pytest.mark.parametrize(
    ("service", "organisation", "error"),
    [
        ("none", "a", ServiceUnknown),
        ("llm", "none", OrganisationRefused),
    ],
)
async def test_unknown_names_are_refused(
    autojump_clock,
    make_fleet,
    make_configuration,
    service: str,
    organisation: str,
    error: type,
) -> None:
    fleet = await make_fleet(make_configuration(), 1)
    with pytest.raises(error) as info:
        await fleet.routers["router-0"].acquire(service, organisation, estimate_cost=1)
    assert info.value.executed == "no"


@pytest.mark.promise("true-refusal")
async def test_full_queue_and_timeout_give_retry_after(
    autojump_clock, make_fleet, make_configuration
) -> None:
    fleet = await make_fleet(make_configuration(limit=1, queue_limit=2), 1)
    await fleet.keep_busy("router-0", "a", 100.0, depth=3)
    await trio.sleep(1.0)
    router = fleet.routers["router-0"]
    deadline_at_s = trio.current_time() + 1.0
    with pytest.raises(QueueTimeout) as info:
        await router.acquire("llm", "a", estimate_cost=1, deadline_at_s=deadline_at_s)
    assert trio.current_time() == pytest.approx(deadline_at_s)
    assert 1.0 <= info.value.retry_after_s <= 60.0
    await fleet.keep_busy("router-0", "a", 100.0, depth=1)
    await trio.sleep(0.1)
    with pytest.raises(QueueFull) as full:
        await router.acquire("llm", "a", estimate_cost=1)
    assert full.value.executed == "no"
    assert 1.0 <= full.value.retry_after_s <= 60.0
