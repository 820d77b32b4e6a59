"""Queues of requests that wait for a permit in one router."""

from __future__ import annotations

import math
from bisect import insort

import attrs
import trio

from .errors import DispatchError
from .permit import Permit


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a permit.

    Parameters
    ----------
    organisation : str
        Organisation that sent the request.
    first_at_s : float
        When the first attempt at the request was queued.
    avoid : frozenset of str
        Backend servers that it must not be sent to.
    deadline_at_s : float
        The request is not sent after this time.
    """

    organisation: str
    first_at_s: float
    avoid: frozenset[str] = frozenset()
    deadline_at_s: float = math.inf
    wake: trio.Event = attrs.field(factory=trio.Event)
    permit: Permit | None = None
    error: DispatchError | None = None

    def resolve(self, permit: Permit) -> None:
        """End the wait with a permit."""
        self.permit = permit
        self.wake.set()

    def fail(self, error: DispatchError) -> None:
        """End the wait with an error."""
        self.error = error
        self.wake.set()


@attrs.define(eq=False)
class OrganisationQueue:
    """Queued requests of one organisation for one service, the oldest first.

    Examples
    --------
    >>> queue = OrganisationQueue("parish")
    >>> queue.add(Waiter("parish", 2.0, frozenset({"engine-1"})))
    >>> queue.add(Waiter("parish", 1.0, frozenset({"engine-1", "engine-2"})))
    >>> queue.oldest_at_s, sorted(queue.avoided_servers())
    (1.0, ['engine-1'])
    >>> queue.pop_for("engine-2").first_at_s
    2.0
    """

    organisation: str
    waiters: list[Waiter] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self.waiters)

    @property
    def oldest_at_s(self) -> float:
        """Return when the first attempt at the oldest request was queued."""
        return self.waiters[0].first_at_s

    def add(self, waiter: Waiter) -> None:
        """Insert a request in order of age."""
        insort(self.waiters, waiter, key=lambda other: other.first_at_s)

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def pop_for(self, server: str) -> Waiter | None:
        """Remove and return the oldest request that may go to a backend server."""
        for waiter in self.waiters:
            if server in waiter.avoid:
                continue
            self.waiters.remove(waiter)
            return waiter
        return None

    def avoided_servers(self) -> frozenset[str]:
        """Return the backend servers that every queued request has to avoid."""
        avoided_servers = self.waiters[0].avoid if self.waiters else frozenset()
        for waiter in self.waiters:
            if not avoided_servers:
                break
            avoided_servers &= waiter.avoid
        return avoided_servers
