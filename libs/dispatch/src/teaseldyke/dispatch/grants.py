"""Table of the outstanding grants of a dispatcher."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from teaseldyke.fairness import Accounts

from .messages import Grant, Holding, grant_id_of
from .records import OutstandingGrant, RouterRecord
from .slots import ServerSlots


@attrs.define(eq=False)
class GrantTable:
    """Every grant that may be in use, with its charge and its slot.

    Parameters
    ----------
    incarnation : int
        Of the dispatcher; makes grant identifiers unique in the fleet.
    accounts : Accounts
        Charged with the estimated cost of each grant.
    slots : dict of str to ServerSlots
        Slots that the grants occupy, by backend server.
    numbers : iterator of int
        Numbers for new grants, unique in this process.
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
        """Issue a grant, to be sent with the next batch to the router."""
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
        """Update the grants that a router holds from its report.

        A grant that the router has received but does not list is finished or
        returned. A holding that is unknown here was issued by another dispatcher and
        occupies a slot as well; an unknown number in ``running`` makes the next batch
        ask for the full list.
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
            self._record_running(known, now_s)
        for holding in holdings:
            listed.add(holding.grant_id)
            grant = router.grants.get(holding.grant_id)
            if grant is None:
                grant = self._add_reported(router, holding, now_s)
            if holding.running:
                self._record_running(grant, now_s)
        for grant in list(router.grants.values()):
            if grant.grant_id not in listed and grant.seq <= seen_seq:
                self._drop(router, grant, now_s)

    def drop_router(
        self, router: RouterRecord, now_s: float, *, process_ended: bool
    ) -> list[OutstandingGrant]:
        """Remove all grants of a lost router and return them."""
        ended = list(router.grants.values())
        for grant in ended:
            self._drop(router, grant, now_s)
        router.reset(process_ended=process_ended)
        return ended

    def _add_reported(
        self, router: RouterRecord, holding: Holding, now_s: float
    ) -> OutstandingGrant:
        grant = OutstandingGrant(
            grant_id=holding.grant_id,
            router=router.name,
            organisation=holding.organisation,
            server=holding.server,
            estimate_cost=holding.estimate_cost,
            seq=0,
            expires_at_s=now_s,
        )
        router.grants[grant.grant_id] = grant
        self.grants[grant.grant_id] = grant
        self.accounts[grant.organisation].outstanding_cost += grant.estimate_cost
        if grant.server in self.slots:
            self.slots[grant.server].granted += 1
        return grant

    def _drop(
        self, router: RouterRecord, grant: OutstandingGrant, now_s: float
    ) -> None:
        del router.grants[grant.grant_id]
        del self.grants[grant.grant_id]
        self.accounts.end_grant(grant.organisation, grant.estimate_cost)
        if grant.server in self.slots:
            self.slots[grant.server].granted -= 1
        if grant.running:
            self._change_running(grant, -1, now_s)

    def _record_running(self, grant: OutstandingGrant, now_s: float) -> None:
        if not grant.running:
            grant.running = True
            self._change_running(grant, 1, now_s)

    def _change_running(
        self, grant: OutstandingGrant, change: int, now_s: float
    ) -> None:
        if grant.server in self.slots:
            self.slots[grant.server].change_running(change, now_s)
