from __future__ import annotations

import attrs
import pytest

from teaseldyke.placement import ServiceDemand, Standing, Work

WORK = Work("a", 0.0, 1.0, 2.0, 3.0, prompt_tokens=100, output_tokens=10)


def test_requests_are_counted_by_service() -> None:
    demand = ServiceDemand()
    for _ in range(2):
        demand.record_arrival("app", WORK, Standing.FAIR, 1.0)
    assert demand.own(1.0) == {"app": 2.0}


def test_old_requests_count_less() -> None:
    demand = ServiceDemand()
    demand.record_arrival("app", WORK, Standing.FAIR, 1.0)
    assert demand.own(20.0)["app"] < 0.001


@pytest.mark.parametrize(
    ("standing", "expected"),
    [(Standing.UNDER, 10.0), (Standing.FAIR, 10.0), (Standing.OVER, 2.0)],
)
def test_flood_of_one_organisation_draws_little_of_a_limit(
    standing: Standing, expected: float
) -> None:
    """Where it connects, the fleet's limit would go."""
    demand = ServiceDemand()
    for _ in range(10):
        demand.record_arrival("app", WORK, standing, 1.0)
    assert demand.own(1.0)["app"] == pytest.approx(expected)


def test_means_follow_the_requests() -> None:
    demand = ServiceDemand()
    assert demand.mean_cost_tokens("app") == 0.0
    demand.record_arrival("app", WORK, Standing.FAIR, 1.0)
    assert demand.mean_cost_tokens("app") == 120.0
    assert demand.mean_prompt_tokens("app") == 100.0
    for _ in range(500):
        larger = attrs.evolve(WORK, prompt_tokens=1000)
        demand.record_arrival("app", larger, Standing.FAIR, 1.0)
    assert demand.mean_prompt_tokens("app") == pytest.approx(1000.0, rel=0.01)
