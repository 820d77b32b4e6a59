"""Instances that place requests by the decisions, on engines of the model.

The clock is the model's own. Totals reach the other instances late, as datagrams do;
what an instance believes of an engine it learns from its own sends and from these.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import attrs

from teaseldyke.placement import (
    AwaitedServer,
    CapacityQuota,
    ColdRateLimit,
    FairShares,
    Load,
    QueuedRequest,
    RequestQueue,
    RoundSends,
    ServerState,
    Standing,
    check_admission,
    choose_engine,
)
from teaseldyke.types import AnnouncedServer, ServiceDescription

from .engine import EngineModel, EngineSpec, Run, StepResult
from .load import Arrival, Loss, Pattern, arrivals_of, produced_tokens_per_s
from .outcome import Outcome, Result

EXCHANGE_S = 0.1  # between two looks at shares, as in the gateway
TRAVEL_S = 0.002  # from an instance to an engine
COLD_S = 3.0  # engines bear little for so long after a start
COLD_RATE_PER_S = 14.0
MISSES_MAX = 24  # as in the gateway


@attrs.frozen
class FleetSpec:
    """The fleet that a pattern is played on.

    Parameters
    ----------
    instances, engines : int
        How many.
    totals_delay_s : float
        Until an instance knows what the others have at the engines.
    keeps_places : bool
        Whether decisions know who got too little; without it a baseline.
    """

    instances: int = 6
    engines: int = 6
    totals_delay_s: float = 0.1
    keeps_places: bool = True
    engine: EngineSpec = attrs.field(factory=EngineSpec)


# Loads by engine, tokens given and tokens waiting by organisation.
_Totals = tuple[dict[str, Load], dict[str, float], dict[str, float]]


@attrs.define(eq=False)
class _Ask:
    """A request on its way through one instance."""

    arrival: Arrival
    result: Result
    instance: _Instance
    state: ServerState | None = None
    run: Run | None = None
    uncached_tokens: float = 0.0
    is_reading: bool = False
    awaited_server: AwaitedServer | None = None
    is_over: bool = False


@attrs.define(eq=False)
class _Instance:
    states: dict[str, ServerState]
    fair_shares: FairShares
    line: RequestQueue[_Ask] = attrs.field(factory=RequestQueue)
    round_at_s: float = 0.0


class ModelFleet:
    """Plays one pattern.

    Parameters
    ----------
    spec : FleetSpec
        The fleet.
    pattern : Pattern
        The load.
    seed : int
        Of all draws.
    """

    def __init__(self, spec: FleetSpec, pattern: Pattern, seed: int) -> None:
        self.spec = spec
        self.pattern = pattern
        self.now_s = 0.0
        self.results: list[Result] = []
        self.reread_tokens = 0
        self._random = Random(seed)
        self._roundings = Random(seed)
        self._seed = seed
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._seen_parts: set[str] = set()
        self._by_run: dict[int, _Ask] = {}
        engine = spec.engine
        names = [f"engine-{i}" for i in range(spec.engines)]
        self.engines = {name: EngineModel(name, engine) for name in names}
        self._stepping: set[str] = set()
        self.service = ServiceDescription(
            "model",
            600,
            COLD_S,
            COLD_RATE_PER_S,
            slots=engine.slots,
            memory_tokens=engine.memory_tokens,
        )
        tokens_per_s = spec.engines * produced_tokens_per_s(engine.busy_s)
        self._instances = [
            _Instance(
                {name: self._state(name, 0.0) for name in names},
                FairShares(tokens_per_s=tokens_per_s),
            )
            for _ in range(spec.instances)
        ]

    def _state(self, name: str, cold_until_s: float) -> ServerState:
        engine = self.spec.engine
        server = AnnouncedServer(name, 1, "model", "h", 1, "a", engine.slots)
        return ServerState(
            server,
            cold_until_s,
            ColdRateLimit(COLD_RATE_PER_S),
            rate_tokens_per_s=0.8 * engine.read_tokens_per_s,
        )

    def play(self) -> Outcome:
        """Play all arrivals to their end and return what became of them."""
        arrivals = arrivals_of(self.pattern, self._seed, self.spec.engines)
        for arrival in arrivals:
            self._at(arrival.work.arrived_at_s, partial(self._arrive, arrival))
        if self.pattern.loss is not None:
            self._plan_loss(self.pattern.loss)
        last_s = max(arrival.work.deadline_at_s for arrival in arrivals)
        self._at(EXCHANGE_S, lambda: self._exchange(last_s))
        while self._events:
            at_s, _, act = heapq.heappop(self._events)
            self.now_s = at_s
            act()
        return Outcome(self.spec, arrivals, self.results, self.reread_tokens)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _plan_loss(self, loss: Loss) -> None:
        names = list(self.engines)[: max(1, round(loss.share * len(self.engines)))]

        def lose() -> None:
            for name in names:
                for run in self.engines[name].lose():
                    self._break(self._by_run[id(run)])
                for instance in self._instances:
                    instance.states.pop(name, None)

        def return_cold() -> None:
            for name in names:
                self.engines[name] = EngineModel(name, self.spec.engine)
                for instance in self._instances:
                    instance.states[name] = self._state(name, self.now_s + COLD_S)

        self._at(loss.at_s, lose)
        self._at(loss.back_at_s, return_cold)

    def _arrive(self, arrival: Arrival, result: Result | None = None) -> None:
        if result is None:
            result = Result(arrival)
            self.results.append(result)
        instance = self._random.choice(self._instances)
        if arrival.organisation == self.pattern.narrow_organisation:
            instance = self._instances[0]
        ask = _Ask(arrival, result, instance)
        work = arrival.work
        if not len(instance.line):
            engines = len(instance.states)
            quota = instance.fair_shares.quota(
                work.organisation, work.cost_tokens, 1, engines, self.now_s
            )
            if self._try(ask, quota):
                return
        rate = sum(state.rate_tokens_per_s for state in instance.states.values())
        ahead = instance.line.tokens_ahead(work, instance.fair_shares, self.now_s)
        refusal = check_admission(work, ahead / rate, self.now_s, self._random.random())
        if refusal is not None:
            self._refuse(ask, refusal.retry_after_s)
            return
        waiter = QueuedRequest(work, ask)
        instance.line.add(waiter)
        self._at(work.caller_timeout_at_s, lambda: self._give_up(waiter))

    def _give_up(self, waiter: QueuedRequest[_Ask]) -> None:
        ask = waiter.payload
        if ask.state is not None or ask.is_over:
            return
        ask.instance.line.remove(waiter)
        self._refuse(ask, 0.3 * (waiter.work.deadline_at_s - self.now_s))

    def _refuse(self, ask: _Ask, retry_after_s: float) -> None:
        """Tell the caller to come back; it does so once."""
        ask.is_over = True
        ask.result.refusals += 1
        work = ask.arrival.work
        back_at_s = self.now_s + retry_after_s
        if work.resubmitted or back_at_s >= work.deadline_at_s:
            return
        again = attrs.evolve(
            work,
            arrived_at_s=back_at_s,
            on_time_until_s=back_at_s,
            caller_timeout_at_s=work.deadline_at_s,
            resubmitted=True,
        )
        arrival = attrs.evolve(ask.arrival, work=again)
        self._at(back_at_s, lambda: self._arrive(arrival, ask.result))

    def _try(self, ask: _Ask, quota: CapacityQuota) -> bool:
        """Send a request if an engine has room for it."""
        instance, work = ask.instance, ask.arrival.work
        standing = instance.fair_shares.standing(work.organisation, self.now_s)
        if not self.spec.keeps_places:
            standing, quota = Standing.FAIR, CapacityQuota()
        choice = choose_engine(
            list(instance.states.values()),
            self.service,
            work,
            self.now_s,
            standing=standing,
            quota=quota,
            lag_s=max(EXCHANGE_S, self.spec.totals_delay_s),
            may_use_cold=lambda state: state.cold_rate_limit.allows_send(self.now_s),
        )
        state = choice.state
        if state is None:
            ask.awaited_server = AwaitedServer.from_choice(choice)
            if ask.awaited_server is not None:
                ask.awaited_server.count_in_backlog(self.spec.instances)
            return False
        if state.is_cold(self.now_s):
            state.cold_rate_limit.record_send(self.now_s, self.spec.instances)
        ask.state, ask.uncached_tokens = state, choice.uncached_tokens
        ask.is_reading = True
        state.round_sends.add(work.organisation, choice.uncached_tokens)
        state.own_load.running += 1
        state.own_load.pending_tokens += choice.uncached_tokens
        state.own_load.memory_tokens += work.memory_tokens
        state.record_prompt(work, self.now_s)
        instance.fair_shares.charge(work.organisation, work.cost_tokens, self.now_s)
        ask.result.note_given(self.now_s, work)
        name = state.server.id
        self._at(self.now_s + TRAVEL_S, lambda: self._reach(ask, name))
        return True

    def _reach(self, ask: _Ask, name: str) -> None:
        engine = self.engines[name]
        run = ask.run = Run(ask.arrival.work)
        self._by_run[id(run)] = ask
        if engine.is_lost:
            self._break(ask)
            return
        engine.arrive(run)
        self._at(ask.arrival.work.deadline_at_s, lambda: self._leave(ask, name))
        if ask.arrival.work.caller_timeout_at_s < ask.arrival.work.deadline_at_s:
            due_s = max(self.now_s, ask.arrival.work.caller_timeout_at_s)
            self._at(due_s, lambda: self._leave_unheard(ask, name))
        self._wake(engine)

    def _wake(self, engine: EngineModel) -> None:
        if engine.name not in self._stepping and engine.is_busy:
            self._stepping.add(engine.name)
            self._step(engine)

    def _step(self, engine: EngineModel) -> None:
        if not engine.is_busy:
            self._stepping.discard(engine.name)
            return
        step = engine.step()
        for run in step.admitted:
            self._count_reread(run)
        self._at(self.now_s + step.duration_s, lambda: self._after(engine, step))

    def _after(self, engine: EngineModel, step: StepResult) -> None:
        for run in step.first:
            self._note_first(self._by_run[id(run)])
        for run in step.ended:
            ask = self._by_run[id(run)]
            if not ask.is_over:
                ask.result.ended_at_s = self.now_s
                self._end(ask)
        if self.engines[engine.name] is not engine:
            self._stepping.discard(engine.name)
            return
        self._step(engine)

    def _count_reread(self, run: Run) -> None:
        read_before = 0
        for part, tokens in run.work.parts[:-1]:
            if part in self._seen_parts:
                read_before += tokens
            self._seen_parts.add(part)
        self.reread_tokens += max(0, read_before - run.kept_tokens)

    def _note_first(self, ask: _Ask) -> None:
        if ask.is_over:
            return
        ask.result.first_at_s = self.now_s
        self._stop_reading(ask)
        self._pump(ask.instance)

    def _stop_reading(self, ask: _Ask) -> None:
        if ask.is_reading and ask.state is not None:
            ask.is_reading = False
            ask.state.own_load.pending_tokens -= ask.uncached_tokens

    def _end(self, ask: _Ask) -> None:
        ask.is_over = True
        self._stop_reading(ask)
        if ask.state is not None:
            ask.state.own_load.running -= 1
            ask.state.own_load.memory_tokens -= ask.arrival.work.memory_tokens
        self._pump(ask.instance)

    def _break(self, ask: _Ask) -> None:
        """End a request whose engine was lost; its caller doesn't come back."""
        if not ask.is_over:
            self._end(ask)

    def _leave(self, ask: _Ask, name: str) -> None:
        if ask.is_over or ask.run is None:
            return
        self.engines[name].leave(ask.run)
        self._end(ask)

    def _leave_unheard(self, ask: _Ask, name: str) -> None:
        if ask.result.first_at_s is None:
            self._leave(ask, name)

    def _pump(self, instance: _Instance) -> None:
        for state in instance.states.values():
            state.backlog_tokens = 0.0
        misses = 0
        available = set(instance.states.values())
        quotas: dict[str, CapacityQuota] = {}
        for waiter in list(instance.line.in_order(instance.fair_shares, self.now_s)):
            awaited_server = waiter.blocked_on(available)
            if awaited_server is not None:
                awaited_server.count_in_backlog(self.spec.instances)
                continue
            name = waiter.work.organisation
            if name not in quotas:
                requests, tokens = instance.line.backlog_of(name)
                quotas[name] = instance.fair_shares.quota(
                    name, tokens, requests, len(available), self.now_s
                )
            if self._try(waiter.payload, quotas[name]):
                instance.line.remove(waiter)
                continue
            waiter.awaited_server = waiter.payload.awaited_server
            misses += 1
            if misses >= MISSES_MAX:
                return

    def _exchange(self, last_s: float) -> None:
        told = [self._totals_of(instance) for instance in self._instances]
        delay_s = self.spec.totals_delay_s
        self._at(self.now_s + delay_s, lambda: self._hear(told))
        for instance in self._instances:
            instance.fair_shares.recompute(instance.line.queued_tokens(), self.now_s)
            self._pump(instance)
        if self.now_s < last_s:
            self._at(self.now_s + EXCHANGE_S, lambda: self._exchange(last_s))

    def _totals_of(self, instance: _Instance) -> _Totals:
        loads = {name: attrs.evolve(s.own_load) for name, s in instance.states.items()}
        usage = instance.fair_shares.own_usage(self.now_s)
        return loads, usage, instance.line.queued_tokens()

    def _hear(self, told: list[_Totals]) -> None:
        for number, instance in enumerate(self._instances):
            others = [totals for i, totals in enumerate(told) if i != number]
            for name, state in instance.states.items():
                loads = [loads[name] for loads, _, _ in others if name in loads]
                state.peer_load = Load(
                    sum(load.pending_tokens for load in loads),
                    sum(load.running for load in loads),
                    sum(load.memory_tokens for load in loads),
                )
            self._share_room(instance)
            instance.fair_shares.peer_usage = _sum(usage for _, usage, _ in others)
            instance.fair_shares.peer_queued = _sum(waits for _, _, waits in others)
            self._pump(instance)

    def _share_room(self, instance: _Instance) -> None:
        """Begin a round of sends once the others know of those of the last one."""
        round_s = max(EXCHANGE_S, self.spec.totals_delay_s)
        if self.now_s - instance.round_at_s < round_s - EXCHANGE_S / 2.0:
            return
        instance.round_at_s = self.now_s
        for state in instance.states.values():
            state.round_sends = RoundSends(rounding=self._roundings.random())


def _sum(parts: Iterable[dict[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for part in parts:
        for name, value in part.items():
            total[name] = total.get(name, 0.0) + value
    return total
