"""Throughput of continuous batching, and the prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import AsyncIterator

import attrs
import trio

STEP_MIN_S = 0.005  # tokens due within this time are yielded together


@attrs.define
class Batch:
    """Running requests that share the throughput of one engine.

    Parameters
    ----------
    tokens_per_s : float
        Rate of each request while no more than ``limit`` requests run.
    limit : int
        Number of running requests above which each one slows down.
    running : int
        Number of requests in the batch.
    """

    tokens_per_s: float
    limit: int
    running: int = 0

    @property
    def rate(self) -> float:
        """Current rate of each request, in tokens a second."""
        return self.tokens_per_s * min(1.0, self.limit / max(1, self.running))

    async def tokens(self, first: int, total: int) -> AsyncIterator[range]:
        """Yield the indices of tokens ``first`` to ``total`` as they are generated."""
        generated = float(first)
        yielded = first
        at_s = trio.current_time()
        while yielded < total:
            rate = self.rate
            await trio.sleep(max(1.0 / rate, STEP_MIN_S))
            now_s = trio.current_time()
            generated += (now_s - at_s) * rate
            at_s = now_s
            due = min(total, int(generated + 1e-6))
            if due <= yielded:
                continue
            yield range(yielded, due)
            yielded = due


@attrs.define
class PrefixCache:
    """LRU cache of prompt prefixes.

    Parameters
    ----------
    entries_max : int
        Largest number of prefixes in the cache.
    """

    entries_max: int
    hits: int = 0
    misses: int = 0
    _entries: OrderedDict[str, None] = attrs.field(factory=OrderedDict, init=False)

    def use(self, prefix: str) -> bool:
        """Look up a prefix, insert it, and return whether it was cached."""
        hit = prefix in self._entries
        self._entries[prefix] = None
        self._entries.move_to_end(prefix)
        if len(self._entries) > self.entries_max:
            self._entries.popitem(last=False)
        if hit:
            self.hits += 1
        else:
            self.misses += 1
        return hit

    def clear(self) -> None:
        """Evict all prefixes."""
        self._entries.clear()
