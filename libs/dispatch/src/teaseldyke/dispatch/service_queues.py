"""Queued requests and costs of one service in one router."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from teaseldyke.fairness import CostEstimates, DrainRate, ServedCosts
from teaseldyke.types import Service

from .errors import DispatchError
from .waiting import OrganisationQueue, Waiter


@attrs.define(eq=False)
class ServiceQueues:
    """Queues, costs and drain rates of one service, by organisation.

    Parameters
    ----------
    service : Service
        Service that the requests are for.
    """

    service: Service
    estimates: CostEstimates = attrs.field(factory=CostEstimates)
    served: ServedCosts = attrs.field(factory=ServedCosts)
    cost_hints: dict[str, float] = attrs.field(factory=dict)
    outstanding_cost: dict[str, float] = attrs.field(factory=dict)
    _queues: dict[str, OrganisationQueue] = attrs.field(factory=dict)
    _drain_rates: dict[str, DrainRate] = attrs.field(factory=dict)

    def __getitem__(self, organisation: str) -> OrganisationQueue:
        queue = self._queues.get(organisation)
        if queue is None:
            queue = OrganisationQueue(organisation)
            self._queues[organisation] = queue
        return queue

    def __iter__(self) -> Iterator[OrganisationQueue]:
        return iter(list(self._queues.values()))

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def estimate(self, organisation: str) -> float:
        """Return the expected cost of the next request."""
        hint = self.cost_hints.get(organisation, 1.0)
        return self.estimates.estimate(self.service.name, organisation, hint)

    def retry_after_s(self, organisation: str, now_s: float) -> float:
        """Return after how many seconds a refused caller should retry."""
        rate = self._drain_rates.setdefault(organisation, DrainRate())
        return rate.retry_after_s(len(self[organisation]), now_s)

    def complete(self, organisation: str, cost: float, now_s: float) -> None:
        """Update the cost estimate and the drain rate with a completed request."""
        self.estimates.update(self.service.name, organisation, cost)
        self._drain_rates.setdefault(organisation, DrainRate()).complete(now_s)

    def adjust_outstanding_cost(self, organisation: str, estimate_cost: float) -> None:
        """Add the cost of a grant; a negative cost removes it again."""
        known = self.outstanding_cost.get(organisation, 0.0)
        self.outstanding_cost[organisation] = max(0.0, known + estimate_cost)

    def pop_for(self, organisation: str, server: str) -> Waiter | None:
        """Remove and return the oldest request that may go to a backend server."""
        queue = self._queues.get(organisation)
        return None if queue is None else queue.pop_for(server)

    def fail_all(self, organisation: str, error: DispatchError) -> None:
        """Fail every queued request of an organisation."""
        queue = self[organisation]
        for waiter in queue.waiters:
            waiter.fail(error)
        queue.waiters.clear()
