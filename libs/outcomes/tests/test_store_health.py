from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from teaseldyke.outcomes import RecordUnavailable
from teaseldyke.outcomes.store_health import BACKOFF_MAX_S, StoreHealth


async def test_single_probe_after_the_backoff(autojump_clock: MockClock) -> None:
    health = StoreHealth(random=random.Random(1))
    health.admit()
    health.record_failure()
    with pytest.raises(RecordUnavailable) as caught:
        health.admit()
    assert caught.value.retry_after_s == pytest.approx(health.backoff_s())
    await trio.sleep(health.backoff_s())
    health.admit()
    with pytest.raises(RecordUnavailable):
        health.admit()
    health.record_success()
    health.admit()
    assert not health.failing


async def test_backoff_is_bounded_and_jittered(autojump_clock: MockClock) -> None:
    backoffs_s = set()
    for seed in range(20):
        health = StoreHealth(random=random.Random(seed))
        for _ in range(40):
            health.record_failure()
        backoffs_s.add(health.backoff_s())
    assert len(backoffs_s) == 20
    assert max(backoffs_s) <= BACKOFF_MAX_S
    assert min(backoffs_s) >= BACKOFF_MAX_S / 2
