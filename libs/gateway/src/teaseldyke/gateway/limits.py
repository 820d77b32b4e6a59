"""Divides the limits that backend servers state between the instances."""

from __future__ import annotations

from teaseldyke.placement import (
    FleetDemand,
    ServiceDemand,
    capacity_within_limits,
    limit_share,
)
from teaseldyke.types import RoutingTable

from .interfaces import Fleet
from .view import FleetView


class LimitDivision:
    """Keeps this instance's part of each stated limit up to date.

    Parameters
    ----------
    view : FleetView
        Backend servers and what they stated.
    fleet : Fleet
        Instances that share the limits.

    Attributes
    ----------
    demand : ServiceDemand
        Recent requests for each service at this instance.
    """

    def __init__(self, view: FleetView, fleet: Fleet) -> None:
        self.demand = ServiceDemand()
        self._view = view
        self._fleet = fleet

    def divide(self, now_s: float) -> None:
        """Set the part of each stated limit that this instance may send."""
        demands: dict[str, FleetDemand] = {}
        for state in self._view.all_states():
            per_s = state.limit.per_s
            if per_s is None:
                continue
            service = state.server.service
            if service not in demands:
                demands[service] = self._fleet_demand(service, now_s)
            share = limit_share(per_s, state.server.id, demands[service])
            state.limit.set_share(share, now_s)

    def capacity_tokens_per_s(self, table: RoutingTable) -> float:
        """Return the stated production of all engines, as far as limits leave it."""
        stated = table.bounds.tokens_per_s
        engines = [
            (name, state)
            for name, service in table.services.items()
            if service.is_engine
            for state in self._view.states_of(name)
        ]
        if not any(state.limit.is_in_force for _, state in engines):
            return stated
        mean = max(self.demand.mean_cost_tokens(name) for name, _ in engines)
        return capacity_within_limits([state for _, state in engines], stated, mean)

    def _fleet_demand(self, service: str, now_s: float) -> FleetDemand:
        fleet = self._fleet
        neighbours = fleet.demand_of_neighbours(service)
        return FleetDemand(
            fleet.name,
            {**neighbours, fleet.name: self.demand.own(now_s).get(service, 0.0)},
            fleet.neighbourhood,
            fleet.demand_of_neighbourhoods(service),
            fleet.instances,
            fleet.alive,
        )
