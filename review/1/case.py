"""A key that was taken away is accepted for seconds after a short outage."""

from __future__ import annotations

import time
from pathlib import Path

import trio
from lab import TROUBLE, Lab, configuration, route, run_case, service

OUTAGE_AFTER_S = 8.0  # from the last change of the configuration
OUTAGE_S = 4.5
STABLE_WINDOW_S = 3.0  # stableWindowMs
CONFIG_APPLY_S = 2.0  # configApplyMs
MARGIN_S = 0.5
WATCHED_S = 12.0  # after the key was taken away

KEY = {"Authorization": "Token key-parish"}


def configured(version: int, keys: list[str]) -> dict[str, object]:
    """Return a version of the configuration in which parish has these keys."""
    return configuration(
        version,
        [route("grant", "non_idempotent", "app", public=False)],
        [service("app")],
        [
            {"name": "parish", "apiKeys": keys, "priority": 1},
            {"name": "council", "apiKeys": ["key-council"], "priority": 1},
        ],
    )


async def case(lab: Lab) -> bool:
    """Return whether no request with the key ran once it was long taken away."""
    store, record = lab.store, lab.record
    await lab.add_engine("i-1", "app")
    await lab.add_engine("i-2", "app")
    store.put("op", "config", configured(1, ["key-parish"]))
    gateways = [lab.add_gateway(f"front-{i}") for i in range(2)]
    for gateway in gateways:
        await lab.wait_ready(gateway)
    # The change ends the long polls of all instances; each begins a new one.
    store.put("op", "config", configured(3, ["key-parish"]))
    record.note("written configuration 3")
    await trio.sleep(OUTAGE_AFTER_S)
    if TROUBLE:
        store.go_down()
        record.note("store   gives no response")
    await trio.sleep(OUTAGE_S)
    store.come_back()
    record.note("store   answers again")
    await trio.sleep(STABLE_WINDOW_S + MARGIN_S)
    for gateway in gateways:
        await lab.request(gateway, "/grant/before", KEY)
    store.put("op", "config", configured(8, []))
    acknowledged_s = time.monotonic()
    record.note("written configuration 8, without the key of parish")
    late_runs = 0
    while time.monotonic() < acknowledged_s + WATCHED_S:
        for gateway in gateways:
            sent_s = time.monotonic()
            runs = sum(len(engine.runs) for engine in lab.engines.values())
            answer = await lab.request(gateway, "/grant/after", KEY)
            has_run = sum(len(engine.runs) for engine in lab.engines.values()) > runs
            if sent_s > acknowledged_s + CONFIG_APPLY_S and has_run:
                late_runs += 1
                record.note(
                    f"BROKEN  {sent_s - acknowledged_s:.2f} s after the key was taken"
                    f" away a request with it has run: {answer.status}"
                )
        await trio.sleep(0.25)
    record.note(f"requests that ran with the dropped key: {late_runs}")
    return late_runs == 0


run_case(str(Path(__file__).parent), case)
