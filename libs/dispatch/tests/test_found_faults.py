"""Fault sequences in which requests in flight once exceeded the limit."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from .test_authority import LIMIT, NAMES, OPTIONS, STEP_S, World

FAULTS = (
    "advance",
    "pause",
    "kill",
    "start",
    "cut",
    "isolate",
    "heal",
    "lose",
    "weather",
    "start",
)
FAULTS_IN_A_RUN = 20
SECONDS = [0.05, 0.3, 0.6, 1.0, 2.5]


def _advance(world: World, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        world.step()


def _inject(world: World, draw: Random) -> None:
    seconds = draw.choice(SECONDS)
    fault = draw.choice(FAULTS)
    names = sorted(world.processes)
    if fault == "pause" and names:
        process = world.processes[draw.choice(names)]
        process.paused = True
        _advance(world, seconds)
        process.paused = False
        seconds = draw.choice([0.3, 1])
    elif fault == "kill" and names:
        process = world.processes.pop(draw.choice(names))
        world.zombies += [ends_at_s for ends_at_s, _ in process.running]
    elif fault == "start":
        name = draw.choice(NAMES)
        if name not in world.processes:
            world.start(name)
    elif fault == "cut":
        world.cuts.add(frozenset(draw.sample(NAMES, 2)))
    elif fault == "isolate":
        name = draw.choice(NAMES)
        world.cuts |= {frozenset((name, other)) for other in NAMES if other != name}
    elif fault == "heal":
        world.cuts.clear()
        world.list_is_down = False
    elif fault == "lose":
        world.list_is_down = True
    elif fault == "weather":
        world.hold = draw.choice([0.0, 0.5, 0.95])
        world.delay_max_s = draw.choice([0.0, 0.05, 0.4])
        world.loss = draw.choice([0, 0.3])
        world.repeats = draw.random() < 0.5
        world.demand = draw.choice([0, 3])
        seconds = 0.3
    _advance(world, seconds)


@pytest.mark.promise("cold-backend-server")
@pytest.mark.parametrize(
    ("seed", "routers", "holders_max"),
    [
        pytest.param(20647, 5, 2, id="idle-when-a-fraction-was-gained"),
        pytest.param(70270, 4, 7, id="end-of-own-request-reported-late"),
    ],
)
def test_work_stays_within_the_limit(seed: int, routers: int, holders_max: int) -> None:
    options = attrs.evolve(OPTIONS, holders_max=holders_max)
    world = World(Random(seed), options)
    draw = Random(seed)
    for name in NAMES[:routers]:
        world.start(name)
    _advance(world, 3.5)
    for _ in range(FAULTS_IN_A_RUN):
        _inject(world, draw)
        assert world.worst <= LIMIT
