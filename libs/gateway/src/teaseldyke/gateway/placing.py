"""Assigns requests to backend servers: at once, from a queue, or not at all."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence

import attrs
import trio

from teaseldyke.placement import (
    FAILURE_RATE_MAX,
    AwaitedServer,
    CapacityQuota,
    Choice,
    CrashEvidence,
    FairShares,
    FleetRoom,
    QueuedRequest,
    RequestQueue,
    RoundSends,
    ServerState,
    VersionSide,
    Work,
    choose_engine,
    choose_plain,
    cold_senders_max,
    next_accepting_in_s,
    retry_delay_s,
    servers_for,
    service_time_s,
)
from teaseldyke.telemetry import histogram
from teaseldyke.timers import boot_time_s
from teaseldyke.types import ServiceDescription

from .crashes import ensure_not_held
from .errors import NoServer, Overloaded
from .interfaces import Fleet
from .limits import LimitDivision
from .refusing import AdmissionControl
from .reservation import Reservation
from .settings import FleetBounds
from .share_log import ShareLog
from .view import FleetView

SCAN_MISSES_MAX = 24  # failed placements after which a queue scan ends
SCAN_PAUSE_MIN_S = 0.004  # between two scans of the queues
SCAN_TIME_SHARE = 0.25  # of elapsed time spent on scans; the rest serves requests
SCAN_PAUSE_MAX_S = 0.05  # a scan also looks long when the process was descheduled
FULL_SERVER_BACKOFF_S = 0.05  # after a server refused a request as full
LOADED_FIRST_EVENT_S = 0.2  # minimum time to first event at a loaded engine
QUOTA_USED = "the organisation has used its part of the free capacity"

QUEUE_TIME = histogram("teaseldyke_wait_seconds", "Time from arrival to the send.")


@attrs.define(eq=False)
class _PendingReservation:
    """The reservation that a queued request waits for."""

    service: ServiceDescription
    avoid: frozenset[str]
    latest_at_s: float
    ready: trio.Event = attrs.field(factory=trio.Event)
    reservation: Reservation | None = None
    reason: str = "others wait"
    is_version_gone: bool = False
    retry_after_s: float = 0.0


class Placer:
    """Assigns requests to backend servers and queues those that don't fit.

    Parameters
    ----------
    view : FleetView
        Routes and backend servers known to this instance.
    fair_shares : FairShares
        Usage and fair shares of the organisations.
    fleet : Fleet
        Instances that share the fleet's limits.
    bounds : FleetBounds
        Limits of the whole fleet.
    failure_domain : str
        Failure domain of this instance.
    evidence : CrashEvidence
        What crashed servers say of requests.

    Attributes
    ----------
    limits : LimitDivision
        This instance's parts of the limits that backend servers state.
    """

    def __init__(
        self,
        view: FleetView,
        fair_shares: FairShares,
        fleet: Fleet,
        bounds: FleetBounds,
        failure_domain: str,
        evidence: CrashEvidence,
    ) -> None:
        self.fair_shares = fair_shares
        self.limits = LimitDivision(view, fleet)
        self._view = view
        self._fleet = fleet
        self.bounds = bounds
        self._failure_domain = failure_domain
        self._evidence = evidence
        self._share_log = ShareLog(fair_shares)
        self._admission = AdmissionControl(
            view, fair_shares, self.limits.demand, self._share_log
        )
        self._queues: dict[str, RequestQueue[_PendingReservation]] = {}
        self._rooms: defaultdict[str, FleetRoom] = defaultdict(FleetRoom)
        self._changed = trio.Event()

    async def run(self) -> None:
        """Scan the queues after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            started_at_s = boot_time_s()
            for name, queue in self._queues.items():
                if len(queue):
                    self._scan_queue(name, queue)
            await trio.sleep(scan_pause_s(boot_time_s() - started_at_s))

    def wake(self, _service: str = "") -> None:
        """Request a scan of the queues."""
        self._changed.set()

    @property
    def waiting(self) -> int:
        """Requests queued at this instance."""
        return sum(len(queue) for queue in self._queues.values())

    def queued_tokens(self) -> dict[str, float]:
        """Return the cost of the requests queued here, by organisation."""
        total: dict[str, float] = {}
        for queue in self._queues.values():
            for name, tokens in queue.queued_tokens().items():
                total[name] = total.get(name, 0.0) + tokens
        return total

    def recompute(self) -> None:
        """Recompute the fair shares and request a scan; called at a fixed interval."""
        now_s = boot_time_s()
        self.limits.divide(now_s)
        table = self._view.table
        if table is not None:
            self.fair_shares.tokens_per_s = self.limits.capacity_tokens_per_s(table)
        self.fair_shares.recompute(self.queued_tokens(), now_s)
        for name, room in self._rooms.items():
            room.measure(
                self._view.states_of(name),
                self._fleet.lag_s,
                self.limits.demand.mean_prompt_tokens(name),
                self.limits.demand.mean_cost_tokens(name),
                now_s,
            )
        self.wake()

    def start_send_round(self) -> None:
        """Start a new round of sends, as the other instances know of the last one's."""
        for state in self._view.all_states():
            state.round_sends = RoundSends(rounding=random.random())
        for room in self._rooms.values():
            room.start_round(random.random())

    def report_shares(self) -> None:
        """Log what organisations requested and received; called at a fixed interval."""
        table = self._view.table
        if table is None:
            return
        states = [
            state
            for name, service in table.services.items()
            if service.is_engine
            for state in self._view.states_of(name)
        ]
        self._share_log.report(states, self.queued_tokens(), boot_time_s())

    async def place(
        self,
        service: ServiceDescription,
        work: Work,
        avoid: frozenset[str],
        *,
        beside_another: bool = False,
    ) -> Reservation:
        """Reserve a backend server for a request, queueing until one has capacity.

        Parameters
        ----------
        avoid : frozenset of str
            Servers that it was sent to; they are chosen only if there is no other one.
        beside_another : bool
            Whether it may still run at one of these, so that they aren't chosen at all.

        Raises
        ------
        Overloaded
            If the request can't be sent in time.
        NoServer
            If the service has no backend server that may get requests.
        VersionGone
            If it has none of the version that began the stream, also while it waits.
        RequestHeld, PromptQuarantined
            If it or a part of its prompt has crashed servers, also while it waits.
        """
        ensure_not_held(self._evidence, work)
        states = servers_for(self._view.states_of(service.name), work)
        now_s = boot_time_s()
        if not avoid:
            standing = self.fair_shares.standing(work.organisation, now_s)
            self.limits.demand.record_arrival(service.name, work, standing, now_s)
        if not avoid and service.is_engine:
            self._share_log.record_arrival(work)
        if self._view.servers_known and not states:
            raise self._admission.no_server(service, work)
        if not beside_another and all(state.server.id in avoid for state in states):
            avoid = frozenset()  # retrying a failed server is better than refusing
        queue = self._queues.setdefault(service.name, RequestQueue())
        if not len(queue):
            quota = self.fair_shares.quota(
                work.organisation, work.cost_tokens, 1, len(states), now_s
            )
            if self._allows_send(service, work, quota):
                choice = self._choose(service, work, avoid, quota, now_s)
                if choice.state is not None:
                    return self._reserve(service, work, choice, now_s)
        self._admission.refuse_if_late(service, work, queue, now_s)
        latest_at_s = latest_send_at_s(work, now_s)
        pending = _PendingReservation(service, avoid, latest_at_s)
        queued = QueuedRequest(work, pending)
        queue.add(queued)
        self.wake()
        try:
            with trio.move_on_after(max(0.0, latest_at_s - now_s)):
                await pending.ready.wait()
        except BaseException:
            if pending.reservation is not None:
                pending.reservation.release(None)
            raise
        finally:
            queue.remove(queued)
        if pending.reservation is not None:
            return pending.reservation
        ensure_not_held(self._evidence, work)
        if pending.is_version_gone:
            raise self._admission.no_server(service, work)
        reason = pending.reason
        self._admission.count_refused(service, work, reason)
        left_s = work.deadline_at_s - boot_time_s()
        raise Overloaded(
            f"no capacity at a backend server within {latest_at_s - now_s:.3f} s: "
            f"{reason}",
            retry_after_s=retry_delay_s(pending.retry_after_s, left_s, random.random()),
        )

    def has_other(
        self, service: ServiceDescription, work: Work, avoid: frozenset[str]
    ) -> bool:
        """Return whether a request was not sent to some server that may serve it."""
        states = servers_for(self._view.states_of(service.name), work)
        return any(state.server.id not in avoid for state in states)

    def next_accepting_in_s(self, service: str, work: Work) -> float:
        """Return the time until a server for a request accepts requests again."""
        states = servers_for(self._view.states_of(service), work)
        return next_accepting_in_s(states, boot_time_s())

    def _scan_queue(self, name: str, queue: RequestQueue[_PendingReservation]) -> None:
        """Place queued requests in order, until too many placements have failed."""
        now_s = boot_time_s()
        misses = 0
        instances = self._fleet.instances
        states = self._view.states_of(name)
        quotas: dict[tuple[str, str], CapacityQuota] = {}
        exhausted: set[str] = set()
        pools: dict[
            tuple[str, VersionSide | None], tuple[Sequence[ServerState], float]
        ] = {}
        available = {state for state in states if state.accepts_requests(now_s)}
        for state in states:
            state.clear_backlog()
        for queued in list(queue.in_order(self.fair_shares, now_s)):
            pending = queued.payload
            if self._evidence.refused_suspect(queued.work) is not None:
                queue.remove(queued)
                pending.ready.set()
                continue
            version = queued.work.version
            pool = version, queued.work.side
            if pool not in pools:
                servers = servers_for(states, queued.work)
                pools[pool] = servers, next_accepting_in_s(servers, now_s)
            servers, pause_s = pools[pool]
            if version and not servers and self._view.servers_known:
                pending.is_version_gone = True
                queue.remove(queued)
                pending.ready.set()
                continue
            if pause_s > 0.0:
                if now_s + pause_s > pending.latest_at_s:
                    pending.reason = "all servers asked for a pause or leave"
                    pending.retry_after_s = pause_s
                    queue.remove(queued)
                    pending.ready.set()
                continue
            awaited_server = queued.blocked_on(available)
            if awaited_server is not None:
                awaited_server.count_in_backlog(instances)
                continue
            organisation = queued.work.organisation
            quota = quotas.get((organisation, version))
            if quota is None:
                requests, tokens = queue.backlog_of(organisation)
                quota = quotas[organisation, version] = self.fair_shares.quota(
                    organisation, tokens, requests, len(servers), now_s
                )
            if not self._allows_send(pending.service, queued.work, quota):
                if organisation not in exhausted:
                    exhausted.add(organisation)
                    self._share_log.record_miss(QUOTA_USED)
                pending.reason = QUOTA_USED
                continue
            choice = self._choose(
                pending.service, queued.work, pending.avoid, quota, now_s
            )
            if choice.state is None:
                misses += 1
                self._share_log.record_miss(choice.reason)
                queued.awaited_server = AwaitedServer.from_choice(choice)
                if queued.awaited_server is not None:
                    queued.awaited_server.count_in_backlog(instances)
                pending.reason = choice.reason
                if misses >= SCAN_MISSES_MAX:
                    return
                continue
            queue.remove(queued)
            pending.reservation = self._reserve(
                pending.service, queued.work, choice, now_s
            )
            pending.ready.set()

    def _allows_send(
        self, service: ServiceDescription, work: Work, quota: CapacityQuota
    ) -> bool:
        """Return whether an organisation has capacity of the service's engines left."""
        if not service.is_engine:
            return True
        return self._rooms[service.name].allows_send(quota, work.cost_tokens)

    def _choose(
        self,
        service: ServiceDescription,
        work: Work,
        avoid: frozenset[str],
        quota: CapacityQuota,
        now_s: float,
    ) -> Choice:
        states = servers_for(self._view.states_of(service.name), work)

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
            mean_cost_tokens=self.limits.demand.mean_cost_tokens(service.name),
        )

    def _cold_senders(self, state: ServerState) -> int:
        bounds = self.bounds
        return cold_senders_max(
            state.cold_rate_limit.rate_per_s, bounds.cold_factor, bounds.cold_slack
        )

    def _reserve(
        self, service: ServiceDescription, work: Work, choice: Choice, now_s: float
    ) -> Reservation:
        state = choice.state
        if state is None:
            raise NoServer("no backend server was chosen")
        if state.is_cold(now_s):
            senders = min(self._fleet.instances, self._cold_senders(state))
            state.cold_rate_limit.record_send(now_s, senders)
        state.probing = state.failure_rate >= FAILURE_RATE_MAX
        reservation = Reservation(
            state,
            work,
            choice.uncached_tokens,
            choice.first_s,
            choice.copy_from,
            now_s,
            self.wake,
            state.pending_tokens,
        )
        if state.limit.is_in_force:
            state.limit.record_send(now_s, work.prompt_tokens)
            reservation.counts_in_limit = True
        own = state.own_load
        own.running += 1
        own.pending_tokens += choice.uncached_tokens
        own.memory_tokens += work.memory_tokens
        if service.is_engine:
            state.round_sends.add(work.organisation, choice.uncached_tokens)
            room_sends = self._rooms[service.name].sends
            room_sends.add(work.organisation, work.cost_tokens)
            state.record_prompt(work, now_s)
            self.fair_shares.charge(work.organisation, work.cost_tokens, now_s)
            self._share_log.record_send(work, now_s)
        QUEUE_TIME.bind(service=service.name).observe(now_s - work.arrived_at_s)
        return reservation


def scan_pause_s(spent_s: float) -> float:
    """Return the pause after a queue scan of a given duration, in seconds.

    Each change triggers a scan, and a scan takes longer the more requests are queued.
    Without a proportional pause, scans would use up the processor time that serving
    the requests needs.

    Examples
    --------
    >>> scan_pause_s(0.0001), scan_pause_s(0.008), scan_pause_s(1.0)
    (0.004, 0.024, 0.05)
    """
    pause_s = spent_s * (1.0 / SCAN_TIME_SHARE - 1.0)
    return min(SCAN_PAUSE_MAX_S, max(SCAN_PAUSE_MIN_S, pause_s))


def latest_send_at_s(work: Work, now_s: float) -> float:
    """Return the latest time of a send that can still deliver the complete answer.

    On the clock of `boot_time_s`.
    """
    service_s = min(service_time_s(work), 0.5 * (work.deadline_at_s - now_s))
    return (
        min(work.deadline_at_s - service_s, work.caller_timeout_at_s)
        - LOADED_FIRST_EVENT_S
    )
