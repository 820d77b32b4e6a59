"""Estimated cost of requests, from the cost of earlier ones."""

from __future__ import annotations

import attrs

SMOOTHING = 0.1  # weight of the newest request in the average
COST_MIN = 1e-6


@attrs.define(eq=False)
class CostEstimates:
    """Exponential moving average of the actual cost, by (service, organisation).

    Examples
    --------
    >>> estimates = CostEstimates()
    >>> estimates.estimate("llm", "parish", hint=100.0)
    100.0
    >>> estimates.update("llm", "parish", 50.0)
    >>> estimates.estimate("llm", "parish", hint=100.0)
    50.0
    """

    _averages: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def estimate(self, service: str, organisation: str, hint: float) -> float:
        """Return the expected cost of the next request; initially the hint."""
        return max(COST_MIN, self._averages.get((service, organisation), hint))

    def update(self, service: str, organisation: str, cost: float) -> None:
        """Update the average with the actual cost of a finished request."""
        key = (service, organisation)
        average = self._averages.get(key)
        self._averages[key] = (
            cost if average is None else average + SMOOTHING * (cost - average)
        )
