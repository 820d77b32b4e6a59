"""Learned cost of requests."""

from __future__ import annotations

import attrs

GAIN = 0.1  # weight of the newest request in the mean
COST_MIN = 1e-6


@attrs.define(eq=False)
class CostEstimates:
    """Exponential mean of the real cost, by (service, organisation).

    Examples
    --------
    >>> estimates = CostEstimates()
    >>> estimates.estimate("llm", "parish", hint=100.0)
    100.0
    >>> estimates.update("llm", "parish", 50.0)
    >>> estimates.estimate("llm", "parish", hint=100.0)
    50.0
    """

    _means: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def estimate(self, service: str, organisation: str, hint: float) -> float:
        """Return the expected cost of the next request; the hint only seeds it."""
        return max(COST_MIN, self._means.get((service, organisation), hint))

    def update(self, service: str, organisation: str, cost: float) -> None:
        """Take in the real cost of a finished request."""
        key = (service, organisation)
        mean = self._means.get(key)
        self._means[key] = cost if mean is None else mean + GAIN * (cost - mean)
