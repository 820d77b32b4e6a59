"""Gives free slots to waiting organisations in the fair order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from teaseldyke.capacity import Level

from .records import RouterRecord
from .slots import ServerSlots

if TYPE_CHECKING:
    from .dispatcher import Dispatcher


@attrs.frozen
class Choice:
    """The next grant."""

    organisation: str
    router: RouterRecord
    slots: ServerSlots


def give_out(
    dispatcher: Dispatcher,
    usable: list[ServerSlots],
    levels: list[Level],
    now_s: float,
) -> None:
    """Grant until no slot is free or nothing waits."""
    free = {slots.server: slots.free(levels, now_s) for slots in usable}
    open_slots = [slots for slots in usable if free[slots.server] > 0]
    while open_slots:
        choice = _next_choice(dispatcher, open_slots, free)
        if choice is None:
            return
        slots = choice.slots
        until_s = slots.next_until_s(levels, now_s)
        dispatcher.book.give(choice.router, choice.organisation, slots, until_s, now_s)
        free[slots.server] -= 1
        if free[slots.server] <= 0:
            open_slots.remove(slots)


def _next_choice(
    dispatcher: Dispatcher, open_slots: list[ServerSlots], free: dict[str, int]
) -> Choice | None:
    tags = []
    for organisation, account in dispatcher.accounts.items():
        if account.backlogged:
            tags.append((account.start_tag, organisation))
    tags.sort()
    for _, organisation in tags:
        for router in _by_age(dispatcher, organisation):
            slots = _freest(router, organisation, open_slots, free)
            if slots is not None:
                return Choice(organisation, router, slots)
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
