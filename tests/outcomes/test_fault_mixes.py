from __future__ import annotations

import pytest

from benchmarks.fault_mixes import (
    Mix,
    cut_backends,
    failing_pool,
    kill_routers,
    lost_store_answers,
    spoiled_answers,
    store_outages,
)
from benchmarks.measure_outcomes import run_mix

REQUESTS = 200
NAIVE_REQUESTS = 1600  # a false refusal takes three failures in a row: 1 in 200
RATE_HZ = 100.0
SEED = 3

MIXES = (
    Mix("kill+outage", (kill_routers, store_outages)),
    Mix("lost-writes+spoiled+cut", (lost_store_answers, spoiled_answers, cut_backends)),
)
HARMFUL = Mix("kill+failing-pool", (kill_routers, failing_pool))

pytestmark = pytest.mark.processes


@pytest.mark.promise("at-most-once")
@pytest.mark.promise("true-refusal")
@pytest.mark.promise("whole-answer")
@pytest.mark.parametrize("mix", MIXES, ids=lambda mix: mix.name)
async def test_faults_do_no_harm(mix: Mix) -> None:
    harm = await run_mix(
        mix, naive=False, seed=SEED, requests=REQUESTS, rate_hz=RATE_HZ
    )
    assert harm.total == 0, harm
    assert harm.answered > REQUESTS / 2, harm


@pytest.mark.promise("at-most-once")
@pytest.mark.promise("true-refusal")
@pytest.mark.promise("whole-answer")
async def test_the_same_check_fails_on_a_naive_router() -> None:
    harm = await run_mix(
        HARMFUL, naive=True, seed=SEED, requests=NAIVE_REQUESTS, rate_hz=RATE_HZ
    )
    assert harm.doubled > 0, harm
    assert harm.crossed > 0, harm
    assert harm.lost > 0, harm
    assert harm.false_refusals > 0, harm
