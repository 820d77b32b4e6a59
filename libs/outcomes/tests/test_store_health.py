from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from teaseldyke.outcomes import RecordUnavailable
from teaseldyke.outcomes.store_health import PAUSE_MAX_S, StoreHealth


async def test_one_request_tries_after_the_pause(autojump_clock: MockClock) -> None:
    health = StoreHealth(random=random.Random(1))
    health.admit()
    health.failed()
    with pytest.raises(RecordUnavailable) as caught:
        health.admit()
    assert caught.value.retry_after_s == pytest.approx(health.pause_s())
    await trio.sleep(health.pause_s())
    health.admit()
    with pytest.raises(RecordUnavailable):
        health.admit()
    health.answered()
    health.admit()
    assert not health.failing


async def test_pauses_are_bounded_and_drawn(autojump_clock: MockClock) -> None:
    pauses_s = set()
    for seed in range(20):
        health = StoreHealth(random=random.Random(seed))
        for _ in range(40):
            health.failed()
        pauses_s.add(health.pause_s())
    assert len(pauses_s) == 20
    assert max(pauses_s) <= PAUSE_MAX_S
    assert min(pauses_s) >= PAUSE_MAX_S / 2
