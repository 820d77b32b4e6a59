"""A router's promises of its part of a shard's backend servers."""

from __future__ import annotations

import math

import attrs


@attrs.define(eq=False)
class CapacityLease:
    """To which dispatcher a router has promised its part, and until when.

    All times are of the router's own clock. A promise runs for the lease from the
    receipt of a dispatcher's message; the dispatcher counts it from the sending of
    that message, so that it stops counting first.

    Parameters
    ----------
    lease_s : float
        Length of a promise.
    held_until_s : float
        Before then the part may be promised to a dispatcher that this router no
        longer knows, because it has just started.

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
        """Report to another dispatcher from now on."""
        if dispatcher == self.dispatcher:
            return
        self._retire()
        self.changes += 1
        self.dispatcher = dispatcher
        self.incarnation = 0
        self.until_s = -math.inf

    def renew(self, incarnation: int, now_s: float) -> None:
        """Promise the part anew on a message of the current dispatcher."""
        if incarnation != self.incarnation:
            self._retire()
            self.changes += 1
            self.incarnation = incarnation
        if self.dispatcher is not None:
            self.predecessors.pop((self.dispatcher, incarnation), None)
        self.until_s = now_s + self.lease_s

    def release(self) -> None:
        """Forget the current promise, which the dispatcher has handed back."""
        self.incarnation = 0
        self.until_s = -math.inf

    def remaining_hold_s(self, now_s: float) -> float:
        """Return for how long older promises still bind the part."""
        until_s = max(self.predecessors.values(), default=-math.inf)
        return max(0.0, until_s - now_s, self.held_until_s - now_s)

    def unexpired_predecessors(self, now_s: float) -> list[tuple[str, int]]:
        """Return the older dispatchers whose promise still runs."""
        for key, until_s in list(self.predecessors.items()):
            if until_s <= now_s:
                del self.predecessors[key]
        return list(self.predecessors)

    def is_starting(self, now_s: float) -> bool:
        """Return whether this router has just started and holds nothing yet."""
        return now_s < self.held_until_s

    def _retire(self) -> None:
        if self.dispatcher is None or not self.incarnation:
            return
        key = (self.dispatcher, self.incarnation)
        self.predecessors[key] = max(
            self.until_s, self.predecessors.get(key, -math.inf)
        )
