"""An instance's parts of the limits that backend servers state."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.gateway.limits import LimitDivision
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import Standing, Work
from teaseldyke.types import AnnouncedServer, RoutingTable

WORK = Work("a", 0.0, 1.0, 2.0, 3.0, prompt_tokens=100)
NOW_S = 5.0


@attrs.define
class ThreeInstances:
    """A fleet in which one other instance has three times the demand of this one."""

    name: str = "a"
    neighbourhood: str = "0"
    instances: int = 3
    alive: int = 3

    def rank(self, key: str) -> int:
        return 0

    def demand_of_neighbours(self, service: str) -> dict[str, float]:
        return {"b": 6.0, "c": 0.0}

    def demand_of_neighbourhoods(self, service: str) -> dict[str, float]:
        return {}


@pytest.fixture
def division(
    view: FleetView, make_server: Callable[..., AnnouncedServer]
) -> LimitDivision:
    view.apply_servers([make_server("s-1"), make_server("s-2")])
    division = LimitDivision(view, ThreeInstances())  # type: ignore[arg-type]
    for _ in range(2):
        division.demand.record_arrival("app", WORK, Standing.FAIR, NOW_S)
    return division


def test_part_follows_demand(view: FleetView, division: LimitDivision) -> None:
    limited, free = view.states_of("app")
    limited.limit.hear(8.0, NOW_S, NOW_S)
    division.divide(NOW_S)
    # A tenth is split evenly, the rest by two of eight requests.
    assert limited.limit.own_per_s == pytest.approx(8.0 * (0.1 / 3 + 0.9 * 2 / 8))
    assert free.limit.own_per_s == 0.0
    assert free.limit.allows_send(NOW_S)


@pytest.mark.parametrize(
    ("is_engine", "per_s", "expected"),
    [(False, 2.0, 1000.0), (True, None, 1000.0), (True, 2.0, 700.0)],
    ids=["plain", "no-limit", "limit"],
)
def test_shared_capacity_counts_the_limits_of_engines(
    view: FleetView,
    division: LimitDivision,
    table: RoutingTable,
    is_engine: bool,
    per_s: float | None,
    expected: float,
) -> None:
    """Of two engines that produce 1,000 tokens a second together."""
    if is_engine:
        (service,) = table.services.values()
        table.services["app"] = attrs.evolve(service, memory_tokens=1000)
    view.states_of("app")[0].limit.hear(per_s, NOW_S, NOW_S)
    assert division.capacity_tokens_per_s(table) == pytest.approx(expected)
