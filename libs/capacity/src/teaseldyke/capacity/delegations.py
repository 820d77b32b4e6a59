"""A dispatcher's book of the parts that routers delegate to it."""

from __future__ import annotations

import math
from collections.abc import Callable
from fractions import Fraction

import attrs

from .allowance import allowed_concurrency, total_fraction


@attrs.frozen
class Delegation:
    """One router's part, in times of the dispatcher's own clock.

    Parameters
    ----------
    holders : int
        Routers that hold a part, as the router sees them; its part is one of so many.
    members : int
        Members of the fleet that the router sees.
    expires_at_s : float
        The part counts until then.
    usable_at_s : float
        Older promises of the router bind the part until then.
    predecessors_gone : bool
        Whether every dispatcher with an older promise is proven gone.
    lease_id : tuple of int
        Incarnation of the router and number of its promise.
    """

    holders: int
    members: int
    expires_at_s: float
    usable_at_s: float
    predecessors_gone: bool
    lease_id: tuple[int, int] = (0, 0)


@attrs.frozen
class DelegatedFraction:
    """A fraction of every limit that is delegated until a time."""

    expires_at_s: float
    fraction: Fraction


@attrs.define(eq=False)
class Delegations:
    """Sums the parts that count now.

    Parameters
    ----------
    holders : callable
        Returns the names of the routers that hold a part.
    fleet_size : callable
        Returns the number of all members.
    is_gone : callable
        Returns whether a member's process is proven gone.

    Examples
    --------
    >>> book = Delegations(lambda: frozenset("abc"), lambda: 3, lambda name: False)
    >>> for name in "ab":
    ...     book.record(name, Delegation(3, 3, 10.0, 0.0, False))
    >>> fractions = book.fractions(now_s=1.0)
    >>> covered_until_s(fractions, limit=1, count=1), covered_until_s(fractions, 1, 2)
    (10.0, -inf)
    """

    holders: Callable[[], frozenset[str]]
    fleet_size: Callable[[], int]
    is_gone: Callable[[str], bool]
    by_router: dict[str, Delegation] = attrs.field(factory=dict)

    def record(self, router: str, delegation: Delegation) -> None:
        """Replace a router's part."""
        self.by_router[router] = delegation

    def remove(self, router: str) -> None:
        """Forget a router's part."""
        self.by_router.pop(router, None)

    def is_complete(self, now_s: float) -> bool:
        """Return whether every holder that is not proven gone delegates its part."""
        fleet_size = self.fleet_size()
        holders = self.holders()
        # A router that holds no part may not know yet that a dispatcher is gone.
        all_hold = len(holders) >= fleet_size
        for name in holders:
            delegation = self.by_router.get(name)
            if delegation is None or delegation.expires_at_s <= now_s:
                if not self.is_gone(name):
                    return False
                continue
            if delegation.members > fleet_size:
                return False  # it knows of a router that this one does not
            if delegation.usable_at_s <= now_s:
                continue
            if not delegation.predecessors_gone or not all_hold:
                return False
        return True

    def missing(self, until_s: float) -> list[str]:
        """Return the holders whose part does not count until a time."""
        found = []
        for name in self.holders():
            delegation = self.by_router.get(name)
            if delegation is not None and delegation.expires_at_s > until_s:
                continue
            if self.is_gone(name):
                continue
            found.append(name)
        return sorted(found)

    def effective_ids(self, now_s: float) -> set[tuple[object, ...]]:
        """Return the parts that count now, each named by its promise."""
        complete = self.is_complete(now_s)
        holders = self.holders()
        parts: set[tuple[object, ...]] = set()
        for name, delegation in self.by_router.items():
            if name not in holders or delegation.expires_at_s <= now_s:
                continue
            if delegation.usable_at_s <= now_s or complete:
                parts.add((name, delegation.lease_id))
        if complete and parts:
            parts |= {(name,) for name in holders if self.is_gone(name)}
        return parts

    def fractions(self, now_s: float) -> list[DelegatedFraction]:
        """Return the delegated fractions, the one that lasts longest first."""
        if not self.by_router:
            return []
        complete = self.is_complete(now_s)
        holders = self.holders()
        counted = []
        for name, delegation in self.by_router.items():
            if name not in holders or delegation.expires_at_s <= now_s:
                continue
            if delegation.usable_at_s > now_s and not complete:
                continue
            counted.append(delegation)
        counted.sort(key=lambda delegation: -delegation.expires_at_s)
        fractions = []
        counts: list[int] = []
        for delegation in counted:
            counts.append(delegation.holders)
            fractions.append(
                DelegatedFraction(delegation.expires_at_s, total_fraction(counts))
            )
        if complete and fractions:
            # Nobody else can use the parts of holders whose process is gone.
            fractions[-1] = DelegatedFraction(fractions[-1].expires_at_s, Fraction(1))
        return fractions


def covered_until_s(
    fractions: list[DelegatedFraction], limit: int, count: int
) -> float:
    """Return until when the delegated parts allow ``count`` requests at once."""
    for level in fractions:
        if allowed_concurrency(limit, level.fraction) >= count:
            return level.expires_at_s
    return -math.inf


def granted_limit(fractions: list[DelegatedFraction], limit: int) -> int:
    """Return the concurrent requests that the delegated parts allow now."""
    if not fractions:
        return 0
    return allowed_concurrency(limit, fractions[-1].fraction)
