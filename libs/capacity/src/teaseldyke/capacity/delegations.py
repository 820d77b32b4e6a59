"""Fractions of the limits that routers delegate to a dispatcher."""

from __future__ import annotations

import math
from collections.abc import Callable
from fractions import Fraction

import attrs

from .allowance import allowed_concurrency, total_fraction


@attrs.frozen
class Delegation:
    """One router's fraction of the limits, with times on the dispatcher's clock.

    Parameters
    ----------
    holders : int
        Number of routers that hold a fraction, as known to the router; its fraction is
        one divided by this number.
    members : int
        Number of fleet members known to the router.
    expires_at_s : float
        When the delegation expires.
    usable_at_s : float
        Until then, earlier leases of the router to other dispatchers may be valid.
    predecessors_gone : bool
        Whether every dispatcher with an earlier lease is proven to have ended.
    lease_id : tuple of int
        Incarnation of the router and number of its lease.
    """

    holders: int
    members: int
    expires_at_s: float
    usable_at_s: float
    predecessors_gone: bool
    lease_id: tuple[int, int] = (0, 0)


@attrs.frozen
class DelegatedFraction:
    """Fraction of every limit that is delegated until a time."""

    expires_at_s: float
    fraction: Fraction


@attrs.define(eq=False)
class Delegations:
    """Delegations to one dispatcher, and the sum of their fractions.

    Parameters
    ----------
    holders : callable
        Returns the names of the routers that hold a fraction.
    fleet_size : callable
        Returns the number of all members.
    is_gone : callable
        Returns whether a member's process is proven to have ended.

    Examples
    --------
    >>> delegated = Delegations(lambda: frozenset("abc"), lambda: 3, lambda name: False)
    >>> for name in "ab":
    ...     delegated.record(name, Delegation(3, 3, 10.0, 0.0, False))
    >>> fractions = delegated.fractions(now_s=1.0)
    >>> covered_until_s(fractions, limit=1, count=1), covered_until_s(fractions, 1, 2)
    (10.0, -inf)
    """

    holders: Callable[[], frozenset[str]]
    fleet_size: Callable[[], int]
    is_gone: Callable[[str], bool]
    by_router: dict[str, Delegation] = attrs.field(factory=dict)

    def record(self, router: str, delegation: Delegation) -> None:
        """Replace a router's delegation."""
        self.by_router[router] = delegation

    def remove(self, router: str) -> None:
        """Remove a router's delegation."""
        self.by_router.pop(router, None)

    def is_complete(self, now_s: float) -> bool:
        """Return whether all holders delegate, but for those proven to have ended."""
        fleet_size = self.fleet_size()
        holders = self.holders()
        # A router without a fraction may not know yet that a dispatcher has ended.
        all_hold = len(holders) >= fleet_size
        for name in holders:
            delegation = self.by_router.get(name)
            if delegation is None or delegation.expires_at_s <= now_s:
                if not self.is_gone(name):
                    return False
                continue
            if delegation.members > fleet_size:
                return False  # it knows a router that this one does not know
            if delegation.usable_at_s <= now_s:
                continue
            if not delegation.predecessors_gone or not all_hold:
                return False
        return True

    def missing(self, until_s: float) -> list[str]:
        """Return the holders without a delegation that lasts until a time."""
        missing = []
        for name in self.holders():
            delegation = self.by_router.get(name)
            if delegation is not None and delegation.expires_at_s > until_s:
                continue
            if self.is_gone(name):
                continue
            missing.append(name)
        return sorted(missing)

    def effective_ids(self, now_s: float) -> set[tuple[object, ...]]:
        """Return the ids of the delegations that are effective now."""
        complete = self.is_complete(now_s)
        holders = self.holders()
        ids: set[tuple[object, ...]] = set()
        for name, delegation in self.by_router.items():
            if name not in holders or delegation.expires_at_s <= now_s:
                continue
            if delegation.usable_at_s <= now_s or complete:
                ids.add((name, delegation.lease_id))
        if complete and ids:
            ids |= {(name,) for name in holders if self.is_gone(name)}
        return ids

    def fractions(self, now_s: float) -> list[DelegatedFraction]:
        """Return the cumulative fractions, the one that expires last first."""
        if not self.by_router:
            return []
        complete = self.is_complete(now_s)
        holders = self.holders()
        effective = []
        for name, delegation in self.by_router.items():
            if name not in holders or delegation.expires_at_s <= now_s:
                continue
            if delegation.usable_at_s > now_s and not complete:
                continue
            effective.append(delegation)
        effective.sort(key=lambda delegation: -delegation.expires_at_s)
        fractions = []
        holder_counts: list[int] = []
        for delegation in effective:
            holder_counts.append(delegation.holders)
            fractions.append(
                DelegatedFraction(
                    delegation.expires_at_s, total_fraction(holder_counts)
                )
            )
        if complete and fractions:
            # No other dispatcher can use the fractions of holders that have ended.
            fractions[-1] = DelegatedFraction(fractions[-1].expires_at_s, Fraction(1))
        return fractions


def covered_until_s(
    fractions: list[DelegatedFraction], limit: int, count: int
) -> float:
    """Return until when the fractions allow ``count`` concurrent requests."""
    for delegated in fractions:
        if allowed_concurrency(limit, delegated.fraction) >= count:
            return delegated.expires_at_s
    return -math.inf


def granted_limit(fractions: list[DelegatedFraction], limit: int) -> int:
    """Return the concurrent requests that the fractions allow now."""
    if not fractions:
        return 0
    return allowed_concurrency(limit, fractions[-1].fraction)
