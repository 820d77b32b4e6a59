from __future__ import annotations

from random import Random

import pytest

from teaseldyke.placement import FleetDemand, limit_senders, limit_share
from teaseldyke.placement.stated_limit import CREDIT_S

WINDOW_S = 4.0
LIMITS = [0.0, 0.3, 1.4, 2.1, 7.0, 300.0]
NEIGHBOURHOOD_SIZE = 10


def fleet_demands(requests: list[float], alive: int = 0) -> list[FleetDemand]:
    """Return what each instance knows; fleets over 16 have neighbourhoods."""
    size = len(requests)
    of_one = size if size <= 16 else NEIGHBOURHOOD_SIZE
    names = [f"i-{number}" for number in range(size)]
    groups: dict[str, dict[str, float]] = {}
    for number, (name, demand) in enumerate(zip(names, requests, strict=True)):
        groups.setdefault(str(number // of_one), {})[name] = demand
    return [
        FleetDemand(
            name,
            members,
            own,
            {g: sum(other.values()) for g, other in groups.items() if g != own},
            size,
            alive or size,
        )
        for own, members in groups.items()
        for name in members
    ]


class TestParts:
    @pytest.mark.parametrize("size", [1, 2, 7, 8, 16, 30, 69, 195])
    @pytest.mark.parametrize("per_s", LIMITS)
    def test_parts_add_up_to_the_limit(self, size: int, per_s: float) -> None:
        random = Random(size)
        demands = fleet_demands([random.expovariate(0.1) for _ in range(size)])
        for server in ("e-1", "e-2", "e-3"):
            shares = [limit_share(per_s, server, demand) for demand in demands]
            assert sum(shares) == pytest.approx(1.0)

    @pytest.mark.parametrize("size", [1, 7, 8, 30, 69, 195])
    @pytest.mark.parametrize("per_s", LIMITS)
    @pytest.mark.parametrize("skewed", [False, True], ids=["even", "skewed"])
    def test_a_burst_of_each_sender_stays_within_the_bound(
        self, size: int, per_s: float, skewed: bool
    ) -> None:
        requests = [500.0 if skewed and i == 0 else 5.0 for i in range(size)]
        demands = fleet_demands(requests)
        senders = sum(limit_share(per_s, "e-1", demand) > 0.0 for demand in demands)
        assert senders <= limit_senders(per_s, size)
        rate_per_s = max(per_s, 0.5)
        most = rate_per_s * (WINDOW_S + CREDIT_S) + senders
        assert most <= 1.5 * WINDOW_S * per_s + 5.0

    def test_instance_that_is_cut_off_takes_no_parts_of_others(self) -> None:
        alone = FleetDemand("i-0", {"i-0": 10.0}, "0", {}, 7, 1)
        assert limit_share(9.0, "e-1", alone) == pytest.approx(1 / 7)

    def test_nobody_has_demand(self) -> None:
        shares = [limit_share(9.0, "e-1", d) for d in fleet_demands([0.0] * 4)]
        assert shares == [pytest.approx(0.25)] * 4


class TestDemand:
    @pytest.mark.parametrize("size", [7, 30, 69, 195])
    def test_parts_over_many_engines_follow_demand(self, size: int) -> None:
        """One organisation's callers all stand at one of many instances.

        With equal parts by rank it got what an instance without load got (FAIR on
        grown fleets).
        """
        requests = [20.0] + [1.0] * (size - 1)
        demands = fleet_demands(requests)
        engines = [f"e-{number}" for number in range(400)]
        got = sum(limit_share(6.0, engine, demands[0]) for engine in engines)
        due = len(engines) * requests[0] / sum(requests)
        assert got >= 0.7 * due

    def test_instance_without_demand_is_not_shut_out(self) -> None:
        demands = fleet_demands([0.0, 50.0, 50.0])
        assert limit_share(6.0, "e-1", demands[0]) > 0.02
