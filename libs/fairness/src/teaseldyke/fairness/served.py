"""Cumulative served cost at one router."""

from __future__ import annotations

from collections import defaultdict

import attrs


@attrs.define(eq=False)
class ServedCosts:
    """Actual cost of finished requests, plus the excess of running ones.

    The excess is the cost so far beyond the estimate. The total of an organisation
    never falls, as required of a cumulative counter.

    Examples
    --------
    >>> served = ServedCosts()
    >>> served.charge("parish", 1, cost_so_far=12.0, estimate_cost=10.0)
    >>> served.total("parish")
    2.0
    >>> served.finish("parish", 1, cost=15.0)
    >>> served.total("parish")
    15.0
    """

    _finished: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    _excess: dict[str, dict[int, float]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )

    def charge(
        self, organisation: str, grant_id: int, cost_so_far: float, estimate_cost: float
    ) -> None:
        """Update the cost so far of a running request."""
        excess = cost_so_far - estimate_cost
        known = self._excess[organisation].get(grant_id, 0.0)
        self._excess[organisation][grant_id] = max(known, excess)

    def finish(self, organisation: str, grant_id: int, cost: float) -> None:
        """Add the actual cost of a finished request."""
        excess = self._excess[organisation].pop(grant_id, 0.0)
        self._finished[organisation] += max(cost, excess)

    def total(self, organisation: str) -> float:
        """Return the cumulative served cost of an organisation."""
        excess = sum(self._excess[organisation].values())
        return self._finished[organisation] + excess
