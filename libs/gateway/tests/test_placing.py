"""Queue scans of an instance whose requests find no capacity."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs
import pytest
import trio

from teaseldyke.gateway import FleetBounds
from teaseldyke.gateway import placing as module
from teaseldyke.gateway.placing import Placer
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import (
    Choice,
    CrashEvidence,
    FairShares,
    Load,
    Work,
    rendezvous_weight,
)
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    CallerBounds,
    RoutingTable,
    ServiceDescription,
)

QUEUED_REQUESTS = 40
CHOICE_S = 0.0005  # time to choose a server, at a slow instance
OBSERVED_S = 0.5


@attrs.define
class OneInstance:
    instances: int = 1
    totals_age_s: float = 0.0
    lag_s: float = 0.0

    def rank(self, key: str) -> int:
        return 0


async def test_queue_scans_leave_processor_time_for_serving(
    view: FleetView, table: RoutingTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    spent_s = 0.0

    def choose_slowly(*_args: object, **_fields: object) -> Choice:
        nonlocal spent_s
        time.sleep(CHOICE_S)
        spent_s += CHOICE_S
        return Choice(None, reason="servers full")

    monkeypatch.setattr(module, "choose_plain", choose_slowly)
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placer = Placer(view, FairShares(), OneInstance(), bounds, "a", CrashEvidence())
    now_s = boot_time_s()
    work = Work("o", now_s, now_s + 9.0, now_s + 9.0, now_s + 9.0)

    async def submit() -> None:
        await placer.place(table.services["app"], work, frozenset())

    async with trio.open_nursery() as nursery:
        for _ in range(QUEUED_REQUESTS):
            nursery.start_soon(submit)
        await trio.sleep(0.1)
        nursery.start_soon(placer.run)
        spent_s, started_at_s = 0.0, boot_time_s()
        while boot_time_s() - started_at_s < OBSERVED_S:
            placer.wake()
            await trio.sleep(0.001)
        elapsed_s = boot_time_s() - started_at_s
        nursery.cancel_scope.cancel()
    assert 0.0 < spent_s < 0.4 * elapsed_s


async def test_requests_for_a_full_engine_do_not_block_others(
    make_server: Callable[..., AnnouncedServer],
) -> None:
    """More requests than a scan may fail to place need one engine; the last another."""
    service = ServiceDescription("llm", 600, 3.0, 20.0, slots=12, memory_tokens=10**6)
    table = RoutingTable(1, (), (service,), (), CallerBounds(tokens_per_s=10**6))
    view = FleetView(lambda: None)
    view.set_store_available(True, "test")
    view.apply_routing(table)
    view.apply_servers(
        [make_server(name, service="llm", slots=12) for name in ("e-1", "e-2")]
    )
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placer = Placer(view, FairShares(), OneInstance(), bounds, "a", CrashEvidence())
    now_s = boot_time_s()

    def work(prefix_key: str, on_time_s: float) -> Work:
        parts = ((prefix_key, 5000), ("own", 100))
        on_time_until_s = now_s + on_time_s
        last_s = now_s + 9.0
        return Work("o", now_s, on_time_until_s, last_s, last_s, 5100, 10, parts)

    prefix_keys: dict[str, str] = {}
    for number in range(100):
        engine = affinity_engine(view, f"subject-{number}")
        prefix_keys.setdefault(engine, f"subject-{number}")
    full = view.state("e-1")
    assert full is not None
    full.peer_load = Load(running=12)
    placed: list[str] = []

    async def submit(prefix_key: str, on_time_s: float) -> None:
        reservation = await placer.place(
            service, work(prefix_key, on_time_s), frozenset()
        )
        placed.append(reservation.state.server.id)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(placer.run)
        for _ in range(QUEUED_REQUESTS):
            nursery.start_soon(submit, prefix_keys["e-1"], 1.0)
        await trio.sleep(0.05)
        nursery.start_soon(submit, prefix_keys["e-2"], 2.0)
        with trio.move_on_after(OBSERVED_S):
            while not placed:
                placer.wake()
                await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert placed == ["e-2"]


def affinity_engine(view: FleetView, prefix_key: str) -> str:
    """Return the engine to which all instances send requests of a shared prefix."""
    names = [state.server.id for state in view.states_of("llm")]
    return max(names, key=lambda name: rendezvous_weight(prefix_key, name))
