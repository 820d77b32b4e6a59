"""The dispatcher's side of one shard: takes reports and gives out grants."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from itertools import count

import attrs

from teaseldyke.capacity import Delegation, Delegations, LoadReport
from teaseldyke.fairness import Accounts
from teaseldyke.types import Configuration, Organisation

from .candidates import Candidates
from .grants import GrantBook
from .intake import adopt_ramps, take_counts, take_demand
from .messages import GrantBatch, Report
from .options import DispatchOptions
from .order import give_out
from .records import RouterRecord
from .shards import Shard
from .slots import ServerSlots, new_slots

Send = Callable[[str, object], None]
RESTART_MEMORY_S = 5.0  # a restarted router's work may still run for so long


@attrs.define(eq=False)
class Dispatcher:
    """Grants the slots of a shard's backend servers in the fair order.

    Parameters
    ----------
    shard : Shard
        Shard of the configuration in force.
    name : str
        Name of this router.
    incarnation : int
        Which process of it this is.
    candidates : Candidates
        State of the other routers.
    options : DispatchOptions
        Times and bounds.
    clock : callable
        Returns the time in seconds.
    send : callable
        Sends a message to a router.
    polls_load : bool
        Whether load reports are asked for.
    grant_numbers : iterator of int
        Shared by the dispatchers of this process.
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
    book: GrantBook = attrs.field(init=False)
    term: int = attrs.field(default=0, init=False)
    gained_at_s: float = attrs.field(default=-math.inf, init=False)
    retiring: bool = attrs.field(default=False, init=False)
    draining: bool = attrs.field(default=False, init=False)
    _shares: dict[str, Organisation] = attrs.field(factory=dict, init=False)
    _seqs: count[int] = attrs.field(factory=lambda: count(1), init=False)
    _lost_at_s: float = attrs.field(default=-math.inf, init=False)
    _solicited_at_s: float = attrs.field(default=-math.inf, init=False)
    _acting: bool = attrs.field(default=False, init=False)
    _parts: set[tuple[object, ...]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.accounts = Accounts(self._share_of)
        self.delegations = Delegations(
            lambda: self.candidates.holders(self.shard.name),
            lambda: len(self.candidates.membership.members),
            self.candidates.is_gone,
        )
        self.book = GrantBook(
            self.incarnation, self.accounts, self.slots, self.grant_numbers
        )

    @property
    def is_acting(self) -> bool:
        """Return whether any router delegates to this dispatcher."""
        return self._acting

    @property
    def is_busy(self) -> bool:
        """Return whether the passing of time changes anything here."""
        if self._acting or self.retiring:
            return True
        return bool(self.delegations.by_router)

    def apply(self, shard: Shard, configuration: Configuration) -> None:
        """Use a new configuration from now on."""
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

    def take_report(self, sender: str, report: Report) -> None:
        """Take in a router's report, give out grants and answer."""
        now_s = self.clock()
        router = self.routers.setdefault(sender, RouterRecord(sender))
        if not router.is_news(report):
            return
        is_first = report.incarnation != router.incarnation
        if is_first and router.incarnation:
            self._end_router(router, now_s, has_ended=True)
        router.take(report, now_s)
        self.term = max(self.term, report.term)
        knew_part = self._take_delegation(sender, report, now_s)
        is_base = is_first or not knew_part
        for server in take_counts(self.slots, router, report, is_base, now_s):
            self._revoke_unused(server)
        if is_base:
            adopt_ramps(self.slots, report.ramps)
        seen_seq = report.seen_seq if self._is_mine(report) else 0
        running = report.running if self._is_mine(report) else ()
        self.book.take_holdings(router, running, report.holdings, seen_seq, now_s)
        take_demand(self.accounts, router, report, seen_seq, is_base, now_s)
        if report.wants_release and not self.retiring:
            self.retire(draining=False)
        self.assign()
        answer_due = now_s - router.batch_at_s >= self.options.lease_s / 10
        if answer_due or router.list_all or not self._is_mine(report):
            self._send_batch(router)

    def take_load(self, server: str, report: LoadReport, polled_at_s: float) -> None:
        """Take in a load report that was asked for at ``polled_at_s``."""
        slots = self.slots[server]
        if slots.take_load(report, polled_at_s, self.clock()):
            self._revoke_unused(server)
        self.assign()

    def take_no_load(self, server: str, refused: bool) -> None:
        """Take in that a poll brought no report, or that it was refused."""
        slots = self.slots[server]
        if not refused:
            slots.reports_load = False
            return
        if not slots.is_unreachable:
            slots.is_unreachable = True
            slots.ramp.reset()
            self._revoke_unused(server)

    def take_failed_poll(self, server: str, polled_at_s: float) -> None:
        """Take in that a poll was not answered."""
        self.slots[server].poll_failed_at_s = polled_at_s

    def is_waiting_for_load(self, server: str) -> bool:
        """Return whether no grant can be given before the next load report."""
        if not self._acting:
            return False
        complete = self._hears_everyone(self.clock())
        return not self.slots[server].may_grant(
            self.gained_at_s, complete, self.clock()
        )

    def tick(self) -> None:
        """Do what the passing of time asks for."""
        now_s = self.clock()
        for router in self.routers.values():
            if router.incarnation and self._is_lost(router, now_s):
                gone = self.candidates.is_gone(router.name)
                self._end_router(router, now_s, has_ended=gone)
        self.assign()
        if self.retiring:
            self._finish_retirement(now_s)

    def retire(self, *, draining: bool) -> None:
        """Stop granting, take unused grants back, then release every part."""
        self.retiring = True
        self.draining = self.draining or draining
        for server in self.slots:
            self._revoke_unused(server)
        for router in self.routers.values():
            if router.revoked:
                self._send_batch(router)
        self._finish_retirement(self.clock())

    def assign(self) -> None:
        """Give every free slot to the organisation that is next in the order."""
        now_s = self.clock()
        fractions = self.delegations.fractions(now_s)
        self._note_role(bool(fractions), now_s)
        waits = self._note_backlog(now_s)
        if self.retiring:
            return
        if waits:
            self._solicit(now_s)
        if not fractions or not waits:
            return
        usable = self._usable_slots(now_s)
        give_out(self, usable, fractions, now_s)
        for router in self.routers.values():
            if router.pending:
                self._send_batch(router)

    def has_work(self) -> bool:
        """Return whether anything waits or is in flight."""
        if self.book.grants:
            return True
        for router in self.routers.values():
            for record in router.demand.values():
                if record.entry.waiting:
                    return True
        return False

    def _share_of(self, organisation: str) -> float:
        known = self._shares.get(organisation)
        return 1.0 if known is None else known.share

    def _is_mine(self, report: Report) -> bool:
        return report.echo_incarnation == self.incarnation

    def _take_delegation(self, sender: str, report: Report, now_s: float) -> bool:
        known = self.delegations.by_router.get(sender)
        knew_part = known is not None and known.expires_at_s > now_s
        if not self._is_mine(report) or not report.members:
            self.delegations.remove(sender)
            return knew_part
        if report.echo_sent_at_s <= self.routers[sender].released_at_s:
            return knew_part
        delegation = Delegation(
            holders=min(report.members, self.candidates.holders_max),
            members=report.members,
            expires_at_s=report.echo_sent_at_s + self.options.lease_s,
            usable_at_s=now_s + report.held_for_s,
            predecessors_gone=report.predecessors_gone,
            lease_id=(report.incarnation, report.promise_changes),
        )
        self.delegations.record(sender, delegation)
        return knew_part

    def _note_role(self, acting: bool, now_s: float) -> None:
        parts = self.delegations.effective_ids(now_s)
        if not parts <= self._parts:
            self.gained_at_s = now_s
            for slots in self.slots.values():
                slots.foreign.expect(now_s)
            for slots in self.slots.values():
                slots.foreign.expect(now_s)
            self._parts = parts
        if acting and not self._acting:
            self.term += 1
        self._acting = acting

    def _note_backlog(self, now_s: float) -> bool:
        waiting = set()
        for router in self.routers.values():
            if not router.joined:
                continue
            for organisation, record in router.demand.items():
                if record.remaining:
                    waiting.add(organisation)
        self.accounts.update_backlogged(waiting, now_s)
        return bool(waiting)

    def _usable_slots(self, now_s: float) -> list[ServerSlots]:
        complete = self._hears_everyone(now_s)
        unsure = now_s - self._lost_at_s < RESTART_MEMORY_S
        members = self.candidates.holders(self.shard.name)
        unsure = unsure or any(self.candidates.is_gone(name) for name in members)
        usable = []
        for slots in self.slots.values():
            known = slots.may_grant(self.gained_at_s, complete, now_s)
            if complete and not unsure:
                slots.foreign.clear()
                usable.append(slots)
                continue
            if known:
                usable.append(slots)
        return usable

    def _hears_everyone(self, now_s: float) -> bool:
        """Return whether every living router reports its work here.

        In a fleet with more routers than holders, some may report elsewhere unseen.
        """
        holders = self.candidates.holders(self.shard.name)
        if len(holders) < len(self.candidates.membership.members):
            return False
        return self.delegations.is_complete(now_s)

    def _solicit(self, now_s: float) -> None:
        if now_s - self._solicited_at_s < self.options.lease_s / 6:
            return
        missing = self.delegations.missing(now_s + self.options.lease_s / 2)
        if not missing:
            return
        self._solicited_at_s = now_s
        for name in missing:
            router = self.routers.setdefault(name, RouterRecord(name))
            self._send_batch(router)

    def _send_batch(self, router: RouterRecord, *, released: bool = False) -> None:
        now_s = self.clock()
        seq = next(self._seqs)
        for grant in router.pending:
            router.grants[grant.grant_id].seq = seq
        ramps = [slots.state() for slots in self.slots.values() if slots.ramp.completed]
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
        """Return how many members a router may believe in, or 0."""
        holders = self.candidates.holders(self.shard.name)
        members = len(self.candidates.membership.members)
        if router not in holders:
            return 0
        if self.candidates.membership.is_confirmed():
            return members
        seen = [members]
        heard = 0
        for record in self.routers.values():
            recent = now_s - record.received_at_s < self.options.lease_s
            if recent and record.name in holders:
                heard += 1
                seen.append(record.members)
        return max(seen) if 2 * heard > len(holders) else 0

    def _revoke_unused(self, server: str) -> None:
        now_s = self.clock()
        for grant in self.book.grants.values():
            if grant.server == server and grant.may_begin(now_s):
                self.routers[grant.router].revoked.append(grant.grant_id)

    def _is_lost(self, router: RouterRecord, now_s: float) -> bool:
        """Return whether a router's grants need not be counted one by one."""
        if self.candidates.is_gone(router.name):
            return True
        if router.name not in self.candidates.membership.members:
            return True
        if any(slots.reports_load is False for slots in self.slots.values()):
            return False
        silent_s = 2 * self.options.lease_s + self.options.load_lag_s
        return bool(router.grants) and now_s - router.received_at_s > silent_s

    def _end_router(
        self, router: RouterRecord, now_s: float, *, has_ended: bool
    ) -> None:
        self._lost_at_s = now_s
        self.delegations.remove(router.name)
        for grant in self.book.end_router(router, now_s, has_ended=has_ended):
            slots = self.slots.get(grant.server)
            if slots is not None and slots.reports_load:
                slots.foreign.add(1, now_s)
        for _, account in self.accounts.items():
            account.elsewhere_cost.pop(router.name, None)

    def _finish_retirement(self, now_s: float) -> None:
        if any(grant.may_begin(now_s) for grant in self.book.grants.values()):
            return
        self.retiring = self.draining
        for name in list(self.delegations.by_router):
            self.delegations.remove(name)
            self.routers[name].released_at_s = now_s
            self._send_batch(self.routers[name], released=True)
