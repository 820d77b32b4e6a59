"""Recent requests for each service, at this instance and at the others.

Load pattern: engines that state limits while load is uneven between the instances, one
organisation far over its share. Replayed in ``tests/test_demand.py``.
"""

from __future__ import annotations

import attrs

from .limit_shares import FleetDemand
from .shares import DecayingSum, Standing
from .work import Work

DEMAND_TIME_CONSTANT_S = 2.0  # long against the age of what others tell
OVER_SHARE_WEIGHT = 0.2  # requests that fair shares won't serve draw less capacity
MEAN_COST_SMOOTHING = 0.02  # weight of the newest request in a service's mean


@attrs.define
class ServiceDemand:
    """Recent requests for services.

    Attributes
    ----------
    of_neighbours, of_neighbourhoods : dict
        Recent requests at each other instance of the own neighbourhood, and in each
        other neighbourhood, by service.
    """

    of_neighbours: dict[str, dict[str, float]] = attrs.field(factory=dict)
    of_neighbourhoods: dict[str, dict[str, float]] = attrs.field(factory=dict)
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
            means[service] += MEAN_COST_SMOOTHING * (tokens - means[service])

    def own(self, now_s: float) -> dict[str, float]:
        """Return the recent requests at this instance, by service."""
        return {name: requests.at(now_s) for name, requests in self._own.items()}

    def of_fleet(
        self,
        service: str,
        now_s: float,
        *,
        own: str,
        own_neighbourhood: str,
        instances: int,
        alive: int,
    ) -> FleetDemand:
        """Return the recent requests for a service by instance and neighbourhood."""
        requests = self._own.get(service)
        neighbours = {
            name: demand.get(service, 0.0)
            for name, demand in self.of_neighbours.items()
        }
        neighbours[own] = requests.at(now_s) if requests is not None else 0.0
        return FleetDemand(
            own,
            neighbours,
            own_neighbourhood,
            {
                name: demand.get(service, 0.0)
                for name, demand in self.of_neighbourhoods.items()
            },
            instances,
            alive,
        )

    def mean_cost_tokens(self, service: str) -> float:
        """Return the mean cost of recent requests; 0 before the first."""
        return self._mean_cost_tokens.get(service, 0.0)

    def mean_prompt_tokens(self, service: str) -> float:
        """Return the mean prompt tokens of recent requests; 0 before the first."""
        return self._mean_prompt_tokens.get(service, 0.0)
