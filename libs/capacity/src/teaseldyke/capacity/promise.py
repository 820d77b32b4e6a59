"""Leases of a router's fraction of a shard's limits to dispatchers."""

from __future__ import annotations

import math

import attrs


@attrs.define(eq=False)
class CapacityLease:
    """Lease of a router's fraction of a shard's limits to a dispatcher.

    All times are on the router's clock. The lease runs for ``lease_s`` from the receipt
    of a dispatcher's message; the dispatcher counts it from the sending of that
    message, so that it expires there first.

    Parameters
    ----------
    lease_s : float
        Duration of the lease.
    held_until_s : float
        Until then a dispatcher may hold a lease that this router does not know of,
        because the router has just started.

    Examples
    --------
    >>> lease = CapacityLease(lease_s=1.0, held_until_s=0.0)
    >>> lease.set_dispatcher("a")
    >>> lease.renew(incarnation=7, now_s=5.0)
    >>> lease.set_dispatcher("b")
    >>> lease.remaining_hold_s(now_s=5.25)
    0.75
    """

    lease_s: float
    held_until_s: float
    dispatcher: str | None = None
    incarnation: int = 0
    until_s: float = -math.inf
    changes: int = 0
    predecessors: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def set_dispatcher(self, dispatcher: str | None) -> None:
        """Change the dispatcher that the next leases go to."""
        if dispatcher == self.dispatcher:
            return
        self._retire()
        self.changes += 1
        self.dispatcher = dispatcher
        self.incarnation = 0
        self.until_s = -math.inf

    def renew(self, incarnation: int, now_s: float) -> None:
        """Renew the lease on receipt of a message of the current dispatcher."""
        if incarnation != self.incarnation:
            self._retire()
            self.changes += 1
            self.incarnation = incarnation
        if self.dispatcher is not None:
            self.predecessors.pop((self.dispatcher, incarnation), None)
        self.until_s = now_s + self.lease_s

    def release(self) -> None:
        """End the current lease, which the dispatcher has released."""
        self.incarnation = 0
        self.until_s = -math.inf

    def remaining_hold_s(self, now_s: float) -> float:
        """Return for how long earlier leases may be valid."""
        until_s = max(self.predecessors.values(), default=-math.inf)
        return max(0.0, until_s - now_s, self.held_until_s - now_s)

    def unexpired_predecessors(self, now_s: float) -> list[tuple[str, int]]:
        """Return the earlier dispatchers with a valid lease, and remove the expired."""
        for key, until_s in list(self.predecessors.items()):
            if until_s <= now_s:
                del self.predecessors[key]
        return list(self.predecessors)

    def is_starting(self, now_s: float) -> bool:
        """Return whether, after a recent start, unknown earlier leases may be valid."""
        return now_s < self.held_until_s

    def _retire(self) -> None:
        if self.dispatcher is None or not self.incarnation:
            return
        key = (self.dispatcher, self.incarnation)
        self.predecessors[key] = max(
            self.until_s, self.predecessors.get(key, -math.inf)
        )
