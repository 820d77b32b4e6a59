"""Gives free slots to waiting organisations in the fair order."""

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
class Choice:
    """Where the next grant of an organisation goes."""

    router: RouterRecord
    slots: ServerSlots


def give_out(
    dispatcher: Dispatcher,
    usable: list[ServerSlots],
    fractions: list[DelegatedFraction],
    now_s: float,
) -> None:
    """Grant until no slot is free or nothing waits."""
    free = {slots.server: slots.free(fractions, now_s) for slots in usable}
    open_slots = [slots for slots in usable if free[slots.server] > 0]
    accounts = dispatcher.accounts
    order = [(account.start_tag, name) for name, account in accounts.backlogged.items()]
    heapify(order)
    while open_slots and order:
        _, organisation = order[0]
        choice = _choose(dispatcher, organisation, open_slots, free)
        if choice is None:
            heappop(order)
            continue
        slots = choice.slots
        until_s = slots.next_until_s(fractions, now_s)
        dispatcher.book.give(choice.router, organisation, slots, until_s, now_s)
        heapreplace(order, (accounts[organisation].start_tag, organisation))
        free[slots.server] -= 1
        if free[slots.server] <= 0:
            open_slots.remove(slots)


def _choose(
    dispatcher: Dispatcher,
    organisation: str,
    open_slots: list[ServerSlots],
    free: dict[str, int],
) -> Choice | None:
    for router in _by_age(dispatcher, organisation):
        slots = _freest(router, organisation, open_slots, free)
        if slots is not None:
            return Choice(router, slots)
    return None


def _by_age(dispatcher: Dispatcher, organisation: str) -> list[RouterRecord]:
    waiting = []
    for router in dispatcher.routers.values():
        record = router.demand.get(organisation)
        if record is None or not record.remaining or not router.joined:
            continue
        waiting.append((record.oldest_at_s, router.name, router))
    waiting.sort(key=lambda item: item[:2])
    return [router for _, _, router in waiting]


def _freest(
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
