"""One instance of the simulated fleet: what it knows, and its exchange of totals."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import TypeVar

import attrs

from teaseldyke.placement import (
    AwaitedServer,
    CrashEvidence,
    FairShares,
    FleetDemand,
    FleetRoom,
    LimitReport,
    Load,
    RequestQueue,
    RoundSends,
    ServerState,
    ServiceDemand,
    SuspectReport,
    capacity_within_limits,
    limit_share,
)

from .engine import EngineRequest
from .load import Arrival
from .outcome import Result

T = TypeVar("T")
SERVICE = "model"  # that all engines belong to


@attrs.frozen
class Totals:
    """What an instance tells the others.

    Parameters
    ----------
    name : str
        Of the instance.
    loads : dict of Load
        Its own load of each engine.
    usage : dict of float or None
        By organisation; ``None`` if it isn't told this time.
    queued_tokens : dict of float
        By organisation.
    reports : list of SuspectReport
        Parts of prompts and requests that crashes accuse.
    limits : dict of LimitReport
        What engines told it of their limits.
    demand : float
        Its recent requests.
    """

    name: str
    loads: dict[str, Load]
    usage: dict[str, float] | None
    queued_tokens: dict[str, float]
    reports: list[SuspectReport]
    limits: dict[str, LimitReport]
    demand: float


@attrs.define(eq=False)
class Call:
    """One attempt of a request at one instance."""

    arrival: Arrival
    result: Result
    instance: Instance
    state: ServerState | None = None
    request: EngineRequest | None = None
    uncached_tokens: float = 0.0
    is_prefilling: bool = False
    awaited_server: AwaitedServer | None = None
    is_finished: bool = False
    is_repeated: bool = False


@attrs.define(eq=False)
class Instance:
    """Engines, shares, queue and evidence as one instance knows them."""

    name: str
    states: dict[str, ServerState]
    fair_shares: FairShares
    queue: RequestQueue[Call] = attrs.field(factory=RequestQueue)
    evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    demand: ServiceDemand = attrs.field(factory=ServiceDemand)
    demand_of_others: dict[str, float] = attrs.field(factory=dict)
    room: FleetRoom = attrs.field(factory=FleetRoom)
    round_at_s: float = 0.0

    def totals(self, now_s: float, *, tells_usage: bool = True) -> Totals:
        """Return what the others must know."""
        return Totals(
            self.name,
            {name: attrs.evolve(s.own_load) for name, s in self.states.items()},
            self.fair_shares.own_usage(now_s) if tells_usage else None,
            self.queue.queued_tokens(),
            self.evidence.reports(now_s),
            {
                name: report
                for name, state in self.states.items()
                if (report := state.limit.report(now_s)) is not None
            },
            self.demand.own(now_s).get(SERVICE, 0.0),
        )

    def divide_limits(self, instances: int, now_s: float) -> None:
        """Set the parts of stated limits that this instance may send."""
        own = self.demand.own(now_s).get(SERVICE, 0.0)
        neighbours = {**self.demand_of_others, self.name: own}
        demand = FleetDemand(self.name, neighbours, "0", {}, instances, instances)
        for engine, state in self.states.items():
            if state.limit.per_s is None:
                continue
            share = limit_share(state.limit.per_s, engine, demand)
            state.limit.set_share(share, now_s)

    def recompute_shares(self, tokens_per_s: float, lag_s: float, now_s: float) -> None:
        """Recompute the fair shares in what all engines together produce."""
        self.fair_shares.tokens_per_s = capacity_within_limits(
            list(self.states.values()),
            tokens_per_s,
            self.demand.mean_cost_tokens(SERVICE),
        )
        self.fair_shares.recompute(self.queue.queued_tokens(), now_s)
        self.room.measure(
            self.states.values(),
            lag_s,
            self.demand.mean_prompt_tokens(SERVICE),
            self.demand.mean_cost_tokens(SERVICE),
            now_s,
        )

    def apply_totals(self, others: FleetSums, delay_s: float, now_s: float) -> None:
        """Replace what is known of the other instances.

        Parameters
        ----------
        delay_s : float
            Age of what they tell.
        """
        self.demand_of_others = others.demand
        for name, state in self.states.items():
            state.peer_load = others.loads.get(name) or Load()
        if others.usage is not None:
            self.fair_shares.peer_usage = others.usage
        self.fair_shares.peer_queued = others.queued_tokens
        self.evidence.refresh(now_s)
        for reports in others.reports.values():
            self.evidence.merge(reports, now_s)
        for limits in others.limits.values():
            for name, report in limits.items():
                if name not in self.states:
                    continue
                aged = attrs.evolve(report, age_s=report.age_s + delay_s)
                self.states[name].limit.merge(aged, now_s)

    def start_round(self, now_s: float, random: Random) -> None:
        """Start a new round of sends that the others don't know of yet."""
        self.round_at_s = now_s
        self.room.start_round(random.random())
        for state in self.states.values():
            state.round_sends = RoundSends(rounding=random.random())


@attrs.frozen
class FleetSums:
    """Sums of what instances tell each other, in tokens and requests.

    Adding up the totals once is much cheaper than once for each instance.
    """

    loads: dict[str, Load]
    usage: dict[str, float] | None
    queued_tokens: dict[str, float]
    demand: dict[str, float]
    reports: dict[str, list[SuspectReport]]
    limits: dict[str, dict[str, LimitReport]]

    @classmethod
    def of(cls, totals: list[Totals]) -> FleetSums:
        """Return the sums of the totals of all instances."""
        told = [part.usage for part in totals if part.usage is not None]
        usage = _sum(told) if told else None
        loads: dict[str, Load] = {}
        for part in totals:
            for name, load in part.loads.items():
                known = loads.setdefault(name, Load())
                known.pending_tokens += load.pending_tokens
                known.running += load.running
                known.memory_tokens += load.memory_tokens
        return cls(
            loads,
            usage,
            _sum(part.queued_tokens for part in totals),
            {part.name: part.demand for part in totals},
            {part.name: part.reports for part in totals if part.reports},
            {part.name: part.limits for part in totals if part.limits},
        )

    def without(self, own: Totals) -> FleetSums:
        """Return the sums without those of one instance, rounded to whole tokens."""
        loads = {}
        for name, load in self.loads.items():
            own_load = own.loads.get(name) or Load()
            loads[name] = Load(
                round(load.pending_tokens - own_load.pending_tokens),
                load.running - own_load.running,
                load.memory_tokens - own_load.memory_tokens,
            )
        return FleetSums(
            loads,
            _difference(self.usage, own.usage or {}) if self.usage else None,
            _difference(self.queued_tokens, own.queued_tokens),
            _without(self.demand, own.name),
            _without(self.reports, own.name),
            _without(self.limits, own.name),
        )


def _without(by_instance: dict[str, T], own: str) -> dict[str, T]:
    return {name: value for name, value in by_instance.items() if name != own}


def _difference(
    minuends: dict[str, float], subtrahends: dict[str, float]
) -> dict[str, float]:
    return {
        name: float(round(value - subtrahends.get(name, 0.0)))
        for name, value in minuends.items()
    }


def _sum(summands: Iterable[dict[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for summand in summands:
        for name, value in summand.items():
            total[name] = total.get(name, 0.0) + value
    return total
