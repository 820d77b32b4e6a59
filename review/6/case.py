"""A withdrawn key is in use seconds after a store that was away answers again."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import trio
from harness.fleet import (
    TROUBLE,
    Fleet,
    GatewayProcess,
    Record,
    configuration,
    route,
    run_case,
    running_fleet,
    send,
)

from teaseldyke.http import Request
from tests.platform.store_standin import StoreStandin

# fvmgs-ionomap: machines, bounds.
GATEWAYS = 7
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
SILENT_S = 0.5  # of the store; `kinds` has 5 s
STEADY_S = 8.0  # from the fleet's start, without any change
# A round of polls: one of each gateway. The silence begins after the last of them.
ROUND_S = 1.5
AFTER_POLLS_S = 0.2
ROUND_WAIT_S = 30.0  # for a round; without one, the silence begins at any moment
WATCHED_S = 12.0
INTERVAL_S = 0.25  # between two requests at a gateway
MARGIN_S = 0.25  # for the way of a request to the gateway
KEPT, WITHDRAWN = "kept-key", "withdrawn-key"


class Store(StoreStandin):
    """A store that tells when the operator's table is polled.

    While it is silent, the responses that are due are lost, and their connections
    deliver nothing further.
    """

    def __init__(self) -> None:
        super().__init__()
        self.polls_s: list[float] = []
        self.lost: set[Request] = set()

    async def _handle(self, request: Request) -> None:
        if request.path == "/-/rows-feed" and request.query["table"] == "op":
            self.polls_s.append(trio.current_time())
        await super()._handle(request)

    def has_round_begun(self) -> bool:
        """Return whether all gateways have begun a poll a moment ago."""
        now_s = trio.current_time()
        recent = [began_s for began_s in self.polls_s if now_s - began_s <= ROUND_S]
        return len(recent) >= GATEWAYS and now_s - recent[-1] >= AFTER_POLLS_S

    async def _answer(self, request: Request, rows: list[dict[str, Any]]) -> None:
        if self.silent:
            self.lost.add(request)
        if request in self.lost:
            await trio.sleep_forever()
        await super()._answer(request, rows)


def config_of(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration with one tenant."""
    tenants = [{"name": "parish", "apiKeys": keys}]
    routes = [route("lookup", "idempotent", "app", public=False)]
    return configuration(version, routes, tenants=tenants)


async def case(record: Record) -> bool:
    """Return whether the withdrawn key was refused in time."""
    store = Store()
    runs: list[tuple[float, str]] = []

    async def watch(gateway: GatewayProcess, key: str) -> None:
        number = 0
        until_s = record.now_s + WATCHED_S
        while record.now_s < until_s:
            number += 1
            name = f"{gateway.name}-{key}-{number}"
            sent_s = record.now_s
            answer = await send(
                gateway.callers,
                "/lookup/a",
                name,
                method="GET",
                headers={"Authorization": f"Token {key}"},
            )
            record.note(f"sent at {sent_s:.3f} {name}: {answer.status}")
            if answer.status == 200:
                runs.append((sent_s, name))
            await trio.sleep(INTERVAL_S)

    async with running_fleet(
        store, config_of(2, [KEPT, WITHDRAWN]), engines=3, gateways=GATEWAYS
    ) as fleet:
        record.note(f"{GATEWAYS} gateways are ready")
        await trio.sleep(STEADY_S)
        with trio.move_on_after(ROUND_WAIT_S):
            while not store.has_round_begun():
                await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            for gateway in fleet.gateways:
                for key in (KEPT, WITHDRAWN):
                    nursery.start_soon(watch, gateway, key)
            acked_s = await withdraw_key(store, record)
            bound_s = acked_s + CONFIG_APPLY_S
            bound_s += MARGIN_S
            record.note(f"from {bound_s:.3f} on, the withdrawn key must be refused")
        ran = note_arrivals(record, fleet)
    late = [run for run in runs if WITHDRAWN in run[1] and run[0] > bound_s]
    served = [run for run in runs if KEPT in run[1]]
    for sent_s, name in late:
        seen = "ran at a server" if name in ran else "was answered 200"
        record.note(f"broken: {name}, sent at {sent_s:.3f}, {seen}")
    if not served:
        raise RuntimeError("no request with the kept key was served")
    return not late


async def withdraw_key(store: Store, record: Record) -> float:
    """Change the configuration, then withdraw a key; return when that was acknowledged.

    In a disruption, the store gives no responses for a moment: neither to the
    operator's first write nor to the polls that the write ends. The operator writes
    again when the store is back. The key is withdrawn once the store has been stable
    for the whole window, so that all machines are in touch.
    """
    store.silent = TROUBLE
    await trio.sleep(SILENT_S / 2)
    store.put("op", "config", config_of(3, [KEPT, WITHDRAWN]))
    record.note("configuration 3 written" + (", no response" if TROUBLE else ""))
    await trio.sleep(SILENT_S / 2)
    store.silent = False
    store.put("op", "config", config_of(3, [KEPT, WITHDRAWN]))
    record.note("configuration 3 written again and acknowledged; store undisturbed")
    await trio.sleep(STABLE_WINDOW_S)
    store.put("op", "config", config_of(5, [KEPT]))
    record.note("configuration 5, without the key, written and acknowledged")
    return record.now_s


def note_arrivals(record: Record, fleet: Fleet) -> set[str]:
    """Record what the servers ran; return the ids."""
    ran = set()
    for engine in fleet.engines:
        for arrival in engine.arrivals:
            name = arrival.headers["x-teaseldyke-request-id"]
            ran.add(name)
            record.note(f"{engine.id} ran {name}")
    return ran


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
