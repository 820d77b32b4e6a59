from __future__ import annotations

from fractions import Fraction

import pytest

from teaseldyke.capacity import CapacityLease, Delegation, Delegations

MEMBERS = frozenset("abc")


def part(
    expires_at_s: float = 10.0, usable_at_s: float = 0.0, gone: bool = False
) -> Delegation:
    return Delegation(3, 3, expires_at_s, usable_at_s, gone)


class TestLevels:
    @pytest.mark.parametrize(
        ("parts", "gone", "fraction"),
        [
            ({"a": part()}, "", Fraction(1, 3)),
            ({"a": part(), "b": part(usable_at_s=5.0)}, "", Fraction(1, 3)),
            ({"a": part(), "b": part(usable_at_s=5.0, gone=True)}, "", Fraction(1, 3)),
            ({"a": part(), "b": part()}, "c", Fraction(1)),
            ({"a": part(), "b": part(usable_at_s=5.0)}, "c", Fraction(1, 3)),
            ({"a": part(), "b": part(usable_at_s=5.0, gone=True)}, "c", Fraction(1)),
            ({"a": part(), "b": part(expires_at_s=1.0)}, "c", Fraction(1, 3)),
        ],
        ids=[
            "one part",
            "still promised",
            "predecessor gone but one has not moved",
            "all others moved",
            "one still promised",
            "all moved and the predecessor gone",
            "one expired",
        ],
    )
    def test_fraction(
        self, parts: dict[str, Delegation], gone: str, fraction: Fraction
    ) -> None:
        book = Delegations(lambda: MEMBERS, lambda: 3, lambda name: name in gone)
        for name, delegation in parts.items():
            book.record(name, delegation)
        assert book.fractions(now_s=2.0)[-1].fraction == fraction

    def test_router_that_sees_more_members_leaves_no_part_free(self) -> None:
        book = Delegations(lambda: MEMBERS, lambda: 3, lambda name: name == "c")
        book.record("a", part())
        book.record("b", Delegation(4, 4, 10.0, 0.0, False))
        assert book.fractions(now_s=2.0)[-1].fraction == Fraction(7, 12)

    def test_router_that_holds_nothing_may_still_use_old_grants(self) -> None:
        book = Delegations(lambda: MEMBERS, lambda: 4, lambda name: name == "c")
        book.record("a", part())
        book.record("b", part(usable_at_s=5.0, gone=True))
        assert book.fractions(now_s=2.0)[-1].fraction == Fraction(1, 3)
        assert book.fractions(now_s=5.0)[-1].fraction == Fraction(1)

    def test_router_that_holds_nothing_adds_no_part(self) -> None:
        book = Delegations(lambda: frozenset("a"), lambda: 3, lambda name: False)
        book.record("a", part())
        parts = book.effective_ids(now_s=2.0)
        book.record("b", part())
        assert book.effective_ids(now_s=2.0) == parts


class TestPromise:
    def test_part_stays_promised_to_the_old_dispatcher(self) -> None:
        lease = CapacityLease(lease_s=1.0, held_until_s=0.0)
        lease.set_dispatcher("a")
        lease.renew(incarnation=7, now_s=5.0)
        lease.set_dispatcher("b")
        assert lease.unexpired_predecessors(now_s=5.9) == [("a", 7)]
        assert lease.unexpired_predecessors(now_s=6.0) == []

    def test_released_part_is_free(self) -> None:
        lease = CapacityLease(lease_s=1.0, held_until_s=0.0)
        lease.set_dispatcher("a")
        lease.renew(incarnation=7, now_s=5.0)
        lease.release()
        lease.set_dispatcher("b")
        assert lease.remaining_hold_s(now_s=5.0) == 0.0
