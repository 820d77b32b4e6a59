"""Brings requests to backend servers: at once, after a wait, or not at all."""

from __future__ import annotations

import random

import attrs
import trio

from teaseldyke.placement import (
    FAILURE_RATE_MAX,
    AwaitedServer,
    CapacityQuota,
    Choice,
    FairShares,
    QueuedRequest,
    RequestQueue,
    ServerState,
    Work,
    check_admission,
    choose_engine,
    choose_plain,
    cold_senders_max,
    retry_delay_s,
    service_time_s,
)
from teaseldyke.telemetry import counter, histogram
from teaseldyke.timers import boot_time_s
from teaseldyke.types import ServiceDescription

from .beliefs import FleetBeliefs
from .errors import NoServer, Overloaded
from .interfaces import Fleet
from .placed import Placed
from .settings import FleetBounds
from .share_log import ShareLog

MISSES_MAX = 24  # requests tried without success before the rest must wait on
PUMP_PAUSE_S = 0.004  # between two looks at what waits, at least
PUMP_PART = 0.25  # of the time that looks at what waits take; the rest serves it
PUMP_PAUSE_MAX_S = 0.05  # a look may take long because the processor was withheld
NO_SERVER_PAUSE_S = 1.0  # in which an entry of a new server may appear
FULL_PAUSE_S = 0.05  # a server that had no room is not tried again before
FIRST_MIN_S = 0.2  # from a send to a first event at a loaded engine, at least

WAITED = histogram("teaseldyke_wait_seconds", "Time from arrival to the send.")
REFUSED = counter("teaseldyke_refused_total", "Requests refused, by reason.")


@attrs.define(eq=False)
class _Ticket:
    service: ServiceDescription
    avoid: frozenset[str]
    ready: trio.Event = attrs.field(factory=trio.Event)
    placed: Placed | None = None
    reason: str = "others wait"


class Placing:
    """Places requests on backend servers and lets the rest wait in order.

    Parameters
    ----------
    beliefs : FleetBeliefs
        Routes and backend servers.
    fair_shares : FairShares
        Usage of the organisations.
    fleet : Fleet
        Instances that share the fleet's bounds.
    bounds : FleetBounds
        Those bounds.
    failure_domain : str
        Where this instance stands.
    """

    def __init__(
        self,
        beliefs: FleetBeliefs,
        fair_shares: FairShares,
        fleet: Fleet,
        bounds: FleetBounds,
        failure_domain: str,
    ) -> None:
        self.fair_shares = fair_shares
        self._beliefs = beliefs
        self._fleet = fleet
        self.bounds = bounds
        self._failure_domain = failure_domain
        self._share_log = ShareLog(fair_shares)
        self._lines: dict[str, RequestQueue[_Ticket]] = {}
        self._changed = trio.Event()

    async def run(self) -> None:
        """Place waiting requests whenever something has changed."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            started_at_s = boot_time_s()
            for name, line in self._lines.items():
                if len(line):
                    self._pump(name, line)
            await trio.sleep(pump_pause_s(boot_time_s() - started_at_s))

    def wake(self, _service: str = "") -> None:
        """Look at what waits again."""
        self._changed.set()

    @property
    def waiting(self) -> int:
        """Requests that wait here for a backend server."""
        return sum(len(line) for line in self._lines.values())

    def queued_tokens(self) -> dict[str, float]:
        """Return the cost of what waits here, by organisation."""
        total: dict[str, float] = {}
        for line in self._lines.values():
            for name, tokens in line.queued_tokens().items():
                total[name] = total.get(name, 0.0) + tokens
        return total

    def recompute(self) -> None:
        """Work out shares and rates anew; called at a fixed interval."""
        now_s = boot_time_s()
        if self._beliefs.table is not None:
            self.fair_shares.tokens_per_s = self._beliefs.table.bounds.tokens_per_s
        self.fair_shares.recompute(self.queued_tokens(), now_s)
        self.wake()

    def report_shares(self) -> None:
        """Log what organisations asked for and got; called at a fixed interval."""
        table = self._beliefs.table
        if table is None:
            return
        states = [
            state
            for name, service in table.services.items()
            if service.is_engine
            for state in self._beliefs.states_of(name)
        ]
        self._share_log.report(states, self.queued_tokens(), boot_time_s())

    async def place(
        self, service: ServiceDescription, work: Work, avoid: frozenset[str]
    ) -> Placed:
        """Return a place at a backend server.

        Raises
        ------
        Overloaded
            If the request can't be sent in time.
        NoServer
            If no backend server may get it.
        """
        states = self._beliefs.states_of(service.name)
        if not avoid and service.is_engine:
            self._share_log.note_asked(work)
        if self._beliefs.servers_known and not states:
            raise self._no_server(service, work)
        if all(state.server.id in avoid for state in states):
            avoid = frozenset()  # a server that failed once is better than none
        line = self._lines.setdefault(service.name, RequestQueue())
        now_s = boot_time_s()
        if not len(line):
            quota = self.fair_shares.quota(
                work.organisation, work.cost_tokens, 1, len(states), now_s
            )
            choice = self._choose(service, work, avoid, quota, now_s)
            if choice.state is not None:
                return self._begin(service, work, choice, now_s)
        self._refuse_hopeless(service, work, line, now_s)
        ticket = _Ticket(service, avoid)
        waiter = QueuedRequest(work, ticket)
        line.add(waiter)
        self.wake()
        last_s = last_send_s(work, now_s)
        try:
            with trio.move_on_after(max(0.0, last_s - now_s)):
                await ticket.ready.wait()
        except BaseException:
            if ticket.placed is not None:
                ticket.placed.end(None)
            raise
        finally:
            line.remove(waiter)
        if ticket.placed is not None:
            return ticket.placed
        reason = ticket.reason
        self._count_refused(service, work, reason)
        left_s = work.deadline_at_s - boot_time_s()
        raise Overloaded(
            f"no room within {last_s - now_s:.3f} s: {reason}",
            retry_after_s=retry_delay_s(0.0, left_s, random.random()),
        )

    def expected_wait_s(
        self, service: ServiceDescription, line: RequestQueue[_Ticket], work: Work
    ) -> float:
        """Return how long a new request would wait, by the rate of the engines."""
        if not service.is_engine:
            return 0.0
        now_s = boot_time_s()
        rate = sum(
            state.rate_tokens_per_s
            for state in self._beliefs.states_of(service.name)
            if not state.is_ejected(now_s)
        )
        if rate <= 0.0:
            return 0.0
        ahead_tokens = line.tokens_ahead(work, self.fair_shares, now_s)
        return ahead_tokens / rate

    def _refuse_hopeless(
        self,
        service: ServiceDescription,
        work: Work,
        line: RequestQueue[_Ticket],
        now_s: float,
    ) -> None:
        expected_s = self.expected_wait_s(service, line, work)
        refusal = check_admission(work, expected_s, now_s, random.random())
        if refusal is None:
            return
        self._count_refused(service, work, refusal.reason)
        raise Overloaded(
            f"{refusal.reason}: {expected_s:.3f} s",
            retry_after_s=refusal.retry_after_s,
        )

    def _count_refused(
        self, service: ServiceDescription, work: Work, reason: str
    ) -> None:
        REFUSED.bind(reason=reason).add()
        if service.is_engine:
            self._share_log.note_refused(work, boot_time_s())

    def _no_server(self, service: ServiceDescription, work: Work) -> NoServer:
        self._count_refused(service, work, "no server")
        left_s = work.deadline_at_s - boot_time_s()
        return NoServer(
            f"service {service.name} has no backend server that may get requests",
            retry_after_s=retry_delay_s(NO_SERVER_PAUSE_S, left_s, random.random()),
        )

    def _pump(self, name: str, line: RequestQueue[_Ticket]) -> None:
        now_s = boot_time_s()
        misses = 0
        instances = self._fleet.instances
        states = self._beliefs.states_of(name)
        quotas: dict[str, CapacityQuota] = {}
        available = set(states)
        for state in states:
            state.backlog_tokens = 0.0
        for waiter in list(line.in_order(self.fair_shares, now_s)):
            ticket = waiter.payload
            awaited_server = waiter.blocked_on(available)
            if awaited_server is not None:
                awaited_server.count_in_backlog(instances)
                continue
            organisation = waiter.work.organisation
            quota = quotas.get(organisation)
            if quota is None:
                requests, tokens = line.backlog_of(organisation)
                quota = quotas[organisation] = self.fair_shares.quota(
                    organisation, tokens, requests, len(states), now_s
                )
            choice = self._choose(
                ticket.service, waiter.work, ticket.avoid, quota, now_s
            )
            if choice.state is None:
                misses += 1
                self._share_log.note_miss(choice.reason)
                waiter.awaited_server = AwaitedServer.from_choice(choice)
                if waiter.awaited_server is not None:
                    waiter.awaited_server.count_in_backlog(instances)
                ticket.reason = choice.reason
                if misses >= MISSES_MAX:
                    return
                continue
            line.remove(waiter)
            ticket.placed = self._begin(ticket.service, waiter.work, choice, now_s)
            ticket.ready.set()

    def _choose(
        self,
        service: ServiceDescription,
        work: Work,
        avoid: frozenset[str],
        quota: CapacityQuota,
        now_s: float,
    ) -> Choice:
        states = self._beliefs.states_of(service.name)

        def may_use_cold(state: ServerState) -> bool:
            if not state.cold_rate_limit.allows_send(now_s):
                return False
            return self._fleet.rank(state.server.id) < self._cold_senders(state)

        if not service.is_engine:
            return choose_plain(
                states,
                now_s,
                failure_domain=self._failure_domain,
                avoid=avoid,
                may_use_cold=may_use_cold,
            )
        return choose_engine(
            states,
            service,
            work,
            now_s,
            standing=self.fair_shares.standing(work.organisation, now_s),
            quota=quota,
            lag_s=self._fleet.lag_s,
            avoid=avoid,
            may_use_cold=may_use_cold,
        )

    def _cold_senders(self, state: ServerState) -> int:
        bounds = self.bounds
        return cold_senders_max(
            state.cold_rate_limit.rate_per_s, bounds.cold_factor, bounds.cold_slack
        )

    def _begin(
        self, service: ServiceDescription, work: Work, choice: Choice, now_s: float
    ) -> Placed:
        state = choice.state
        if state is None:
            raise NoServer("no backend server was chosen")
        if state.is_cold(now_s):
            senders = min(self._fleet.instances, self._cold_senders(state))
            state.cold_rate_limit.record_send(now_s, senders)
        state.probing = state.failure_rate >= FAILURE_RATE_MAX
        placed = Placed(
            state,
            work,
            choice.uncached_tokens,
            choice.first_s,
            choice.copy_from,
            now_s,
            self.wake,
            state.pending_tokens,
        )
        own = state.own_load
        own.running += 1
        own.pending_tokens += choice.uncached_tokens
        own.memory_tokens += work.memory_tokens
        if service.is_engine:
            state.round_sends.add(work.organisation, choice.uncached_tokens)
            state.record_prompt(work, now_s)
            self.fair_shares.charge(work.organisation, work.cost_tokens, now_s)
            self._share_log.note_sent(work, now_s)
        WAITED.bind(service=service.name).observe(now_s - work.arrived_at_s)
        return placed


def pump_pause_s(spent_s: float) -> float:
    """Return the pause after a look at what waits that took so long.

    Each change wakes the look, and the more requests wait the longer it takes: without
    a pause in proportion it would take the time in which they could be served.

    Examples
    --------
    >>> pump_pause_s(0.0001), pump_pause_s(0.008), pump_pause_s(1.0)
    (0.004, 0.024, 0.05)
    """
    pause_s = spent_s * (1.0 / PUMP_PART - 1.0)
    return min(PUMP_PAUSE_MAX_S, max(PUMP_PAUSE_S, pause_s))


def last_send_s(work: Work, now_s: float) -> float:
    """Return until when a send of a request may still bring its whole answer."""
    whole_s = min(service_time_s(work), 0.5 * (work.deadline_at_s - now_s))
    return min(work.deadline_at_s - whole_s, work.caller_timeout_at_s) - FIRST_MIN_S
