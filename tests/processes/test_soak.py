from __future__ import annotations

from pathlib import Path

import pytest

from tests.processes.soak import PLATFORM_FAULTS, Round, run_round

pytestmark = pytest.mark.processes


@pytest.mark.promise("at-most-once")
@pytest.mark.promise("true-refusal")
@pytest.mark.promise("cold-backend-server")
@pytest.mark.parametrize(
    "seed",
    [
        4,
        71008,
        71025,
        191212,
        191216,
        290401,
        290513,
        320513,
        320518,
        320520,
        350512,
        350513,
        350522,
        350546,
    ],
    ids=[
        "hold-links-and-kill-router",
        "kill-router-and-restart-engine",
        "freeze-router-and-restart-engine",
        "restart-engine-and-stop-router",
        "restart-engine-and-stop-router-at-once",
        "stop-router-before-restart-engine",
        "hold-links-and-restart-engine",
        "restart-engine-before-freeze-router",
        "restart-engine-before-cut-links",
        "restart-engine-before-freeze-router-at-its-end",
        "cut-links-before-restart-engine",
        "hold-links-before-restart-engine",
        "cut-links-and-restart-engine-at-once",
        "restart-engine-before-kill-router",
    ],
)
async def test_two_faults_at_a_time(tmp_path: Path, seed: int) -> None:
    await run_round(seed, tmp_path)


def test_rounds_are_drawn_from_their_seed() -> None:
    rounds = [Round.draw(seed) for seed in range(50)]
    assert rounds == [Round.draw(seed) for seed in range(50)]
    for drawn in rounds:
        assert len(set(drawn.names)) == 2
        assert not PLATFORM_FAULTS.issuperset(drawn.names)
        assert len(set(drawn.indices)) == 2
