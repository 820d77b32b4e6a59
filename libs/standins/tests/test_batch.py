from __future__ import annotations

import pytest
import trio

from teaseldyke.standins.batch import Batch, PrefixCache


@pytest.mark.parametrize(
    ("running", "first", "time_s"),
    [(1, 0, 10.0), (4, 0, 10.0), (8, 0, 20.0), (1, 50, 5)],
)
async def test_time_of_100_tokens(
    running: int, first: int, time_s: float, autojump_clock: object
) -> None:
    batch = Batch(tokens_per_s=10.0, limit=4, running=running)
    indices: list[int] = []
    async for step in batch.tokens(first, 100):
        indices.extend(step)
    assert indices == list(range(first, 100))
    assert trio.current_time() == pytest.approx(time_s, rel=0.02)


def test_prefix_cache_evicts_least_recently_used() -> None:
    cache = PrefixCache(entries_max=2)
    hits = [cache.use(prefix) for prefix in "abaacab"]
    assert hits == [False, False, True, True, False, True, False]
