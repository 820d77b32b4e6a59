"""An engine that has left is used again after a short cut between gateway and store."""

from __future__ import annotations

import time
from pathlib import Path

import trio
from lab import (
    TROUBLE,
    Engine,
    GatewayProcess,
    Lab,
    configuration,
    route,
    run_case,
    service,
)
from link import Link

CUT_S = 1.5
CHANGE_AFTER_S = 0.05  # from the beginning of the cut
REMOVAL_AFTER_S = 0.2
STABLE_WINDOW_S = 3.0  # stableWindowMs
DRAIN_S = 2.0  # drainMs
MARGIN_S = 0.5
WATCHED_S = 6.0
GRANTS_AT_THE_END = 8


async def case(lab: Lab) -> bool:
    """Return whether the engine that left got no request after its time."""
    store, record = lab.store, lab.record
    leaving = await lab.add_engine("i-1", "app")
    await lab.add_engine("i-2", "app")
    routes = [route("grant", "non_idempotent", "app")]
    store.put("op", "config", configuration(1, routes, [service("app")], []))
    link = Link(store.port)
    await lab.nursery.start(link.run)
    cut_off = lab.add_gateway("front-1", store_port=link.port)
    other = lab.add_gateway("front-2")
    for gateway in (cut_off, other):
        await lab.wait_ready(gateway)
    await trio.sleep(1.0)
    if TROUBLE:
        link.cut()
        record.note("cut     front-1 from the store")
    await trio.sleep(CHANGE_AFTER_S)
    entry = leaving.entry("app", sequence=5, coldRemainingMs=400)
    store.put("servers", "i-1", entry)
    record.note("written i-1 is cold again")
    await trio.sleep(REMOVAL_AFTER_S - CHANGE_AFTER_S)
    store.remove("servers", "i-1")
    removed_s = time.monotonic()
    record.note("removed i-1 leaves; it serves on for a while")
    await trio.sleep(CUT_S - REMOVAL_AFTER_S)
    link.heal()
    record.note("healed  front-1 reaches the store")
    await trio.sleep(STABLE_WINDOW_S + MARGIN_S)
    assert time.monotonic() > removed_s + DRAIN_S
    late = 0
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        for gateway in (cut_off, other):
            request_id = lab.next_id()
            sent_s = time.monotonic() - removed_s
            await lab.request(gateway, "/grant/a", request_id=request_id)
            if any(ran == request_id for _, ran in leaving.runs):
                late += 1
                record.note(
                    f"BROKEN  {sent_s:.2f} s after i-1 was gone a request"
                    f" reached it from {gateway.name}"
                )
        await trio.sleep(0.2)
    record.note(f"requests that reached the engine that had left: {late}")
    await exit_under_work(lab, cut_off, leaving)
    return late == 0


async def exit_under_work(lab: Lab, gateway: GatewayProcess, leaving: Engine) -> None:
    """Let the engine exit, and record what becomes of grants sent just before."""
    leaving.work_s = 0.3
    statuses: list[int] = []

    async def send() -> None:
        statuses.append((await lab.request(gateway, "/grant/last")).status)

    async with trio.open_nursery() as nursery:
        for _ in range(GRANTS_AT_THE_END):
            nursery.start_soon(send)
        await trio.sleep(0.1)
        leaving.crash()
        lab.record.note("exited  i-1")
    lab.record.note(f"grants sent just before its exit were answered {statuses}")


run_case(str(Path(__file__).parent), case)
