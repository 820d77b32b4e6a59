"""Discrete-event simulation of instances that place requests on model engines.

The instances run the placement code under simulated time. Each one estimates the load
of an engine from its own sends and from the totals of the other instances, which
arrive with a delay, as the gateway's datagrams do.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from teaseldyke.placement import (
    AwaitedServer,
    CapacityQuota,
    ColdRateLimit,
    FairShares,
    QueuedRequest,
    ServerState,
    Standing,
    check_admission,
    choose_engine,
    limits_allow_in_s,
)
from teaseldyke.types import AnnouncedServer, ServiceDescription

from .engine import EngineModel, EngineRequest, EngineSpec, StepResult
from .instance import SERVICE, Call, FleetSums, Instance, Totals
from .limits import LimitedEngines
from .load import Arrival, Loss, Pattern, generate_arrivals, produced_tokens_per_s
from .outcome import Outcome, Result

EXCHANGE_INTERVAL_S = 0.1  # between two exchanges of totals, as in the gateway
SEND_DELAY_S = 0.002  # network delay from an instance to an engine
COLD_DURATION_S = 3.0  # duration of the cold phase after a start
COLD_RATE_PER_S = 14.0
RESTART_S = 3.0  # from an engine's crash to its next start
SCAN_MISSES_MAX = 24  # failed placements after which a scan ends, as in the gateway


@attrs.frozen
class FleetSpec:
    """Size and behaviour of the simulated fleet.

    Parameters
    ----------
    instances, engines : int
        Number of each.
    totals_delay_s : float
        Delay until the totals of an instance reach the other instances.
    usage_rounds : int
        Usage is told in one of so many exchanges, as in a large fleet.
    uses_fair_shares : bool
        Whether placement takes the fair shares of the organisations into account;
        false for a baseline without them.
    uses_crash_evidence : bool
        Whether instances learn which requests and parts of prompts crash engines; false
        for a baseline that takes each crash for a failure of the engine.
    engine : EngineSpec
        Capacity and speed of each engine.
    """

    instances: int = 6
    engines: int = 6
    totals_delay_s: float = 0.1
    usage_rounds: int = 1
    uses_fair_shares: bool = True
    uses_crash_evidence: bool = True
    engine: EngineSpec = attrs.field(factory=EngineSpec)


class ModelFleet:
    """Simulates a fleet under one load pattern.

    Parameters
    ----------
    spec : FleetSpec
        Size and behaviour of the fleet.
    pattern : Pattern
        Load pattern.
    seed : int
        Seed of all random draws.

    Attributes
    ----------
    crash_times_s : dict of list
        Times of crashes by the own part of the request that caused them.
    """

    def __init__(self, spec: FleetSpec, pattern: Pattern, seed: int) -> None:
        self.spec = spec
        self.pattern = pattern
        self.now_s = 0.0
        self.results: list[Result] = []
        self.reread_tokens = 0
        self.crash_times_s: dict[str, list[float]] = {}
        self._random = Random(seed)
        self._rounding_random = Random(seed)
        self._seed = seed
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._exchanges = 0
        self._seen_parts: set[str] = set()
        self._calls_by_request: dict[int, Call] = {}
        engine = spec.engine
        names = [f"engine-{i}" for i in range(spec.engines)]
        self.engines = {name: EngineModel(name, engine) for name in names}
        self.limits = LimitedEngines(pattern.limits, names)
        self._stepping: set[str] = set()
        self.service = ServiceDescription(
            SERVICE,
            600,
            COLD_DURATION_S,
            COLD_RATE_PER_S,
            slots=engine.slots,
            memory_tokens=engine.memory_tokens,
        )
        self._tokens_per_s = spec.engines * produced_tokens_per_s(engine.busy_s)
        self._instances = [
            Instance(
                f"instance-{number}",
                {name: self._state(name, 0.0) for name in names},
                FairShares(tokens_per_s=self._tokens_per_s),
            )
            for number in range(spec.instances)
        ]

    @property
    def _lag_s(self) -> float:
        return max(EXCHANGE_INTERVAL_S, self.spec.totals_delay_s)

    @property
    def _crashes(self) -> int:
        return sum(len(times_s) for times_s in self.crash_times_s.values())

    def _state(self, name: str, cold_until_s: float) -> ServerState:
        engine = self.spec.engine
        server = AnnouncedServer(name, 1, "model", "h", 1, "a", engine.slots)
        return ServerState(
            server,
            cold_until_s,
            ColdRateLimit(COLD_RATE_PER_S),
            rate_tokens_per_s=0.8 * engine.prefill_tokens_per_s,
        )

    def play(self) -> Outcome:
        """Run the simulation until no events are left and return its outcome."""
        arrivals = generate_arrivals(self.pattern, self._seed, self.spec.engines)
        for arrival in arrivals:
            self._schedule(arrival.work.arrived_at_s, partial(self._arrive, arrival))
        if self.pattern.loss is not None:
            self._schedule_loss(self.pattern.loss)
        last_s = max(arrival.work.deadline_at_s for arrival in arrivals)
        self._schedule(EXCHANGE_INTERVAL_S, lambda: self._exchange(last_s))
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self.now_s = at_s
            action()
        return Outcome(
            self.spec,
            arrivals,
            self.results,
            self.reread_tokens,
            self._crashes,
            self.limits.largest_excess(),
            self.limits.used_fraction(),
        )

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _schedule_loss(self, loss: Loss) -> None:
        names = list(self.engines)[: max(1, round(loss.share * len(self.engines)))]

        def fail() -> None:
            for name in names:
                for call in self._stop(name, is_announced=loss.is_announced):
                    self._fail(call)

        def return_cold() -> None:
            for name in names:
                self._return_cold(name)

        self._schedule(loss.at_s, fail)
        self._schedule(loss.back_at_s, return_cold)

    def _stop(self, name: str, *, is_announced: bool = True) -> list[Call]:
        """Stop an engine and return the calls that it had."""
        aborted = self.engines[name].fail()
        for instance in self._instances if is_announced else ():
            instance.states.pop(name, None)
        return [self._calls_by_request[id(request)] for request in aborted]

    def _return_cold(self, name: str) -> None:
        self.engines[name] = EngineModel(name, self.spec.engine)
        for instance in self._instances:
            instance.states[name] = self._state(name, self.now_s + COLD_DURATION_S)

    def _crash(self, engine: EngineModel, crashing: Call) -> None:
        """Crash an engine that begins to answer a crashing prompt.

        Without evidence the request is sent to another engine, as after any failure.
        """
        own_part = crashing.arrival.work.parts[-1][0]
        self.crash_times_s.setdefault(own_part, []).append(self.now_s)
        may_repeat = not crashing.is_repeated
        for call in self._stop(engine.name):
            if self.spec.uses_crash_evidence and call.result.first_at_s is None:
                self._accuse(call, crashing)
            self._fail(call)
        if self.spec.uses_crash_evidence:
            work = crashing.arrival.work
            may_repeat &= crashing.instance.evidence.may_repeat(
                work.parts, self.now_s, work.identity
            )
        self._schedule(self.now_s + RESTART_S, lambda: self._return_cold(engine.name))
        if may_repeat:
            self._arrive(crashing.arrival, crashing.result, is_repeated=True)

    def _accuse(self, call: Call, crashing: Call) -> None:
        """Accuse a request without an answer; only one was about to begin."""
        work = call.arrival.work
        call.instance.evidence.accuse(
            f"crash-{self._crashes}",
            work.parts if call is crashing else (),
            self.now_s,
            self.now_s,
            work.identity,
            is_sequel=call.is_repeated,
        )

    def _arrive(
        self,
        arrival: Arrival,
        result: Result | None = None,
        *,
        is_repeated: bool = False,
    ) -> None:
        if result is None:
            result = Result(arrival)
            self.results.append(result)
        instance = self._random.choice(self._instances)
        if arrival.organisation == self.pattern.narrow_organisation:
            instance = self._instances[0]
        call = Call(arrival, result, instance, is_repeated=is_repeated)
        work = arrival.work
        standing = instance.fair_shares.standing(work.organisation, self.now_s)
        instance.demand.record_arrival(SERVICE, work, standing, self.now_s)
        if instance.evidence.refused_suspect(work) is not None:
            self._end_unanswered(call)
            return
        if not instance.states:
            self._refuse(call, RESTART_S)
            return
        if not len(instance.queue):
            engines = len(instance.states)
            quota = instance.fair_shares.quota(
                work.organisation, work.cost_tokens, 1, engines, self.now_s
            )
            if self._allows_send(call, quota) and self._try_send(call, quota):
                return
        states = list(instance.states.values())
        mean_tokens = instance.demand.mean_prompt_tokens(SERVICE)
        rate = sum(state.served_rate(mean_tokens) for state in states)
        ahead = instance.queue.tokens_ahead(work, instance.fair_shares, self.now_s)
        requests_ahead = instance.queue.requests_ahead(
            work.organisation, instance.fair_shares, self.now_s
        )
        wait_s = limits_allow_in_s(states, requests_ahead, self.now_s)
        wait_s = max(wait_s, ahead / rate)
        refusal = check_admission(work, wait_s, self.now_s, self._random.random())
        if refusal is not None:
            self._refuse(call, refusal.retry_after_s)
            return
        queued = QueuedRequest(work, call)
        instance.queue.add(queued)
        self._schedule(work.caller_timeout_at_s, lambda: self._time_out_queued(queued))

    def _time_out_queued(self, queued: QueuedRequest[Call]) -> None:
        call = queued.payload
        if call.state is not None or call.is_finished:
            return
        call.instance.queue.remove(queued)
        self._refuse(call, 0.3 * (queued.work.deadline_at_s - self.now_s))

    def _end_unanswered(self, call: Call) -> None:
        """Refuse a request whose caller must not come back."""
        call.is_finished = True
        call.result.record_refusal(self.now_s)

    def _refuse(self, call: Call, retry_after_s: float) -> None:
        """Refuse a request; its caller retries once, if the deadline allows."""
        call.is_finished = True
        call.result.record_refusal(self.now_s)
        work = call.arrival.work
        back_at_s = self.now_s + retry_after_s
        if work.resubmitted or back_at_s >= work.deadline_at_s:
            return
        retry = attrs.evolve(
            work,
            arrived_at_s=back_at_s,
            on_time_until_s=back_at_s,
            caller_timeout_at_s=work.deadline_at_s,
            resubmitted=True,
        )
        arrival = attrs.evolve(call.arrival, work=retry)
        self._schedule(back_at_s, lambda: self._arrive(arrival, call.result))

    def _allows_send(self, call: Call, quota: CapacityQuota) -> bool:
        if not self.spec.uses_fair_shares:
            return True
        return call.instance.room.allows_send(quota, call.arrival.work.cost_tokens)

    def _try_send(self, call: Call, quota: CapacityQuota) -> bool:
        """Send a request if an engine has capacity for it."""
        instance, work = call.instance, call.arrival.work
        standing = instance.fair_shares.standing(work.organisation, self.now_s)
        if not self.spec.uses_fair_shares:
            standing, quota = Standing.FAIR, CapacityQuota()
        choice = choose_engine(
            list(instance.states.values()),
            self.service,
            work,
            self.now_s,
            standing=standing,
            quota=quota,
            lag_s=self._lag_s,
            may_use_cold=lambda state: state.cold_rate_limit.allows_send(self.now_s),
            mean_cost_tokens=instance.demand.mean_cost_tokens(SERVICE),
        )
        state = choice.state
        if state is None:
            call.awaited_server = AwaitedServer.from_choice(choice)
            if call.awaited_server is not None:
                call.awaited_server.count_in_backlog(self.spec.instances)
            return False
        if state.is_cold(self.now_s):
            state.cold_rate_limit.record_send(self.now_s, self.spec.instances)
        if state.limit.is_in_force:
            state.limit.record_send(self.now_s, work.prompt_tokens)
        call.state, call.uncached_tokens = state, choice.uncached_tokens
        call.is_prefilling = True
        state.round_sends.add(work.organisation, choice.uncached_tokens)
        instance.room.sends.add(work.organisation, work.cost_tokens)
        state.own_load.running += 1
        state.own_load.pending_tokens += choice.uncached_tokens
        state.own_load.memory_tokens += work.memory_tokens
        state.record_prompt(work, self.now_s)
        instance.fair_shares.charge(work.organisation, work.cost_tokens, self.now_s)
        call.result.record_send(self.now_s, work)
        name = state.server.id
        self._schedule(self.now_s + SEND_DELAY_S, lambda: self._deliver(call, name))
        return True

    def _deliver(self, call: Call, name: str) -> None:
        engine = self.engines[name]
        request = call.request = EngineRequest(call.arrival.work)
        self._calls_by_request[id(request)] = call
        if engine.has_failed:
            self._refuse_connection(call, name)
            return
        self.limits.record_arrival(name, self.now_s)
        engine.enqueue(request)
        self._schedule(
            call.arrival.work.deadline_at_s, lambda: self._disconnect(call, name)
        )
        if call.arrival.work.caller_timeout_at_s < call.arrival.work.deadline_at_s:
            due_s = max(self.now_s, call.arrival.work.caller_timeout_at_s)
            self._schedule(due_s, lambda: self._disconnect_without_token(call, name))
        self._start_stepping(engine)

    def _refuse_connection(self, call: Call, name: str) -> None:
        """Send a call elsewhere if its engine refuses connections but is listed."""
        state = call.instance.states.get(name)
        self._fail(call)
        if state is None:
            return
        state.record_outcome(True, self.now_s)
        call.result.sends.pop()
        self._arrive(call.arrival, call.result)

    def _start_stepping(self, engine: EngineModel) -> None:
        if engine.name not in self._stepping and engine.is_busy:
            self._stepping.add(engine.name)
            self._step(engine)

    def _step(self, engine: EngineModel) -> None:
        if not engine.is_busy:
            self._stepping.discard(engine.name)
            return
        step = engine.step()
        for request in step.admitted:
            self._count_repeated_prefill(request)
        self._schedule(
            self.now_s + step.duration_s, lambda: self._finish_step(engine, step)
        )

    def _finish_step(self, engine: EngineModel, step: StepResult) -> None:
        for request in step.first:
            call = self._calls_by_request[id(request)]
            if call.arrival.is_crashing and not engine.has_failed:
                self._crash(engine, call)
                break
            self._record_first_token(call)
        if engine.has_failed:
            self._stepping.discard(engine.name)
            return
        for request in step.ended:
            call = self._calls_by_request[id(request)]
            if not call.is_finished:
                call.result.ended_at_s = self.now_s
                self._end(call)
        if self.engines[engine.name] is not engine:
            self._stepping.discard(engine.name)
            return
        self._step(engine)

    def _count_repeated_prefill(self, request: EngineRequest) -> None:
        prefilled_before = 0
        for part, tokens in request.work.parts[:-1]:
            if part in self._seen_parts:
                prefilled_before += tokens
            self._seen_parts.add(part)
        self.reread_tokens += max(0, prefilled_before - request.cached_tokens)

    def _record_first_token(self, call: Call) -> None:
        if call.is_finished:
            return
        call.result.first_at_s = self.now_s
        if call.state is not None:
            per_s = self.limits.stated_per_s(call.state.server.id, self.now_s)
            call.state.limit.hear(per_s, self.now_s, self.now_s)
        work = call.arrival.work
        call.instance.evidence.clear(work.parts, self.now_s, work.identity)
        self._finish_prefill(call)
        self._scan_queue(call.instance)

    def _finish_prefill(self, call: Call) -> None:
        if call.is_prefilling and call.state is not None:
            call.is_prefilling = False
            call.state.own_load.pending_tokens -= call.uncached_tokens

    def _end(self, call: Call) -> None:
        call.is_finished = True
        self._finish_prefill(call)
        if call.state is not None:
            call.state.own_load.running -= 1
            call.state.own_load.memory_tokens -= call.arrival.work.memory_tokens
        self._scan_queue(call.instance)

    def _fail(self, call: Call) -> None:
        """End a request whose engine has failed; its caller does not retry."""
        if not call.is_finished:
            self._end(call)

    def _disconnect(self, call: Call, name: str) -> None:
        if call.is_finished or call.request is None:
            return
        self.engines[name].cancel(call.request)
        self._end(call)

    def _disconnect_without_token(self, call: Call, name: str) -> None:
        if call.result.first_at_s is None:
            self._disconnect(call, name)

    def _scan_queue(self, instance: Instance) -> None:
        for state in instance.states.values():
            state.clear_backlog()
        misses = 0
        available = set(instance.states.values())
        quotas: dict[str, CapacityQuota] = {}
        for queued in list(instance.queue.in_order(instance.fair_shares, self.now_s)):
            if instance.evidence.refused_suspect(queued.work) is not None:
                instance.queue.remove(queued)
                self._end_unanswered(queued.payload)
                continue
            awaited_server = queued.blocked_on(available)
            if awaited_server is not None:
                awaited_server.count_in_backlog(self.spec.instances)
                continue
            name = queued.work.organisation
            if name not in quotas:
                requests, tokens = instance.queue.backlog_of(name)
                quotas[name] = instance.fair_shares.quota(
                    name, tokens, requests, len(available), self.now_s
                )
            if not self._allows_send(queued.payload, quotas[name]):
                continue
            if self._try_send(queued.payload, quotas[name]):
                instance.queue.remove(queued)
                continue
            queued.awaited_server = queued.payload.awaited_server
            misses += 1
            if misses >= SCAN_MISSES_MAX:
                return

    def _exchange(self, last_s: float) -> None:
        self._exchanges += 1
        tells_usage = self._exchanges % self.spec.usage_rounds == 0
        totals = [
            instance.totals(self.now_s, tells_usage=tells_usage)
            for instance in self._instances
        ]
        self._schedule(
            self.now_s + self.spec.totals_delay_s, lambda: self._apply_totals(totals)
        )
        for instance in self._instances:
            instance.divide_limits(self.spec.instances, self.now_s)
            instance.recompute_shares(self._tokens_per_s, self._lag_s, self.now_s)
            self._scan_queue(instance)
        if self.now_s < last_s:
            self._schedule(
                self.now_s + EXCHANGE_INTERVAL_S, lambda: self._exchange(last_s)
            )

    def _apply_totals(self, totals: list[Totals]) -> None:
        fleet = FleetSums.of(totals)
        for own, instance in zip(totals, self._instances, strict=True):
            others = fleet.without(own)
            instance.apply_totals(others, self.spec.totals_delay_s, self.now_s)
            self._start_send_round(instance)
            self._scan_queue(instance)

    def _start_send_round(self, instance: Instance) -> None:
        """Start a new round once the other instances have the sends of the last one."""
        if self.now_s - instance.round_at_s < self._lag_s - EXCHANGE_INTERVAL_S / 2.0:
            return
        instance.start_round(self.now_s, self._rounding_random)
