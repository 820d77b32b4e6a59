from __future__ import annotations

import math

import pytest

from teaseldyke.placement import (
    DecayingSum,
    FairShares,
    Standing,
    water_level,
)


@pytest.mark.parametrize(
    ("demands", "capacity", "expected"),
    [
        ({}, 10.0, math.inf),
        ({"a": 10.0}, 10.0, math.inf),
        ({"a": 11.0}, 10.0, 10.0),
        ({"a": 1.0, "b": 100.0}, 11.0, 10.0),
        ({"a": 1.0, "b": 6.0, "c": 100.0}, 15.0, 8.0),
        ({"a": 50.0, "b": 50.0, "c": 50.0}, 30.0, 10.0),
    ],
    ids=["none", "fits", "one", "large-beside-small", "three", "equal"],
)
def test_water_level(
    demands: dict[str, float], capacity: float, expected: float
) -> None:
    assert water_level(demands, capacity) == expected


def test_decaying_sum_decays() -> None:
    usage = DecayingSum(4.0)
    usage.add(100.0, 0.0)
    assert usage.at(4.0) == pytest.approx(100.0 / math.e)


class TestStandings:
    def test_hot_organisation_is_over_and_the_others_are_not(self) -> None:
        """One organisation uses more than the others while all have queued requests."""
        fair_shares = FairShares(tokens_per_s=1000.0)
        queued = dict.fromkeys(("a", "b", "c", "hot"), 0.0)
        for step in range(200):
            now_s = step * 0.1
            for name in ("a", "b", "c"):
                fair_shares.charge(name, 20.0, now_s)
                queued[name] += 10.0
            fair_shares.charge("hot", 60.0, now_s)
            queued["hot"] += 100.0
            fair_shares.recompute(queued, now_s)
        assert fair_shares.is_over("hot", 20.0)
        assert not fair_shares.is_over("a", 20.0)

    def test_nobody_is_over_while_all_fit(self) -> None:
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 3000.0, 0.0)
        fair_shares.recompute({}, 0.0)
        assert not fair_shares.is_over("hot", 0.0)

    def test_capacity_without_other_demand_may_be_used(self) -> None:
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        fair_shares.recompute({"hot": 10_000.0}, 0.0)
        assert not fair_shares.is_over("hot", 0.0)

    def test_usage_at_other_instances_counts(self) -> None:
        fair_shares = FairShares(tokens_per_s=100.0)
        fair_shares.charge("a", 150.0, 0.0)
        fair_shares.peer_usage = {"hot": 300.0}
        fair_shares.recompute({"a": 100.0}, 0.0)
        assert fair_shares.is_over("hot", 0.0)
        assert not fair_shares.is_over("a", 0.0)

    @pytest.mark.parametrize(
        ("usage", "queued", "expected"),
        [
            ({"hot": 900.0, "small": 20.0}, {"small": 200.0}, Standing.UNDER),
            ({"hot": 900.0, "small": 200.0}, {"small": 20.0}, Standing.FAIR),
            ({"hot": 900.0, "small": 20.0}, {}, Standing.FAIR),
            ({"hot": 900.0, "small": 300.0}, {"small": 500.0}, Standing.UNDER),
        ],
        ids=["gets-little", "gets-most", "asks-little", "below-the-share"],
    )
    def test_organisation_far_below_its_demand_is_under(
        self, usage: dict[str, float], queued: dict[str, float], expected: Standing
    ) -> None:
        fair_shares = FairShares(tokens_per_s=250.0)
        fair_shares.peer_usage = usage
        fair_shares.recompute({"hot": 800.0, **queued}, 0.0)
        assert fair_shares.standing("small", 0.0) is expected

    def test_nobody_is_over_unless_others_have_queued_requests(self) -> None:
        fair_shares = FairShares(tokens_per_s=250.0)
        fair_shares.peer_usage = {"hot": 1500.0, "small": 20.0}
        fair_shares.recompute({"hot": 2000.0}, 0.0)
        assert fair_shares.standing("hot", 0.0) is Standing.FAIR
        fair_shares.recompute({"hot": 2000.0, "small": 200.0}, 0.0)
        assert fair_shares.standing("hot", 0.0) is Standing.OVER

    def test_organisation_below_its_level_is_not_over(self) -> None:
        """Many small ones that wait for a moment draw the mean position down."""
        fair_shares = FairShares(tokens_per_s=1000.0)
        small = {f"small-{number}": 20.0 for number in range(20)}
        fair_shares.peer_usage = {"large": 3000.0, "lacking": 1200.0, **small}
        queued = {"large": 5000.0, "lacking": 5000.0, **small}
        fair_shares.recompute(queued, 0.0)
        assert fair_shares.standing("large", 0.0) is Standing.OVER
        assert fair_shares.standing("lacking", 0.0) is not Standing.OVER

    def test_organisation_that_is_backlogged_alone_is_not_over_after_a_send(
        self,
    ) -> None:
        fair_shares = FairShares(tokens_per_s=250.0)
        fair_shares.peer_usage = {"hot": 1500.0, "small": 20.0}
        fair_shares.recompute({"hot": 2000.0}, 0.0)
        fair_shares.charge("hot", 50.0, 0.0)
        assert fair_shares.standing("hot", 0.0) is Standing.FAIR


def make_fair_shares(
    own: dict[str, float],
    peer_queued: dict[str, float],
    usage: dict[str, float] | None = None,
) -> FairShares:
    fair_shares = FairShares(tokens_per_s=100.0)
    fair_shares.peer_queued = peer_queued
    fair_shares.peer_usage = usage or {}
    fair_shares.recompute(own, 0.0)
    return fair_shares


# Of 400 tokens in 4 s, the primary claims of 0.3 s are 30, and 6 are for excess claims.
# The excess claim of "a" is its deficit of 400, that of "b" a twentieth of the share.
UNDER_SHARE_CLAIM = 30.0 + 6.0 * 400.0 / 420.0
OVER_SHARE_CLAIM = 6.0 * 20.0 / 420.0


class TestQuota:
    """Fraction of free capacity that an organisation may use at one instance."""

    @pytest.mark.parametrize(
        ("name", "own", "peer_queued", "usage", "expected"),
        [
            ("a", {"a": 100.0}, {}, {}, 1.0),
            ("a", {"a": 100.0}, {"a": 300.0}, {}, 0.25),
            ("a", {"a": 100.0}, {"b": 100.0}, {}, 0.5),
            ("a", {"a": 500.0}, {"b": 500.0}, {"b": 400.0}, UNDER_SHARE_CLAIM / 36.0),
            ("b", {"b": 500.0}, {"a": 500.0}, {"b": 400.0}, OVER_SHARE_CLAIM / 36.0),
            ("b", {"a": 500.0, "b": 500.0}, {}, {"b": 400.0}, OVER_SHARE_CLAIM / 36.0),
        ],
        ids=[
            "alone",
            "fourth-of-its-waiting",
            "two-alike",
            "lacks-all",
            "has-its-share",
            "has-its-share-at-the-same-instance",
        ],
    )
    def test_quota_follows_queued_tokens_and_deficit(
        self,
        name: str,
        own: dict[str, float],
        peer_queued: dict[str, float],
        usage: dict[str, float],
        expected: float,
    ) -> None:
        fair_shares = make_fair_shares(own, peer_queued, usage)
        quota = fair_shares.quota(name, own[name], 50, 10, 0.0)
        assert quota.organisation == name
        assert quota.fraction == pytest.approx(expected)

    def test_organisation_gets_as_much_at_one_instance_as_at_many(self) -> None:
        """One of 40 instances has all queued requests of an organisation."""
        at_one = make_fair_shares({"narrow": 2000.0}, {"wide": 2000.0})
        narrow = at_one.quota("narrow", 2000.0, 50, 10, 0.0)
        at_many = make_fair_shares({"wide": 50.0}, {"wide": 1950.0, "narrow": 2000.0})
        wide = at_many.quota("wide", 50.0, 50, 10, 0.0)
        assert narrow.fraction == pytest.approx(0.5)
        assert 40 * wide.fraction == pytest.approx(0.5)

    def test_few_requests_compete_for_few_engines(
        self,
    ) -> None:
        fair_shares = make_fair_shares({"a": 10.0}, {"b": 20.0})
        quota = fair_shares.quota("a", 10.0, 1, 5, 0.0)
        assert quota.fraction == pytest.approx(10.0 / 14.0)
