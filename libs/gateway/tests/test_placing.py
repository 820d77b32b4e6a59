"""Looks at what waits, of an instance whose requests find no room."""

from __future__ import annotations

import time

import attrs
import pytest
import trio

from teaseldyke.gateway import FleetBounds
from teaseldyke.gateway import placing as module
from teaseldyke.gateway.beliefs import FleetBeliefs
from teaseldyke.gateway.placing import Placing
from teaseldyke.placement import Choice, Standings, Work
from teaseldyke.timers import boot_time_s
from teaseldyke.types import RoutingTable

WAITING = 40
CHOICE_S = 0.0005  # of a slow instance
WATCHED_S = 0.5


@attrs.define
class OneInstance:
    instances: int = 1
    totals_age_s: float = 0.0

    def rank(self, key: str) -> int:
        return 0


async def test_looks_at_what_waits_leave_the_processor_to_the_rest(
    beliefs: FleetBeliefs, table: RoutingTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    spent_s = 0.0

    def choose_slowly(*_args: object, **_fields: object) -> Choice:
        nonlocal spent_s
        time.sleep(CHOICE_S)
        spent_s += CHOICE_S
        return Choice(None, reason="servers full")

    monkeypatch.setattr(module, "choose_plain", choose_slowly)
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placing = Placing(beliefs, Standings(), OneInstance(), bounds, "a")
    now_s = boot_time_s()
    work = Work("o", now_s, now_s + 9.0, now_s + 9.0, now_s + 9.0)

    async def wait() -> None:
        await placing.place(table.services["app"], work, frozenset())

    async with trio.open_nursery() as nursery:
        for _ in range(WAITING):
            nursery.start_soon(wait)
        await trio.sleep(0.1)
        nursery.start_soon(placing.run)
        spent_s, started_at_s = 0.0, boot_time_s()
        while boot_time_s() - started_at_s < WATCHED_S:
            placing.wake()
            await trio.sleep(0.001)
        elapsed_s = boot_time_s() - started_at_s
        nursery.cancel_scope.cancel()
    assert 0.0 < spent_s < 0.4 * elapsed_s
