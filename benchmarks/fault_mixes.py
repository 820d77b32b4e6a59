"""Seeded mixes of faults, one kind at a time or two together."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from random import Random

import attrs
import trio

from benchmarks.outcome_fleet import PLATFORM, RelayedFleet
from tests.processes.fleet import FleetProcess

FREEZE_S = 13.0  # exceeds an attempt's lease and a reader's margin
RELAY_MODES = ("cut", "hold", "half-to-caller", "half-to-target")
SPOILED_ANSWERS: tuple[dict[str, object], ...] = (
    {"crossed": True},
    {"truncate": True},
    {"lose": True},
    {"extra_bytes": 7},
    {"late_s": 1.5},
)

Fault = Callable[[RelayedFleet, Random], Awaitable[None]]


async def kill_routers(fleet: RelayedFleet, random: Random) -> None:
    """Kill and restart one router after another."""
    while True:
        await trio.sleep(random.uniform(0.5, 1.5))
        router = random.choice(fleet.routers)
        router.kill()
        await trio.sleep(random.uniform(0.1, 0.5))
        with trio.CancelScope(shield=True):
            await fleet.restart(router)


async def freeze_routers(fleet: RelayedFleet, random: Random) -> None:
    """Freeze one router beyond any lease, and another one repeatedly for up to 1 s."""
    await trio.sleep(random.uniform(0.5, 1.5))
    long_frozen, *others = random.sample(fleet.routers, len(fleet.routers))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_freeze_for, long_frozen, FREEZE_S)
        while True:
            await _freeze_for(others[0], random.uniform(0.1, 1.0))
            await trio.sleep(random.uniform(0.5, 1.5))


async def _freeze_for(router: FleetProcess, duration_s: float) -> None:
    router.freeze()
    try:
        await trio.sleep(duration_s)
    finally:
        router.unfreeze()


async def cut_backends(fleet: RelayedFleet, random: Random) -> None:
    """Cut, hold or half-close the connections to one backend server at a time."""
    while True:
        await trio.sleep(random.uniform(0.2, 0.8))
        name = random.choice(fleet.services).name
        await _disturb_route(fleet, name, random, random.uniform(0.05, 0.6))


async def cut_platform(fleet: RelayedFleet, random: Random) -> None:
    """Cut, hold or half-close the connections to the platform."""
    while True:
        await trio.sleep(random.uniform(0.5, 1.5))
        await _disturb_route(fleet, PLATFORM, random, random.uniform(0.1, 1.5))


async def _disturb_route(
    fleet: RelayedFleet, route: str, random: Random, duration_s: float
) -> None:
    await fleet.order(route, random.choice(RELAY_MODES))
    try:
        await trio.sleep(duration_s)
    finally:
        with trio.CancelScope(shield=True):
            await fleet.order(route, "cut")
            await fleet.order(route, "pass")


async def store_outages(fleet: RelayedFleet, random: Random) -> None:
    """Make the platform's services unavailable or slow for up to 2 s at a time."""
    while True:
        await trio.sleep(random.uniform(0.5, 2.0))
        if random.random() < 0.7:
            await fleet.set_faults(down=True)
        else:
            await fleet.set_faults(slow_s=random.uniform(0.2, 2.0))
        await trio.sleep(random.uniform(0.5, 2.0))
        await fleet.set_faults()


async def lost_store_answers(fleet: RelayedFleet, random: Random) -> None:
    """Lose some of the platform's answers to writes that took effect."""
    await fleet.set_faults(lose_answers=0.3, seed=random.randrange(1_000_000))
    await trio.sleep_forever()


async def spoiled_answers(fleet: RelayedFleet, random: Random) -> None:
    """Cross, truncate, lose, lengthen or delay answers of backend servers."""
    while True:
        await trio.sleep(random.uniform(0.02, 0.2))
        faults = random.choice(SPOILED_ANSWERS)
        body = json.dumps({**faults, "requests": random.randint(1, 3)}).encode()
        server = random.choice(fleet.services)
        await fleet.call(server, "PUT", "/standin/faults", body)


async def failing_pool(fleet: RelayedFleet, random: Random) -> None:
    """Have every backend server execute requests and answer late or not at all."""
    while True:
        for faults in ({"late_s": 0.8, "requests": 2}, {"lose": True, "requests": 4}):
            body = json.dumps(faults).encode()
            for server in fleet.services:
                await fleet.call(server, "PUT", "/standin/faults", body)
            await trio.sleep(random.uniform(0.2, 0.4))


@attrs.frozen
class Mix:
    """Faults that are injected at the same time.

    Parameters
    ----------
    name : str
        Name in the table and in idempotency keys.
    faults : tuple of callable
        Each runs until it is cancelled.
    """

    name: str
    faults: tuple[Fault, ...]

    async def run(self, fleet: RelayedFleet, seed: int) -> None:
        """Inject the faults until cancelled."""
        async with trio.open_nursery() as nursery:
            for i, fault in enumerate(self.faults):
                nursery.start_soon(fault, fleet, Random(seed * 1000 + i))


MIXES = (
    Mix("kill", (kill_routers,)),
    Mix("freeze", (freeze_routers,)),
    Mix("cut", (cut_backends,)),
    Mix("outage", (store_outages,)),
    Mix("lost-writes", (lost_store_answers,)),
    Mix("spoiled", (spoiled_answers,)),
    Mix("kill+outage", (kill_routers, store_outages)),
    Mix("freeze+cut", (freeze_routers, cut_backends)),
    Mix("lost-writes+spoiled", (lost_store_answers, spoiled_answers)),
    Mix("kill+cut-platform", (kill_routers, cut_platform)),
    Mix("kill+failing-pool", (kill_routers, failing_pool)),
)


async def heal(fleet: RelayedFleet) -> None:
    """End every fault and restart every router that is not running."""
    for router in fleet.routers:
        router.unfreeze()
        if router.process.poll() is not None:
            await fleet.restart(router)
    for service in fleet.services:
        await fleet.call(service, "PUT", "/standin/faults", b"{}")
        await fleet.order(service.name, "pass")
    await fleet.order(PLATFORM, "pass")
    await fleet.set_faults()
