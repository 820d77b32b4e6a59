"""Book of the grants that a dispatcher counts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from teaseldyke.fairness import Accounts

from .messages import Grant, Holding, grant_id_of
from .records import LiveGrant, RouterRecord
from .slots import ServerSlots


@attrs.define(eq=False)
class GrantBook:
    """Every grant that may be in use, with what it charges and occupies.

    Parameters
    ----------
    incarnation : int
        Makes the identifiers unique over the fleet.
    accounts : Accounts
        Charged with the estimates.
    slots : dict of str to ServerSlots
        Occupied by the grants.
    numbers : iterator of int
        Numbers that no other grant of this process has.
    """

    incarnation: int
    accounts: Accounts
    slots: dict[str, ServerSlots]
    numbers: Iterator[int]
    grants: dict[int, LiveGrant] = attrs.field(factory=dict)

    def give(
        self,
        router: RouterRecord,
        organisation: str,
        slots: ServerSlots,
        until_s: float,
        now_s: float,
    ) -> None:
        """Add a grant that the next batch to the router carries."""
        record = router.demand[organisation]
        estimate_cost = record.entry.estimate_cost
        virtual_time = self.accounts.grant(organisation, estimate_cost)
        grant = Grant(
            grant_id=grant_id_of(self.incarnation, next(self.numbers)),
            organisation=organisation,
            server=slots.server,
            estimate_cost=estimate_cost,
            virtual_time=virtual_time,
            ttl_s=until_s - router.received_at_s,
        )
        live = LiveGrant(
            grant_id=grant.grant_id,
            router=router.name,
            organisation=organisation,
            server=slots.server,
            estimate_cost=estimate_cost,
            seq=0,
            expires_at_s=until_s,
        )
        record.remaining -= 1
        router.pending.append(grant)
        router.grants[grant.grant_id] = live
        self.grants[grant.grant_id] = live
        slots.granted += 1

    def take_holdings(
        self,
        router: RouterRecord,
        running: Iterable[int],
        holdings: Iterable[Holding],
        seen_seq: int,
        now_s: float,
    ) -> None:
        """Take in which grants a router still has.

        A grant that the router must have seen and does not list is finished or
        returned; one that it lists without this dispatcher's knowledge was given
        by another dispatcher and counts as well.
        """
        listed = set()
        router.list_all = False
        for number in running:
            grant_id = grant_id_of(self.incarnation, number)
            listed.add(grant_id)
            known = router.grants.get(grant_id)
            if known is None:
                router.list_all = True
                continue
            self._note_running(known, now_s)
        for holding in holdings:
            listed.add(holding.grant_id)
            live = router.grants.get(holding.grant_id)
            if live is None:
                live = self._adopt(router, holding, now_s)
            if holding.running:
                self._note_running(live, now_s)
        for live in list(router.grants.values()):
            if live.grant_id not in listed and live.seq <= seen_seq:
                self._drop(router, live, now_s)

    def end_router(
        self, router: RouterRecord, now_s: float, *, has_ended: bool
    ) -> list[LiveGrant]:
        """Drop all grants of a router that is lost and return them."""
        ended = list(router.grants.values())
        for live in ended:
            self._drop(router, live, now_s)
        router.restart(has_ended=has_ended)
        return ended

    def _adopt(self, router: RouterRecord, holding: Holding, now_s: float) -> LiveGrant:
        live = LiveGrant(
            grant_id=holding.grant_id,
            router=router.name,
            organisation=holding.organisation,
            server=holding.server,
            estimate_cost=holding.estimate_cost,
            seq=0,
            expires_at_s=now_s,
        )
        router.grants[live.grant_id] = live
        self.grants[live.grant_id] = live
        self.accounts[live.organisation].outstanding_cost += live.estimate_cost
        if live.server in self.slots:
            self.slots[live.server].granted += 1
        return live

    def _drop(self, router: RouterRecord, live: LiveGrant, now_s: float) -> None:
        del router.grants[live.grant_id]
        del self.grants[live.grant_id]
        self.accounts.end_grant(live.organisation, live.estimate_cost)
        if live.server in self.slots:
            self.slots[live.server].granted -= 1
        if live.running:
            self._change_running(live, -1, now_s)

    def _note_running(self, live: LiveGrant, now_s: float) -> None:
        if not live.running:
            live.running = True
            self._change_running(live, 1, now_s)

    def _change_running(self, live: LiveGrant, change: int, now_s: float) -> None:
        if live.server in self.slots:
            self.slots[live.server].change_running(change, now_s)
