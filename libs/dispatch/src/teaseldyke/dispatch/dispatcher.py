"""The dispatcher's side of one shard: handles reports and issues grants."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from itertools import count

import attrs

from teaseldyke.capacity import Delegation, Delegations, LoadReport
from teaseldyke.fairness import Accounts
from teaseldyke.types import Configuration, Organisation

from .candidates import Candidates
from .grants import GrantTable
from .intake import merge_ramps, record_counts, update_demand
from .messages import GrantBatch, Report
from .options import DispatchOptions
from .order import issue_grants
from .records import RouterRecord
from .shards import Shard
from .slots import ServerSlots, new_slots

Send = Callable[[str, object], None]
ORPHANED_REQUESTS_S = 5.0  # longest time that requests of a lost router run on


@attrs.define(eq=False)
class Dispatcher:
    """Grants the slots of a shard's backend servers in fair-queueing order.

    Parameters
    ----------
    shard : Shard
        Shard of the configuration in force.
    name : str
        Name of this router.
    incarnation : int
        Identifies this process; each start of a router has another one.
    candidates : Candidates
        Ranking and liveness of the routers that may be dispatcher.
    options : DispatchOptions
        Timing and limits.
    clock : callable
        Returns the current time in seconds.
    send : callable
        Sends a message to a router.
    polls_load : bool
        Whether the backend servers are polled for load reports.
    grant_numbers : iterator of int
        Source of grant numbers, shared by all dispatchers of this process.
    """

    shard: Shard
    name: str
    incarnation: int
    candidates: Candidates
    options: DispatchOptions
    clock: Callable[[], float]
    send: Send
    polls_load: bool = False
    grant_numbers: Iterator[int] = attrs.field(factory=lambda: count(1))
    accounts: Accounts = attrs.field(init=False)
    slots: dict[str, ServerSlots] = attrs.field(factory=dict, init=False)
    routers: dict[str, RouterRecord] = attrs.field(factory=dict, init=False)
    delegations: Delegations = attrs.field(init=False)
    grant_table: GrantTable = attrs.field(init=False)
    term: int = attrs.field(default=0, init=False)
    delegation_gained_at_s: float = attrs.field(default=-math.inf, init=False)
    retiring: bool = attrs.field(default=False, init=False)
    draining: bool = attrs.field(default=False, init=False)
    _shares: dict[str, Organisation] = attrs.field(factory=dict, init=False)
    _seqs: count[int] = attrs.field(factory=lambda: count(1), init=False)
    _router_lost_at_s: float = attrs.field(default=-math.inf, init=False)
    _reports_requested_at_s: float = attrs.field(default=-math.inf, init=False)
    _acting: bool = attrs.field(default=False, init=False)
    _delegation_keys: set[tuple[object, ...]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.accounts = Accounts(self._share_of)
        self.delegations = Delegations(
            lambda: self.candidates.holders(self.shard.name),
            lambda: len(self.candidates.membership.members),
            self.candidates.is_gone,
        )
        self.grant_table = GrantTable(
            self.incarnation, self.accounts, self.slots, self.grant_numbers
        )

    @property
    def is_acting(self) -> bool:
        """Return whether any router leases its fraction to this dispatcher."""
        return self._acting

    @property
    def is_busy(self) -> bool:
        """Return whether `tick` must be called in every tick period."""
        if self._acting or self.retiring:
            return True
        return bool(self.delegations.by_router)

    def apply(self, shard: Shard, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.shard = shard
        service = shard.service
        limits = (service.limit, service.cold_limit, service.warm_after_requests)
        for name, server in shard.servers.items():
            slots = self.slots.get(name)
            if slots is None:
                lag_s = self.options.load_lag_s
                slots = new_slots(name, limits, lag_s, self.polls_load)
                self.slots[name] = slots
            ramp = slots.ramp
            ramp.limit_max, ramp.cold_limit, ramp.warm_after_requests = limits
            slots.is_out = configuration.is_out(server)
        for name, slots in self.slots.items():
            if name not in shard.servers:
                slots.is_out = True
        self._shares = configuration.organisations
        self.accounts.refresh_shares()

    def handle_report(self, sender: str, report: Report) -> None:
        """Record a router's report, issue grants, and reply if a reply is due."""
        now_s = self.clock()
        router = self.routers.setdefault(sender, RouterRecord(sender))
        if not router.is_superseded_by(report):
            return
        is_first = report.incarnation != router.incarnation
        if is_first and router.incarnation:
            self._drop_router(router, now_s, process_ended=True)
        router.update(report, now_s)
        self.term = max(self.term, report.term)
        had_delegation = self._record_delegation(sender, report, now_s)
        is_baseline = is_first or not had_delegation
        for server in record_counts(self.slots, router, report, is_baseline, now_s):
            self._revoke_unused(server)
        if is_baseline:
            merge_ramps(self.slots, report.ramps)
        seen_seq = report.seen_seq if self._echoes_this_process(report) else 0
        running = report.running if self._echoes_this_process(report) else ()
        self.grant_table.reconcile_holdings(
            router, running, report.holdings, seen_seq, now_s
        )
        update_demand(self.accounts, router, report, seen_seq, is_baseline, now_s)
        if report.wants_release and not self.retiring:
            self.retire(draining=False)
        self.assign()
        answer_due = now_s - router.batch_at_s >= self.options.lease_s / 10
        if answer_due or router.list_all or not self._echoes_this_process(report):
            self._send_batch(router)

    def record_load_report(
        self, server: str, report: LoadReport, polled_at_s: float
    ) -> None:
        """Record a load report requested at ``polled_at_s``, and issue grants."""
        slots = self.slots[server]
        if slots.record_load_report(report, polled_at_s, self.clock()):
            self._revoke_unused(server)
        self.assign()

    def record_no_load_report(self, server: str, refused: bool) -> None:
        """Record that the server reports no load, or that it refused the poll."""
        slots = self.slots[server]
        if not refused:
            slots.record_no_load_report()
            return
        if not slots.is_unreachable:
            slots.is_unreachable = True
            slots.ramp.reset()
            self._revoke_unused(server)

    def record_failed_poll(self, server: str, polled_at_s: float) -> None:
        """Record that a poll failed or timed out."""
        self.slots[server].poll_failed_at_s = polled_at_s

    def is_blocked_on_load_report(self, server: str) -> bool:
        """Return whether no grant can be issued before the next load report."""
        if not self._acting:
            return False
        all_report = self._all_routers_report(self.clock())
        return not self.slots[server].may_grant(
            self.delegation_gained_at_s, all_report, self.clock()
        )

    def tick(self) -> None:
        """Drop lost routers, issue grants, and advance a retirement."""
        now_s = self.clock()
        for router in self.routers.values():
            if router.incarnation and self._is_lost(router, now_s):
                gone = self.candidates.is_gone(router.name)
                self._drop_router(router, now_s, process_ended=gone)
        self.assign()
        if self.retiring:
            self._finish_retirement(now_s)

    def retire(self, *, draining: bool) -> None:
        """Stop granting, revoke unused grants, then release every fraction."""
        self.retiring = True
        self.draining = self.draining or draining
        for server in self.slots:
            self._revoke_unused(server)
        for router in self.routers.values():
            if router.revoked:
                self._send_batch(router)
        self._finish_retirement(self.clock())

    def assign(self) -> None:
        """Grant free slots to backlogged organisations in fair-queueing order."""
        now_s = self.clock()
        fractions = self.delegations.fractions(now_s)
        self._update_role(bool(fractions), now_s)
        has_backlog = self._update_backlog(now_s)
        if self.retiring:
            return
        if has_backlog:
            self._request_missing_reports(now_s)
        if not fractions or not has_backlog:
            return
        usable = self._usable_slots(now_s)
        issue_grants(self, usable, fractions, now_s)
        for router in self.routers.values():
            if router.pending:
                self._send_batch(router)

    def has_work(self) -> bool:
        """Return whether any request is queued or in flight."""
        if self.grant_table.grants:
            return True
        for router in self.routers.values():
            for record in router.demand.values():
                if record.entry.waiting:
                    return True
        return False

    def _share_of(self, organisation: str) -> float:
        known = self._shares.get(organisation)
        return 1.0 if known is None else known.share

    def _echoes_this_process(self, report: Report) -> bool:
        return report.echo_incarnation == self.incarnation

    def _record_delegation(self, sender: str, report: Report, now_s: float) -> bool:
        known = self.delegations.by_router.get(sender)
        had_delegation = known is not None and known.expires_at_s > now_s
        if not self._echoes_this_process(report) or not report.members:
            self.delegations.remove(sender)
            return had_delegation
        if report.echo_sent_at_s <= self.routers[sender].released_at_s:
            return had_delegation
        delegation = Delegation(
            holders=min(report.members, self.candidates.holders_max),
            members=report.members,
            expires_at_s=report.echo_sent_at_s + self.options.lease_s,
            usable_at_s=now_s + report.held_for_s,
            predecessors_gone=report.predecessors_gone,
            lease_id=(report.incarnation, report.promise_changes),
        )
        self.delegations.record(sender, delegation)
        return had_delegation

    def _update_role(self, acting: bool, now_s: float) -> None:
        effective_ids = self.delegations.effective_ids(now_s)
        if not effective_ids <= self._delegation_keys:
            self.delegation_gained_at_s = now_s
            for slots in self.slots.values():
                slots.foreign.expect(now_s)
            for slots in self.slots.values():
                slots.foreign.expect(now_s)
            self._delegation_keys = effective_ids
        if acting and not self._acting:
            self.term += 1
            for slots in self.slots.values():
                slots.begin_acting()
        self._acting = acting

    def _update_backlog(self, now_s: float) -> bool:
        backlogged = set()
        for router in self.routers.values():
            if not router.joined:
                continue
            for organisation, record in router.demand.items():
                if record.remaining:
                    backlogged.add(organisation)
        self.accounts.update_backlogged(backlogged, now_s)
        return bool(backlogged)

    def _usable_slots(self, now_s: float) -> list[ServerSlots]:
        all_report = self._all_routers_report(now_s)
        may_have_orphans = now_s - self._router_lost_at_s < ORPHANED_REQUESTS_S
        members = self.candidates.holders(self.shard.name)
        may_have_orphans = may_have_orphans or any(
            self.candidates.is_gone(name) for name in members
        )
        usable = []
        for slots in self.slots.values():
            may_grant = slots.may_grant(self.delegation_gained_at_s, all_report, now_s)
            if all_report and not may_have_orphans:
                slots.foreign.clear()
                usable.append(slots)
                continue
            if may_grant:
                usable.append(slots)
        return usable

    def _all_routers_report(self, now_s: float) -> bool:
        """Return whether every live router reports its requests to this dispatcher.

        With more routers than holders, a router that holds no fraction may report to
        another dispatcher without this one knowing.
        """
        holders = self.candidates.holders(self.shard.name)
        if len(holders) < len(self.candidates.membership.members):
            return False
        return self.delegations.is_complete(now_s)

    def _request_missing_reports(self, now_s: float) -> None:
        if now_s - self._reports_requested_at_s < self.options.lease_s / 6:
            return
        missing = self.delegations.missing(now_s + self.options.lease_s / 2)
        if not missing:
            return
        self._reports_requested_at_s = now_s
        for name in missing:
            router = self.routers.setdefault(name, RouterRecord(name))
            self._send_batch(router)

    def _send_batch(self, router: RouterRecord, *, released: bool = False) -> None:
        now_s = self.clock()
        seq = next(self._seqs)
        for grant in router.pending:
            router.grants[grant.grant_id].seq = seq
        ramps = []
        for slots in self.slots.values():
            # A reset must reach the routers, or a successor adopts what was before it.
            ramp = slots.ramp
            if ramp.earlier is None and (ramp.epoch or ramp.completed):
                ramps.append(slots.ramp_state())
        batch = GrantBatch(
            shard=self.shard.name,
            incarnation=self.incarnation,
            seq=seq,
            sent_at_s=now_s,
            echo_incarnation=router.incarnation,
            echo_seq=router.seq,
            echo_sent_at_s=router.sent_at_s,
            term=self.term,
            members=self._members_for(router.name, now_s),
            active=self.has_work(),
            released=released,
            draining=self.draining,
            list_all=router.list_all,
            grants=tuple(router.pending),
            revoked=tuple(router.revoked),
            ramps=tuple(ramps),
        )
        router.pending.clear()
        router.revoked.clear()
        router.batch_at_s = now_s
        self.send(router.name, batch)

    def _members_for(self, router: str, now_s: float) -> int:
        """Return the member count that a router may rely on, or 0 if there is none.

        If this router's own member list is unconfirmed, it is the largest count known,
        provided that a majority of the holders has reported within the lease period.
        """
        holders = self.candidates.holders(self.shard.name)
        members = len(self.candidates.membership.members)
        if router not in holders:
            return 0
        if self.candidates.membership.is_confirmed():
            return members
        member_counts = [members]
        reporting = 0
        for record in self.routers.values():
            recent = now_s - record.received_at_s < self.options.lease_s
            if recent and record.name in holders:
                reporting += 1
                member_counts.append(record.members)
        return max(member_counts) if 2 * reporting > len(holders) else 0

    def _revoke_unused(self, server: str) -> None:
        now_s = self.clock()
        for grant in self.grant_table.grants.values():
            if grant.server == server and grant.may_begin(now_s):
                self.routers[grant.router].revoked.append(grant.grant_id)

    def _is_lost(self, router: RouterRecord, now_s: float) -> bool:
        """Return whether a router's grants no longer have to be tracked one by one.

        Silence alone suffices only if every backend server reports its load, which
        then shows the requests that still run.
        """
        if self.candidates.is_gone(router.name):
            return True
        if router.name not in self.candidates.membership.members:
            return True
        if any(slots.reports_load is False for slots in self.slots.values()):
            return False
        silent_s = 2 * self.options.lease_s + self.options.load_lag_s
        return bool(router.grants) and now_s - router.received_at_s > silent_s

    def _drop_router(
        self, router: RouterRecord, now_s: float, *, process_ended: bool
    ) -> None:
        self._router_lost_at_s = now_s
        self.delegations.remove(router.name)
        for grant in self.grant_table.drop_router(
            router, now_s, process_ended=process_ended
        ):
            slots = self.slots.get(grant.server)
            if slots is not None and slots.reports_load:
                slots.foreign.add(1, now_s)
        for _, account in self.accounts.items():
            account.elsewhere_cost.pop(router.name, None)

    def _finish_retirement(self, now_s: float) -> None:
        if any(grant.may_begin(now_s) for grant in self.grant_table.grants.values()):
            return
        self.retiring = self.draining
        for name in list(self.delegations.by_router):
            self.delegations.remove(name)
            self.routers[name].released_at_s = now_s
            self._send_batch(self.routers[name], released=True)
