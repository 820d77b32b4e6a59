"""A router's side of one shard: its lease, its reports and its permits."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from teaseldyke.capacity import CapacityLease
from teaseldyke.peers import Membership
from teaseldyke.types import Configuration

from .candidates import Candidates
from .messages import Grant, GrantBatch, RampState, Report
from .options import DispatchOptions
from .pacing import ReportRateLimiter
from .permit import Completion, Permit
from .reports import Counts, demand_of, holdings_of, running_grants_of
from .service_queues import ServiceQueues
from .shards import Shard

Send = Callable[[str, object], None]
LOCAL_FLUSH_INTERVAL_S = 0.0005


@attrs.define(eq=False)
class ShardClient:
    """Reports demand to the shard's dispatcher and uses its grants.

    Parameters
    ----------
    shard : Shard
        Shard of the configuration in force.
    queues : ServiceQueues
        Requests queued for the service, shared with its other shards.
    membership, candidates : Membership, Candidates
        Members of the fleet, and those of them that may be dispatcher.
    options : DispatchOptions
        Timing and limits.
    clock : callable
        Returns the current time in seconds.
    send : callable
        Sends a message to a router.
    on_change : callable
        Called when there is changed state to report.
    lease : CapacityLease
        Lease of this router's fraction of the limits to a dispatcher.
    configuration : Configuration
        Configuration in force.
    held_until_s : float
        Until then the fraction may still be leased under an earlier sharding of the
        service.
    """

    shard: Shard
    queues: ServiceQueues
    membership: Membership
    candidates: Candidates
    options: DispatchOptions
    clock: Callable[[], float]
    send: Send
    on_change: Callable[[], None]
    lease: CapacityLease
    configuration: Configuration
    held_until_s: float = -math.inf
    permits: dict[int, Permit] = attrs.field(factory=dict)
    counts: dict[str, Counts] = attrs.field(factory=dict)
    ramps: dict[str, RampState] = attrs.field(factory=dict)
    virtual_times: dict[str, float] = attrs.field(factory=dict)
    term: int = 0
    active_until_s: float = -math.inf
    flushed_at_s: float = -math.inf
    changed: bool = False
    rate_limiter: ReportRateLimiter = attrs.field(init=False)
    list_all: bool = False
    _seq: int = 0
    _echo_seq: int = 0
    _echo_sent_at_s: float = 0.0
    _seen_seqs: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _received_at_s: float = -math.inf
    _unanswered_since_s: float | None = None
    _pause_checked_at_s: float = -math.inf
    _resumed_at_s: float = -math.inf
    _holder_since_s: float = math.inf
    _holder_confirmed: bool = True  # after a start, the join delay applies
    _dispatcher_members: int = 0
    _dispatcher_members_at_s: float = -math.inf
    _handover_pending: bool = False
    _is_urgent: bool = False
    _ended_incarnations: set[tuple[str, int]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.rate_limiter = ReportRateLimiter(self.options.flush_interval_s)

    def mark_changed(self) -> None:
        """Schedule a report of changed state."""
        self.changed = True
        self.on_change()

    def is_active(self, now_s: float) -> bool:
        """Return whether the lease must be renewed."""
        if self.permits or now_s < self.active_until_s:
            return True
        return self.queues.waiting > 0

    def due_at_s(self, now_s: float) -> float:
        """Return when the next report is due."""
        if self.changed and self._is_urgent:
            return now_s
        if self.changed and self.lease.dispatcher == self.membership.name:
            return self.flushed_at_s + LOCAL_FLUSH_INTERVAL_S
        if self.changed:
            return self.rate_limiter.next_at_s()
        if not self.is_active(now_s):
            return math.inf
        return self.flushed_at_s + self.options.renewal_s

    def select_dispatcher(self) -> None:
        """Choose the dispatcher to report to.

        While the lease runs, a responsive dispatcher is asked to release it before this
        router reports to another one; otherwise the dispatcher is replaced at once.
        """
        now_s = self.clock()
        self._detect_pause(now_s)
        unanswered_since_s = self._unanswered_since_s
        current = self.lease.dispatcher
        silent = False
        if unanswered_since_s is not None:
            silent = now_s - unanswered_since_s > self.options.silence_s
        if silent and current is not None:
            self.candidates.suspect(current)
        preferred_dispatcher = self.candidates.preferred_dispatcher(self.shard.name)
        if current == preferred_dispatcher:
            self._handover_pending = False
            return
        lost = current is None or self.candidates.is_unresponsive(current)
        if lost or self.lease.until_s <= now_s:
            self._switch_dispatcher(preferred_dispatcher)
        elif not self._handover_pending:
            self._handover_pending = True
            self.mark_changed()

    def flush(self) -> None:
        """Send a report now."""
        self.select_dispatcher()
        now_s = self.clock()
        self.flushed_at_s = now_s
        self.rate_limiter.record_report(now_s)
        self.changed = False
        self._is_urgent = False
        dispatcher = self.lease.dispatcher
        if dispatcher is None:
            return
        answer_due = now_s - self._received_at_s >= self.options.lease_s / 8
        if answer_due and self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        self.send(dispatcher, self._report(now_s))

    def handle_batch(self, sender: str, batch: GrantBatch) -> None:
        """Handle a grant batch of a dispatcher."""
        if batch.draining:
            self.candidates.draining.add(sender)
        if sender != self.lease.dispatcher:
            return
        if (sender, batch.incarnation) in self._ended_incarnations:
            return
        is_new = batch.incarnation != self.lease.incarnation
        key = (sender, batch.incarnation)
        if batch.seq <= self._seen_seqs.get(key, 0):
            return
        if is_new and self.lease.incarnation:
            self._ended_incarnations.add((sender, self.lease.incarnation))
        now_s = self.clock()
        self._seen_seqs[key] = batch.seq
        stale = now_s - self._received_at_s > self.options.lease_s / 2
        self._received_at_s = now_s
        self._unanswered_since_s = None
        self.term = max(self.term, batch.term)
        if batch.members:
            self._dispatcher_members = batch.members
            self._dispatcher_members_at_s = now_s
        if is_new or not self._handover_pending:
            self.lease.renew(batch.incarnation, now_s)
            self._echo_seq = batch.seq
            self._echo_sent_at_s = batch.sent_at_s
        if batch.active:
            self.active_until_s = now_s + 2 * self.options.lease_s
        for state in batch.ramps:
            self.ramps[state.server] = state
        for grant_id in batch.revoked:
            self._revoke(grant_id)
        self.list_all = batch.list_all
        if batch.released:
            self._handle_release()
        overdue = now_s - self.flushed_at_s > self.options.lease_s / 6
        if is_new or stale or overdue or batch.revoked or batch.list_all:
            self.changed = True
            self._is_urgent = True  # the dispatcher is waiting for this report
        if batch.echo_incarnation == self.membership.incarnation:
            for grant in batch.grants:
                self._handle_grant(grant, batch)
        if self.changed:
            self.on_change()

    def apply(self, shard: Shard, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.shard = shard
        self.configuration = configuration
        self.mark_changed()

    def lapse_reason(self, permit: Permit) -> str | None:
        """Return why a permit may not be used, or ``None``."""
        now_s = self.clock()
        server = permit.server
        current = self.configuration.backend_servers.get(server.name)
        if permit.is_finished:
            return "it was already finished"
        if permit.is_revoked:
            return "the dispatcher revoked it"
        if permit.dispatcher != (self.lease.dispatcher, self.lease.incarnation):
            return "its dispatcher was replaced"
        if now_s >= permit.expires_at_s:
            return "it expired before the request was sent"
        if now_s >= permit.deadline_at_s:
            return "the request's deadline has passed"
        if current != server or self.configuration.is_out(server):
            return "the backend server was changed or taken out of service"
        if server.name in self.membership.leaving_servers:
            return "the backend server is leaving the fleet"
        return None

    def sent(self, permit: Permit) -> None:
        """Do nothing when a request is about to be sent."""

    def charged(self, permit: Permit, cost_so_far: float) -> None:
        """Record the cost so far of a running request."""
        self.queues.served.charge(
            permit.organisation, permit.grant_id, cost_so_far, permit.estimate_cost
        )

    def finished(self, permit: Permit, cost: float, completion: Completion) -> None:
        """Record the end of a request."""
        organisation = permit.organisation
        del self.permits[permit.grant_id]
        self.queues.adjust_outstanding_cost(organisation, -permit.estimate_cost)
        if completion is not Completion.UNUSED:
            self.queues.served.finish(organisation, permit.grant_id, cost)
            self.counts.setdefault(permit.server.name, Counts()).add(completion)
        if completion is Completion.OK:
            self.queues.complete(organisation, cost, self.clock())
        self.active_until_s = max(
            self.active_until_s, self.clock() + self.options.lease_s
        )
        self.mark_changed()

    def record_cold(self, server: str) -> None:
        """Count a sign that a backend server is cold."""
        self.counts.setdefault(server, Counts()).cold += 1
        self.mark_changed()

    def _detect_pause(self, now_s: float) -> None:
        paused_s = now_s - self._pause_checked_at_s
        self._pause_checked_at_s = now_s
        if paused_s > self.options.silence_s / 2:
            self._unanswered_since_s = None
        if math.isfinite(paused_s) and paused_s > self.options.lease_s:
            self._resumed_at_s = now_s  # members may have joined meanwhile
        counts_from_s = max(self.membership.joined_at_s, self._resumed_at_s)
        held_until_s = counts_from_s + self.options.join_delay_s
        self.lease.held_until_s = max(self.held_until_s, held_until_s)

    def _members_for_delegation(self, now_s: float) -> int:
        """Return the confirmed number of members, this router included, or 0.

        Also 0 if this router holds no fraction of the shard's limits.
        """
        holders = self.candidates.holders(self.shard.name)
        if not self._is_confirmed_holder(holders, now_s):
            return 0
        from_dispatcher = 0
        if now_s - self._dispatcher_members_at_s < self.membership.list_max_age_s:
            from_dispatcher = self._dispatcher_members
        if not from_dispatcher and not self.membership.is_confirmed():
            return 0
        return max(from_dispatcher, len(self.membership.members))

    def _is_confirmed_holder(self, holders: frozenset[str], now_s: float) -> bool:
        """Return whether no other router can still claim this router's fraction.

        A router that becomes a holder later waits for the join delay and a confirmed
        member list, so that all others have read the change.
        """
        if self.membership.name not in holders:
            self._holder_since_s = math.inf
            self._holder_confirmed = False
            return False
        if self._holder_confirmed:
            return True
        self._holder_since_s = min(self._holder_since_s, now_s)
        if now_s - self._holder_since_s >= self.options.join_delay_s:
            self._holder_confirmed = self.membership.is_confirmed()
        return self._holder_confirmed

    def _switch_dispatcher(self, dispatcher: str) -> None:
        self.lease.set_dispatcher(dispatcher)
        self._handover_pending = False
        self._echo_seq = 0
        self._received_at_s = -math.inf
        self._unanswered_since_s = None
        self.mark_changed()

    def _handle_release(self) -> None:
        self.lease.release()
        self.mark_changed()

    def _revoke(self, grant_id: int) -> None:
        permit = self.permits.get(grant_id)
        if permit is not None and not permit.is_sent:
            permit.is_revoked = True

    def _handle_grant(self, grant: Grant, batch: GrantBatch) -> None:
        now_s = self.clock()
        expires_at_s = batch.echo_sent_at_s + grant.ttl_s
        server = self.shard.servers.get(grant.server)
        known = self.virtual_times.get(grant.organisation, 0.0)
        self.virtual_times[grant.organisation] = max(known, grant.virtual_time)
        if server is None or expires_at_s <= now_s or self.lease.is_starting(now_s):
            self.changed = True
            return
        waiter = self.queues.pop_for(grant.organisation, grant.server)
        if waiter is None:
            self.changed = True
            return
        permit = Permit(
            grant_id=grant.grant_id,
            organisation=grant.organisation,
            server=server,
            fencing=batch.term,
            estimate_cost=grant.estimate_cost,
            expires_at_s=expires_at_s,
            dispatcher=(self.lease.dispatcher or "", batch.incarnation),
            owner=self,
            deadline_at_s=waiter.deadline_at_s,
        )
        self.permits[grant.grant_id] = permit
        self.queues.adjust_outstanding_cost(grant.organisation, grant.estimate_cost)
        waiter.resolve(permit)

    def _report(self, now_s: float) -> Report:
        self._seq += 1
        lease = self.lease
        unexpired_predecessors = lease.unexpired_predecessors(now_s)
        starting = lease.is_starting(now_s)
        key = (lease.dispatcher or "", lease.incarnation)
        gone = all(
            self._is_ended(name, number) for name, number in unexpired_predecessors
        )
        return Report(
            shard=self.shard.name,
            incarnation=self.membership.incarnation,
            seq=self._seq,
            sent_at_s=now_s,
            echo_incarnation=lease.incarnation,
            echo_seq=self._echo_seq,
            echo_sent_at_s=self._echo_sent_at_s,
            seen_seq=self._seen_seqs.get(key, 0),
            members=self._members_for_delegation(now_s),
            promise_changes=lease.changes,
            held_for_s=lease.remaining_hold_s(now_s),
            predecessors_gone=gone and not starting,
            joined=not starting,
            wants_release=self._handover_pending,
            term=self.term,
            demand=demand_of(self, now_s),
            running=running_grants_of(self),
            holdings=holdings_of(self),
            counts=tuple(c.to_message(name) for name, c in self.counts.items()),
            ramps=tuple(self.ramps.values()),
        )

    def _is_ended(self, name: str, incarnation: int) -> bool:
        if (name, incarnation) in self._ended_incarnations:
            return True
        if self.candidates.is_gone(name):
            self._ended_incarnations.add((name, incarnation))
            return True
        return False
