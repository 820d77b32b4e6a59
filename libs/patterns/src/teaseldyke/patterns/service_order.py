"""Simulation of the service order alone, under load that a seed draws.

Load patterns: changes of which organisations are backlogged (`hot_tenant`, overlapping
and in series) and of the capacity (`srv_crash`), with callers at all instances or at
one, totals of other instances that are known late, and instances with little processor
time. Without engines, a seed takes some milliseconds. Replayed in
``tests/test_service_order.py``.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from random import Random

import attrs

from teaseldyke.placement import FairShares, water_level

from .fairness_rule import REQUESTS_NOT_COUNTED, Shortfall, shortfalls

STEP_S = 0.1  # between two exchanges of totals, as in the gateway
DURATION_S = 24.0
CAPACITY_TOKENS_PER_S = 1e6
REQUEST_TOKENS = 2e3
QUEUE_TIME_MAX_S = 1.0  # of an organisation's demand; more is refused
UNUSED_MAX_S = 0.3  # of the capacity; free places that are kept for later steps
ENGINES = 10
LAG_STEPS_MAX = 4  # two exchanges of totals in a fleet of 70 to 90 instances


@attrs.frozen
class Period:
    """Period with a factor on the demand of an organisation or on the capacity."""

    starts_at_s: float
    ends_at_s: float
    factor: float

    def holds_at(self, at_s: float) -> bool:
        """Return whether a time lies in the period."""
        return self.starts_at_s <= at_s < self.ends_at_s


@attrs.frozen
class Demand:
    """Demand of an organisation.

    Parameters
    ----------
    base : float
        Demand relative to the capacity outside of floods.
    floods : list of Period
        Demand relative to the capacity in floods.
    instances : list of int
        Instances to which its callers connect.
    """

    base: float
    floods: list[Period]
    instances: list[int]

    def at(self, at_s: float) -> float:
        """Return the demand in tokens per second."""
        factors = [flood.factor for flood in self.floods if flood.holds_at(at_s)]
        return CAPACITY_TOKENS_PER_S * max([self.base, *factors])


@attrs.frozen
class Scenario:
    """Load and faults of a simulation.

    Parameters
    ----------
    lag_steps : int
        Steps until an instance's totals reach the others.
    instance_tokens_per_s : float
        Tokens of requests that an instance's processor can begin.
    losses : list of Period
        Capacity relative to that of all engines while some are lost.
    """

    organisations: dict[str, Demand]
    instances: int
    lag_steps: int
    instance_tokens_per_s: float
    losses: list[Period]

    def capacity_at(self, at_s: float) -> float:
        """Return the capacity in tokens per second."""
        factors = [loss.factor for loss in self.losses if loss.holds_at(at_s)]
        return CAPACITY_TOKENS_PER_S * min([1.0, *factors])


def draw_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed."""
    random = Random(f"service-order-{seed}")
    instances = random.randint(1, 8)
    organisations = {}
    for number in range(random.randint(2, 20)):
        floods = []
        for _ in range(random.randint(0, 3)):
            starts_at_s = random.uniform(0.0, DURATION_S)
            ends_at_s = starts_at_s + random.uniform(1.5, 12.0)
            floods.append(Period(starts_at_s, ends_at_s, random.uniform(0.2, 2.0)))
        everywhere = list(range(instances))
        own = random.choice([everywhere, [random.randrange(instances)]])
        base = random.uniform(0.0, 0.05)
        organisations[f"organisation-{number}"] = Demand(base, floods, own)
    losses = []
    for _ in range(random.randint(0, 2)):
        starts_at_s = random.uniform(0.0, DURATION_S)
        ends_at_s = starts_at_s + random.uniform(1.0, 8.0)
        losses.append(Period(starts_at_s, ends_at_s, random.uniform(0.25, 0.8)))
    # At least an equal part of the capacity: less can't be made up for by any order.
    instance_tokens_per_s = CAPACITY_TOKENS_PER_S * random.choice([0.75, 1.0, 4.0])
    lag_steps = random.randint(1, LAG_STEPS_MAX)
    return Scenario(organisations, instances, lag_steps, instance_tokens_per_s, losses)


@attrs.define
class _Instance:
    fair_shares: FairShares
    queued: dict[str, float]


@attrs.define
class OrderModel:
    """Serves a scenario in the order of `FairShares`.

    Attributes
    ----------
    requested, served : dict
        Tokens by organisation and second.
    unserved : dict
        Seconds in which requests of an organisation were refused.
    """

    scenario: Scenario
    requested: dict[str, list[float]] = attrs.field(init=False)
    served: dict[str, list[float]] = attrs.field(init=False)
    unserved: dict[str, set[int]] = attrs.field(init=False)
    _instances: list[_Instance] = attrs.field(init=False)
    _unused: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        names = self.scenario.organisations
        seconds = int(DURATION_S)
        self.requested = {name: [0.0] * seconds for name in names}
        self.served = {name: [0.0] * seconds for name in names}
        self.unserved = {name: set() for name in names}
        self._instances = [
            _Instance(FairShares(CAPACITY_TOKENS_PER_S), dict.fromkeys(names, 0.0))
            for _ in range(self.scenario.instances)
        ]

    def play(self) -> list[Shortfall]:
        """Run the simulation and return the windows in which it was unfair."""
        totals: deque[list[tuple[dict[str, float], dict[str, float]]]] = deque(
            maxlen=self.scenario.lag_steps
        )
        for step in range(round(DURATION_S / STEP_S)):
            now_s = step * STEP_S
            self._arrive(now_s)
            if len(totals) == self.scenario.lag_steps:
                self._apply(totals[0])
            totals.append(
                [
                    (instance.fair_shares.own_usage(now_s), dict(instance.queued))
                    for instance in self._instances
                ]
            )
            for instance in self._instances:
                instance.fair_shares.recompute(instance.queued, now_s)
            self._serve(step)
        not_counted = REQUESTS_NOT_COUNTED * REQUEST_TOKENS
        return shortfalls(self.requested, self.served, self.unserved, not_counted)

    def _arrive(self, now_s: float) -> None:
        second = int(now_s)
        arriving: list[dict[str, float]] = [{} for _ in self._instances]
        for name, demand in self.scenario.organisations.items():
            tokens = demand.at(now_s) * STEP_S
            self.requested[name][second] += tokens
            for number in demand.instances:
                arriving[number][name] = tokens / len(demand.instances)
        limit = self.scenario.instance_tokens_per_s * STEP_S
        for instance, tokens_by_name in zip(self._instances, arriving, strict=True):
            admitted_max = water_level(tokens_by_name, limit)
            for name, tokens in tokens_by_name.items():
                queue_max = tokens / STEP_S * QUEUE_TIME_MAX_S
                queued = instance.queued[name] + min(tokens, admitted_max)
                instance.queued[name] = min(queued, queue_max)
                if tokens > admitted_max or queued > queue_max:
                    self.unserved[name].add(second)

    def _apply(self, totals: list[tuple[dict[str, float], dict[str, float]]]) -> None:
        for number, instance in enumerate(self._instances):
            usage: dict[str, float] = defaultdict(float)
            queued: dict[str, float] = defaultdict(float)
            for other, (other_usage, other_queued) in enumerate(totals):
                if other == number:
                    continue
                for name, tokens in other_usage.items():
                    usage[name] += tokens
                for name, tokens in other_queued.items():
                    queued[name] += tokens
            instance.fair_shares.peer_usage = usage
            instance.fair_shares.peer_queued = queued

    def _serve(self, step: int) -> None:
        """Let each instance use its quotas of the free capacity."""
        now_s = step * STEP_S
        capacity = self.scenario.capacity_at(now_s)
        free = min(capacity * STEP_S + self._unused, capacity * UNUSED_MAX_S)
        left = free
        for offset in range(len(self._instances)):
            instance = self._instances[(step + offset) % len(self._instances)]
            shares, queued = instance.fair_shares, instance.queued
            quotas = {}
            for name, tokens in queued.items():
                if tokens <= 0.0:
                    continue
                requests = math.ceil(tokens / REQUEST_TOKENS)
                quota = shares.quota(name, tokens, requests, ENGINES, now_s)
                quotas[name] = min(quota.fraction * free, tokens)
            while left > 0.0:
                names = [name for name, quota in quotas.items() if quota > 0.0]
                if not names:
                    break
                name = min(names, key=lambda name: shares.scheduling_key(name, now_s))
                tokens = min(REQUEST_TOKENS, quotas[name], left)
                quotas[name] -= tokens
                queued[name] -= tokens
                left -= tokens
                shares.charge(name, tokens, now_s)
                self.served[name][int(now_s)] += tokens
        self._unused = left
