"""Recent requests of callers for each service at this instance.

Load pattern: engines that state limits while load is uneven between the instances, one
organisation far over its share. Replayed in ``tests/test_demand.py``.
"""

from __future__ import annotations

import attrs

from .shares import DecayingSum, Standing
from .work import Work

DEMAND_TIME_CONSTANT_S = 2.0  # long against the age of what others tell
OVER_SHARE_WEIGHT = 0.2  # requests that fair shares won't serve draw less capacity
MEAN_SMOOTHING = 0.02  # weight of the newest request in the means


@attrs.define
class ServiceDemand:
    """Number and mean size of recent requests, by service."""

    _own: dict[str, DecayingSum] = attrs.field(factory=dict, init=False)
    _mean_cost_tokens: dict[str, float] = attrs.field(factory=dict, init=False)
    _mean_prompt_tokens: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_arrival(
        self, service: str, work: Work, standing: Standing, now_s: float
    ) -> None:
        """Count a request that a caller sent."""
        weight = OVER_SHARE_WEIGHT if standing is Standing.OVER else 1.0
        own = self._own.get(service)
        if own is None:
            own = self._own[service] = DecayingSum(DEMAND_TIME_CONSTANT_S)
            self._mean_cost_tokens[service] = work.cost_tokens
            self._mean_prompt_tokens[service] = float(work.prompt_tokens)
        own.add(weight, now_s)
        for means, tokens in (
            (self._mean_cost_tokens, work.cost_tokens),
            (self._mean_prompt_tokens, float(work.prompt_tokens)),
        ):
            means[service] += MEAN_SMOOTHING * (tokens - means[service])

    def own(self, now_s: float) -> dict[str, float]:
        """Return the recent requests at this instance, by service."""
        return {name: requests.at(now_s) for name, requests in self._own.items()}

    def mean_cost_tokens(self, service: str) -> float:
        """Return the mean cost of recent requests; 0 before the first."""
        return self._mean_cost_tokens.get(service, 0.0)

    def mean_prompt_tokens(self, service: str) -> float:
        """Return the mean prompt tokens of recent requests; 0 before the first."""
        return self._mean_prompt_tokens.get(service, 0.0)
