"""Book of the grants that a dispatcher counts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from teaseldyke.fairness import Accounts

from .messages import Grant, Holding, grant_id_of
from .records import OutstandingGrant, RouterRecord
from .slots import ServerSlots


@attrs.define(eq=False)
class GrantTable:
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
    grants: dict[int, OutstandingGrant] = attrs.field(factory=dict)

    def issue(
        self,
        router: RouterRecord,
        organisation: str,
        slots: ServerSlots,
        expires_at_s: float,
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
            ttl_s=expires_at_s - router.received_at_s,
        )
        outstanding = OutstandingGrant(
            grant_id=grant.grant_id,
            router=router.name,
            organisation=organisation,
            server=slots.server,
            estimate_cost=estimate_cost,
            seq=0,
            expires_at_s=expires_at_s,
        )
        record.remaining -= 1
        router.pending.append(grant)
        router.grants[grant.grant_id] = outstanding
        self.grants[grant.grant_id] = outstanding
        slots.granted += 1

    def reconcile_holdings(
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
            outstanding = router.grants.get(holding.grant_id)
            if outstanding is None:
                outstanding = self._add_reported(router, holding, now_s)
            if holding.running:
                self._note_running(outstanding, now_s)
        for outstanding in list(router.grants.values()):
            if outstanding.grant_id not in listed and outstanding.seq <= seen_seq:
                self._drop(router, outstanding, now_s)

    def drop_router(
        self, router: RouterRecord, now_s: float, *, process_ended: bool
    ) -> list[OutstandingGrant]:
        """Drop all grants of a router that is lost and return them."""
        ended = list(router.grants.values())
        for outstanding in ended:
            self._drop(router, outstanding, now_s)
        router.reset(process_ended=process_ended)
        return ended

    def _add_reported(
        self, router: RouterRecord, holding: Holding, now_s: float
    ) -> OutstandingGrant:
        outstanding = OutstandingGrant(
            grant_id=holding.grant_id,
            router=router.name,
            organisation=holding.organisation,
            server=holding.server,
            estimate_cost=holding.estimate_cost,
            seq=0,
            expires_at_s=now_s,
        )
        router.grants[outstanding.grant_id] = outstanding
        self.grants[outstanding.grant_id] = outstanding
        self.accounts[
            outstanding.organisation
        ].outstanding_cost += outstanding.estimate_cost
        if outstanding.server in self.slots:
            self.slots[outstanding.server].granted += 1
        return outstanding

    def _drop(
        self, router: RouterRecord, outstanding: OutstandingGrant, now_s: float
    ) -> None:
        del router.grants[outstanding.grant_id]
        del self.grants[outstanding.grant_id]
        self.accounts.end_grant(outstanding.organisation, outstanding.estimate_cost)
        if outstanding.server in self.slots:
            self.slots[outstanding.server].granted -= 1
        if outstanding.running:
            self._change_running(outstanding, -1, now_s)

    def _note_running(self, outstanding: OutstandingGrant, now_s: float) -> None:
        if not outstanding.running:
            outstanding.running = True
            self._change_running(outstanding, 1, now_s)

    def _change_running(
        self, outstanding: OutstandingGrant, change: int, now_s: float
    ) -> None:
        if outstanding.server in self.slots:
            self.slots[outstanding.server].change_running(change, now_s)
