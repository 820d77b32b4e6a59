"""Injects two faults at a time, drawn from a seed, and checks the invariants.

Run ``python -m tests.processes.soak --seconds 300 --seed 1`` for a longer run; each
round uses the next seed and a new fleet.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import attrs
import fire
import trio

from teaseldyke.replay import Harms

from .fleet import Fleet, FleetPlan, running_fleet
from .traffic import mixed_traffic, run_traffic

FAULTS_FROM_S = 1.5  # after the join delay, in which routers withhold their fractions
FAULTS_TO_S = 3.0  # latest start of a fault
FAULT_S = 2.0
RECOVERY_S = 3.0
TAIL_S = 1.5  # at the end, when every request must succeed again
RATE_HZ = 40.0
RETRIES = 3
PLAN = FleetPlan(
    engine={"tokens_per_s": 200, "die": False},
    router={"join_delay_s": 0.7, "list_poll_s": 0.3, "poll_interval_s": 0.3},
)

Fault = Callable[[Fleet, int], Awaitable[None]]


async def kill_router(fleet: Fleet, index: int) -> None:
    """Kill a router and restart it; its state is lost."""
    router = fleet.routers[index]
    router.kill()
    await trio.sleep(FAULT_S / 2)
    await fleet.restart(router)


async def freeze_router(fleet: Fleet, index: int) -> None:
    """Suspend a router for longer than every lease between routers."""
    router = fleet.routers[index]
    router.freeze()
    await trio.sleep(FAULT_S)
    router.unfreeze()


async def hold_links(fleet: Fleet, index: int) -> None:
    """Hold back all bytes between the isolable router and the others."""
    await fleet.set_links("hold")
    await trio.sleep(FAULT_S)
    await fleet.set_links("pass")


async def cut_links(fleet: Fleet, index: int) -> None:
    """Refuse connections between the isolable router and the others."""
    await fleet.set_links("cut")
    await trio.sleep(FAULT_S)
    await fleet.set_links("pass")


async def stop_store(fleet: Fleet, index: int) -> None:
    """Make the platform unavailable."""
    await fleet.set_faults(down=True)
    await trio.sleep(FAULT_S)
    await fleet.set_faults()


async def lose_answers(fleet: Fleet, index: int) -> None:
    """Drop half of the platform's responses after the writes took effect."""
    await fleet.set_faults(lose_answers=0.5, seed=index)
    await trio.sleep(FAULT_S)
    await fleet.set_faults()


async def restart_engine(fleet: Fleet, index: int) -> None:
    """Kill an engine and restart it; it is then cold."""
    engine = fleet.engines[index]
    engine.kill()
    await fleet.restart(engine)


async def stop_router(fleet: Fleet, index: int) -> None:
    """Stop a router as planned and start it again."""
    router = fleet.routers[index]
    router.terminate()
    await router.wait()
    await fleet.restart(router)


FAULTS: dict[str, Fault] = {
    "cut-links": cut_links,
    "freeze-router": freeze_router,
    "hold-links": hold_links,
    "kill-router": kill_router,
    "lose-answers": lose_answers,
    "restart-engine": restart_engine,
    "stop-router": stop_router,
    "stop-store": stop_store,
}
ROUTER_FAULTS = frozenset({"freeze-router", "kill-router", "stop-router"})
PLATFORM_FAULTS = frozenset({"lose-answers", "stop-store"})


@attrs.frozen
class Round:
    """Two faults drawn from a seed.

    Parameters
    ----------
    names : tuple of str
        Names in `FAULTS`.
    indices : tuple of int
        Index of the router or engine that each fault affects.
    at_s : tuple of float
        Start of each fault, from the start of the traffic.
    isolable : int
        Index of the router whose links go through a relay.
    """

    names: tuple[str, ...]
    indices: tuple[int, ...]
    at_s: tuple[float, ...]
    isolable: int

    @classmethod
    def draw(cls, seed: int) -> Round:
        """Draw two faults that do not cancel each other."""
        random = Random(seed)
        while True:
            names = tuple(sorted(random.sample(sorted(FAULTS), 2)))
            if not PLATFORM_FAULTS.issuperset(names):
                break
        indices = tuple(random.sample(range(PLAN.routers), 2))
        at_s = tuple(random.uniform(FAULTS_FROM_S, FAULTS_TO_S) for _ in names)
        return cls(names, indices, at_s, random.randrange(PLAN.routers))


async def run_round(seed: int, directory: Path) -> None:
    """Inject two faults under load and check the invariants."""
    drawn = Round.draw(seed)
    plan = attrs.evolve(PLAN, isolable=drawn.isolable)
    duration_s = FAULTS_TO_S + FAULT_S + RECOVERY_S + TAIL_S
    async with running_fleet(directory, plan) as fleet:
        entries = mixed_traffic(fleet, duration_s=duration_s, rate_hz=RATE_HZ)
        events = [
            (at_s, _bind(FAULTS[name], fleet, index))
            for name, index, at_s in zip(
                drawn.names, drawn.indices, drawn.at_s, strict=True
            )
        ]
        report = await run_traffic(fleet, entries, events, retries=RETRIES)
        states = [await fleet.call(e, "GET", "/standin/state") for e in fleet.engines]
    context = f"seed {seed}: {drawn}"
    for state in states:
        assert state["cold_overrun"] == 0, (context, state)
        assert state["running_max"] <= plan.engine_service.limit, (context, state)
    harms = report.harms()
    assert harms == Harms(0, 0, 0), (context, harms)
    assert not report.crossed, context
    tail = [r for r in report.failed if r.arrival.at_s > duration_s - TAIL_S]
    assert not tail, (context, tail)


def _bind(fault: Fault, fleet: Fleet, index: int) -> Callable[[], Awaitable[None]]:
    async def event() -> None:
        await fault(fleet, index)

    return event


def main(seconds: float = 60.0, seed: int = 1) -> None:
    """Run rounds until the time is up; the exit status is 1 if one fails."""
    end_s = time.monotonic() + seconds
    failed = 0
    while time.monotonic() < end_s:
        with tempfile.TemporaryDirectory() as directory:
            try:
                trio.run(run_round, seed, Path(directory))
                print(f"held    seed={seed} {Round.draw(seed).names}", flush=True)
            except* AssertionError as group:
                failed += 1
                print(f"BROKEN  {group.exceptions[0]}", flush=True)
        seed += 1
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
