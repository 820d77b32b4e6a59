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


def test_decaying_sum_forgets() -> None:
    usage = DecayingSum(4.0)
    usage.add(100.0, 0.0)
    assert usage.at(4.0) == pytest.approx(100.0 / math.e)


class TestStandings:
    def test_hot_organisation_is_over_and_the_others_are_not(self) -> None:
        """One organisation has more than the others while all of them wait."""
        fair_shares = FairShares(tokens_per_s=1000.0)
        waiting = dict.fromkeys(("a", "b", "c", "hot"), 0.0)
        for step in range(200):
            now_s = step * 0.1
            for name in ("a", "b", "c"):
                fair_shares.charge(name, 20.0, now_s)
                waiting[name] += 10.0
            fair_shares.charge("hot", 60.0, now_s)
            waiting["hot"] += 100.0
            fair_shares.recompute(waiting, now_s)
        assert fair_shares.is_over("hot", 20.0)
        assert not fair_shares.is_over("a", 20.0)

    def test_nobody_is_over_while_all_fit(self) -> None:
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 3000.0, 0.0)
        fair_shares.recompute({}, 0.0)
        assert not fair_shares.is_over("hot", 0.0)

    def test_what_nobody_else_asks_for_may_be_taken(self) -> None:
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
        ("usage", "waiting", "expected"),
        [
            ({"hot": 900.0, "small": 20.0}, {"small": 200.0}, Standing.UNDER),
            ({"hot": 900.0, "small": 200.0}, {"small": 20.0}, Standing.FAIR),
            ({"hot": 900.0, "small": 20.0}, {}, Standing.FAIR),
            ({"hot": 900.0, "small": 300.0}, {"small": 500.0}, Standing.UNDER),
        ],
        ids=["gets-little", "gets-most", "asks-little", "below-the-share"],
    )
    def test_who_got_much_less_than_it_asked_is_under(
        self, usage: dict[str, float], waiting: dict[str, float], expected: Standing
    ) -> None:
        fair_shares = FairShares(tokens_per_s=250.0)
        fair_shares.peer_usage = usage
        fair_shares.recompute({"hot": 800.0, **waiting}, 0.0)
        assert fair_shares.standing("small", 0.0) is expected

    def test_nobody_is_over_unless_others_wait(self) -> None:
        fair_shares = FairShares(tokens_per_s=250.0)
        fair_shares.peer_usage = {"hot": 1500.0, "small": 20.0}
        fair_shares.recompute({"hot": 2000.0}, 0.0)
        assert fair_shares.standing("hot", 0.0) is Standing.FAIR
        fair_shares.recompute({"hot": 2000.0, "small": 200.0}, 0.0)
        assert fair_shares.standing("hot", 0.0) is Standing.OVER


def settled(
    own: dict[str, float],
    foreign: dict[str, float],
    usage: dict[str, float] | None = None,
) -> FairShares:
    fair_shares = FairShares(tokens_per_s=100.0)
    fair_shares.peer_queued = foreign
    fair_shares.peer_usage = usage or {}
    fair_shares.recompute(own, 0.0)
    return fair_shares


# Of 400 tokens in 4 s, 30 have their turn in 0.3 s, and 6 are for the rest. Beyond its
# turn, "a" may claim what it lacks of the share, 400, and "b" a twentieth of that.
IN_TURN = 30.0 + 6.0 * 400.0 / 420.0
REST = 6.0 * 20.0 / 420.0


class TestRoomPart:
    """The part of free room that an organisation takes, by what it lacks."""

    @pytest.mark.parametrize(
        ("name", "own", "foreign", "usage", "expected"),
        [
            ("a", {"a": 100.0}, {}, {}, 1.0),
            ("a", {"a": 100.0}, {"a": 300.0}, {}, 0.25),
            ("a", {"a": 100.0}, {"b": 100.0}, {}, 0.5),
            ("a", {"a": 500.0}, {"b": 500.0}, {"b": 400.0}, IN_TURN / 36.0),
            ("b", {"b": 500.0}, {"a": 500.0}, {"b": 400.0}, REST / 36.0),
            ("b", {"a": 500.0, "b": 500.0}, {}, {"b": 400.0}, REST / 36.0),
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
    def test_it_follows_what_waits_and_what_is_lacking(
        self,
        name: str,
        own: dict[str, float],
        foreign: dict[str, float],
        usage: dict[str, float],
        expected: float,
    ) -> None:
        fair_shares = settled(own, foreign, usage)
        quota = fair_shares.quota(name, own[name], 50, 10, 0.0)
        assert quota.organisation == name
        assert quota.fraction == pytest.approx(expected)

    def test_organisation_gets_as_much_at_one_instance_as_at_many(self) -> None:
        """Of 40 instances, one has all that waits of an organisation."""
        at_one = settled({"narrow": 2000.0}, {"wide": 2000.0})
        narrow = at_one.quota("narrow", 2000.0, 50, 10, 0.0)
        at_many = settled({"wide": 50.0}, {"wide": 1950.0, "narrow": 2000.0})
        wide = at_many.quota("wide", 50.0, 50, 10, 0.0)
        assert narrow.fraction == pytest.approx(0.5)
        assert 40 * wide.fraction == pytest.approx(0.5)

    def test_few_requests_don_t_compete_with_what_waits_for_other_engines(
        self,
    ) -> None:
        fair_shares = settled({"a": 10.0}, {"b": 20.0})
        quota = fair_shares.quota("a", 10.0, 1, 5, 0.0)
        assert quota.fraction == pytest.approx(10.0 / 14.0)
