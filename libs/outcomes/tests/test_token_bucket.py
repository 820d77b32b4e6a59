from __future__ import annotations

import trio
from trio.testing import MockClock

from teaseldyke.outcomes.token_bucket import TokenBucket


async def test_tokens_refill_over_time(autojump_clock: MockClock) -> None:
    bucket = TokenBucket(rate_per_s=2.0, burst=1.0)
    assert bucket.try_take()
    assert not bucket.try_take()
    await trio.sleep(bucket.wait_s())
    assert bucket.try_take()


async def test_resize_adds_no_tokens(autojump_clock: MockClock) -> None:
    bucket = TokenBucket(rate_per_s=1.0, burst=4.0)
    for _ in range(4):
        assert bucket.try_take()
    bucket.resize(2.0, 8.0)
    assert not bucket.try_take()
    await trio.sleep(0.5)
    assert bucket.try_take()
