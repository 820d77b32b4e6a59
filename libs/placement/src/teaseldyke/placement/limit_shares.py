"""Division of a stated limit between the instances of a fleet.

Load patterns: engines that state limits while load is uneven between the instances, one
organisation whose callers all stand at one of many instances, and instances that die or
are cut off. Replayed in ``tests/test_limit_shares.py``.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from functools import cached_property, lru_cache

import attrs

from .choice import rendezvous_weight
from .stated_limit import CREDIT_S, PROBE_RATE_PER_S

# The operator's bound: in any window a server gets at most this multiple of what its
# limit allows, plus the slack.
WINDOW_S = 4.0
WINDOW_FACTOR = 1.5
WINDOW_SLACK = 5.0  # requests
SENDERS_FRACTION = 0.8  # of those that the bound allows; demand is known late
# Part of the limit that is split evenly, so that an instance without recent demand
# isn't shut out.
EVEN_FRACTION = 0.1
HASH_RANGE = 2.0**64


@attrs.frozen
class FleetDemand:
    """Recent requests for a service by instance, as one instance knows them.

    Parameters
    ----------
    own : str
        Name of this instance.
    neighbours : mapping of str to float
        By instance of the own neighbourhood, this one included.
    own_neighbourhood : str
        Name of the own neighbourhood.
    neighbourhoods : mapping of str to float
        By other neighbourhood; empty in a small fleet, which has one only.
    instances, alive : int
        Instances of the fleet, and those that this one has heard of lately.
    """

    own: str
    neighbours: Mapping[str, float]
    own_neighbourhood: str
    neighbourhoods: Mapping[str, float]
    instances: int
    alive: int

    @cached_property
    def neighbour_weights(self) -> dict[str, float]:
        """Weights of the own neighbourhood's instances."""
        return draw_weights(self.neighbours)

    @cached_property
    def neighbourhood_weights(self) -> dict[str, float]:
        """Weights of all neighbourhoods."""
        own = sum(self.neighbours.values())
        return draw_weights({**self.neighbourhoods, self.own_neighbourhood: own})


def limit_senders(per_s: float, instances: int) -> int:
    """Return how many instances of a fleet may send to a server with a limit.

    Each of them may send one request beyond its part in a window, so the operator's
    bound on a window limits their number.

    Examples
    --------
    >>> limit_senders(2.0, 7)
    7
    >>> limit_senders(2.0, 100)
    6
    >>> limit_senders(0.0, 100)
    2
    """
    rate_per_s = max(per_s, PROBE_RATE_PER_S)
    allowed = WINDOW_FACTOR * WINDOW_S * per_s + WINDOW_SLACK
    excess = allowed - rate_per_s * (WINDOW_S + CREDIT_S)
    if instances <= excess:
        return instances
    return min(instances, max(1, int(SENDERS_FRACTION * excess)))


def limit_share(per_s: float, server_id: str, demand: FleetDemand) -> float:
    """Return the part of a server's limit that this instance may send.

    The parts follow demand. If not all instances may send, those that do are drawn for
    each server, with a chance that follows their demand, too; all instances draw the
    same. The neighbourhoods of a large fleet are drawn first, then their members.

    An instance that hears of less than half of the others may be cut off, and leaves
    them their parts.

    Examples
    --------
    >>> demand = FleetDemand("a", {"a": 20.0, "b": 40.0}, "0", {}, 2, 2)
    >>> round(limit_share(5.0, "e-1", demand), 3)
    0.35
    """
    senders = limit_senders(per_s, demand.instances)
    drawn = draw_parts(demand.neighbourhood_weights, server_id, senders)
    part = drawn.get(demand.own_neighbourhood, 0.0)
    if part <= 0.0:
        return 0.0
    members = 1 + int((senders - len(drawn)) * part)
    parts = draw_parts(demand.neighbour_weights, server_id, members)
    share = part * parts.get(demand.own, 0.0)
    if 2 * demand.alive > demand.instances:
        return share
    return min(share, 1.0 / demand.instances)


def draw_weights(demands: Mapping[str, float]) -> dict[str, float]:
    """Return by name a weight for draws, which follows demand."""
    mean = sum(demands.values()) / max(1, len(demands))
    if mean <= 0.0:
        return dict.fromkeys(demands, 1.0)
    return {
        name: (1.0 - EVEN_FRACTION) * demand + EVEN_FRACTION * mean
        for name, demand in demands.items()
    }


def draw_parts(
    weights: Mapping[str, float], server_id: str, count: int
) -> dict[str, float]:
    """Return the parts of the drawn names, which add up to one.

    Parameters
    ----------
    weights : mapping
        By name, for its chance and its part.
    count : int
        Names to draw.
    """
    names = list(weights)
    if len(names) > count:
        # The first arrivals of processes with these rates, which is a draw by weight.
        names = heapq.nsmallest(
            count, names, key=lambda name: _draw(server_id, name) / weights[name]
        )
    total = sum(weights[name] for name in names)
    return {name: weights[name] / total for name in names}


@lru_cache(maxsize=16384)
def _draw(server_id: str, name: str) -> float:
    """Return an exponentially distributed number, the same at all instances."""
    uniform = (rendezvous_weight(server_id, name) + 1.0) / (HASH_RANGE + 1.0)
    return -math.log(uniform)
