from __future__ import annotations

import trio
from trio.testing import MockClock

from teaseldyke.outcomes import RetryBudget


async def test_retries_stay_within_the_ratio(autojump_clock: MockClock) -> None:
    budget = RetryBudget(ratio=0.1, floor_per_s=1.0, burst=5.0)
    duration_s = 100
    for _ in range(duration_s):
        for _ in range(100):
            budget.record_request()
            budget.try_spend()
        await trio.sleep(1.0)
    assert budget.retries <= 0.1 * budget.requests + 1.0 * duration_s + 5.0
    assert budget.retries >= 0.1 * budget.requests
    assert budget.refused > 0
