from __future__ import annotations

from fractions import Fraction

import pytest

from teaseldyke.capacity import CapacityLease, Delegation, Delegations

MEMBERS = frozenset("abc")


def make_delegation(
    expires_at_s: float = 10.0, usable_at_s: float = 0.0, gone: bool = False
) -> Delegation:
    return Delegation(3, 3, expires_at_s, usable_at_s, gone)


class TestFractions:
    @pytest.mark.parametrize(
        ("by_router", "gone", "fraction"),
        [
            ({"a": make_delegation()}, "", Fraction(1, 3)),
            (
                {"a": make_delegation(), "b": make_delegation(usable_at_s=5.0)},
                "",
                Fraction(1, 3),
            ),
            (
                {
                    "a": make_delegation(),
                    "b": make_delegation(usable_at_s=5.0, gone=True),
                },
                "",
                Fraction(1, 3),
            ),
            ({"a": make_delegation(), "b": make_delegation()}, "c", Fraction(1)),
            (
                {"a": make_delegation(), "b": make_delegation(usable_at_s=5.0)},
                "c",
                Fraction(1, 3),
            ),
            (
                {
                    "a": make_delegation(),
                    "b": make_delegation(usable_at_s=5.0, gone=True),
                },
                "c",
                Fraction(1),
            ),
            (
                {"a": make_delegation(), "b": make_delegation(expires_at_s=1.0)},
                "c",
                Fraction(1, 3),
            ),
        ],
        ids=[
            "one delegation",
            "earlier lease still valid",
            "predecessor gone but one holder missing",
            "all others delegate",
            "one earlier lease still valid",
            "all delegate and the predecessor gone",
            "one expired",
        ],
    )
    def test_fraction(
        self, by_router: dict[str, Delegation], gone: str, fraction: Fraction
    ) -> None:
        delegations = Delegations(lambda: MEMBERS, lambda: 3, lambda name: name in gone)
        for name, delegation in by_router.items():
            delegations.record(name, delegation)
        assert delegations.fractions(now_s=2.0)[-1].fraction == fraction

    def test_router_that_knows_more_members_prevents_completeness(self) -> None:
        delegations = Delegations(lambda: MEMBERS, lambda: 3, lambda name: name == "c")
        delegations.record("a", make_delegation())
        delegations.record("b", Delegation(4, 4, 10.0, 0.0, False))
        assert delegations.fractions(now_s=2.0)[-1].fraction == Fraction(7, 12)

    def test_member_without_a_fraction_may_still_use_earlier_grants(self) -> None:
        delegations = Delegations(lambda: MEMBERS, lambda: 4, lambda name: name == "c")
        delegations.record("a", make_delegation())
        delegations.record("b", make_delegation(usable_at_s=5.0, gone=True))
        assert delegations.fractions(now_s=2.0)[-1].fraction == Fraction(1, 3)
        assert delegations.fractions(now_s=5.0)[-1].fraction == Fraction(1)

    def test_router_that_is_no_holder_adds_no_fraction(self) -> None:
        delegations = Delegations(lambda: frozenset("a"), lambda: 3, lambda name: False)
        delegations.record("a", make_delegation())
        ids = delegations.effective_ids(now_s=2.0)
        delegations.record("b", make_delegation())
        assert delegations.effective_ids(now_s=2.0) == ids


class TestCapacityLease:
    def test_earlier_dispatcher_keeps_its_lease_until_expiry(self) -> None:
        lease = CapacityLease(lease_s=1.0, held_until_s=0.0)
        lease.set_dispatcher("a")
        lease.renew(incarnation=7, now_s=5.0)
        lease.set_dispatcher("b")
        assert lease.unexpired_predecessors(now_s=5.9) == [("a", 7)]
        assert lease.unexpired_predecessors(now_s=6.0) == []

    def test_released_lease_ends_at_once(self) -> None:
        lease = CapacityLease(lease_s=1.0, held_until_s=0.0)
        lease.set_dispatcher("a")
        lease.renew(incarnation=7, now_s=5.0)
        lease.release()
        lease.set_dispatcher("b")
        assert lease.remaining_hold_s(now_s=5.0) == 0.0
