"""Keeps a service from taking all connections or memory of an instance.

Load pattern: many callers whose requests wait for one service that answers slowly or
not at all. None of their connections may be closed, so that without a bound they would
take all connections, or all memory for callers, and everybody else would be refused.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from teaseldyke.http import CallerAccount

from .errors import ServiceCrowded

# Of the connections or of the memory for callers, taken by running requests; below it
# any service may take all.
SCARCE_SHARE = 0.75
SERVICE_SHARE = 0.5  # of the running requests, for one service while these are scarce
# Range of the jitter; running requests end at different times.
CROWDED_RETRY_S = (0.5, 1.5)


@attrs.define(eq=False)
class ServiceBulkhead:
    """Bulkhead between the running requests of the services at one instance.

    Parameters
    ----------
    account : CallerAccount
        Counts the connections and what is held for them.

    Examples
    --------
    >>> bulkhead = ServiceBulkhead(CallerAccount())
    >>> with bulkhead.enter("ledger"):
    ...     bulkhead.running
    1
    >>> bulkhead.running
    0
    """

    account: CallerAccount
    _running: Counter[str] = attrs.field(factory=Counter, init=False)

    @property
    def running(self) -> int:
        """Requests of all services."""
        return self._running.total()

    @contextmanager
    def enter(self, service: str) -> Iterator[None]:
        """Count a request to a service while it runs.

        Raises
        ------
        ServiceCrowded
            If it would take what is kept for callers of other services.
        """
        if self._is_crowded(service):
            raise ServiceCrowded(
                f"requests to service {service!r} take most of this instance's"
                f" connections or memory for callers",
                retry_after_s=random.uniform(*CROWDED_RETRY_S),
            )
        self._running[service] += 1
        try:
            yield
        finally:
            self._running[service] -= 1
            if not self._running[service]:
                del self._running[service]

    def _is_crowded(self, service: str) -> bool:
        if not self.account.is_taken_by_forwarded(SCARCE_SHARE):
            return False
        return self._running[service] > SERVICE_SHARE * self.running
