from __future__ import annotations

import trio
from trio.testing import MockClock

from teaseldyke.outcomes.token_bucket import TokenBucket


async def test_tokens_return_with_time(autojump_clock: MockClock) -> None:
    bucket = TokenBucket(rate_per_s=2.0, burst=1.0)
    assert bucket.try_take()
    assert not bucket.try_take()
    await trio.sleep(bucket.wait_s())
    assert bucket.try_take()
