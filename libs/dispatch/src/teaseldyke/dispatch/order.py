"""Assignment of free slots to backlogged organisations in fair-queueing order."""

from __future__ import annotations

from heapq import heapify, heappop, heapreplace
from typing import TYPE_CHECKING

import attrs

from teaseldyke.capacity import DelegatedFraction

from .records import RouterRecord
from .slots import ServerSlots

if TYPE_CHECKING:
    from .dispatcher import Dispatcher


@attrs.frozen
class Assignment:
    """Router and backend server of an organisation's next grant."""

    router: RouterRecord
    slots: ServerSlots


def issue_grants(
    dispatcher: Dispatcher,
    usable: list[ServerSlots],
    fractions: list[DelegatedFraction],
    now_s: float,
) -> None:
    """Issue grants until no slot is free or no request can use one."""
    free = {slots.server: slots.free(fractions, now_s) for slots in usable}
    open_slots = [slots for slots in usable if free[slots.server] > 0]
    accounts = dispatcher.accounts
    order = [(account.start_tag, name) for name, account in accounts.backlogged.items()]
    heapify(order)
    while open_slots and order:
        _, organisation = order[0]
        assignment = _next_assignment(dispatcher, organisation, open_slots, free)
        if assignment is None:
            heappop(order)
            continue
        slots = assignment.slots
        expires_at_s = slots.next_grant_expires_at_s(fractions, now_s)
        dispatcher.grant_table.issue(
            assignment.router, organisation, slots, expires_at_s, now_s
        )
        heapreplace(order, (accounts[organisation].start_tag, organisation))
        free[slots.server] -= 1
        if free[slots.server] <= 0:
            open_slots.remove(slots)


def _next_assignment(
    dispatcher: Dispatcher,
    organisation: str,
    open_slots: list[ServerSlots],
    free: dict[str, int],
) -> Assignment | None:
    for router in _routers_by_age(dispatcher, organisation):
        slots = _most_free_slots(router, organisation, open_slots, free)
        if slots is not None:
            return Assignment(router, slots)
    return None


def _routers_by_age(dispatcher: Dispatcher, organisation: str) -> list[RouterRecord]:
    by_age = []
    for router in dispatcher.routers.values():
        record = router.demand.get(organisation)
        if record is None or not record.remaining or not router.joined:
            continue
        by_age.append((record.oldest_at_s, router.name, router))
    by_age.sort(key=lambda item: item[:2])
    return [router for _, _, router in by_age]


def _most_free_slots(
    router: RouterRecord,
    organisation: str,
    open_slots: list[ServerSlots],
    free: dict[str, int],
) -> ServerSlots | None:
    avoid = router.demand[organisation].entry.avoid
    best = None
    for slots in open_slots:
        if slots.server in avoid:
            continue
        if best is None or free[slots.server] > free[best.server]:
            best = slots
    return best
