"""Retry delay of refused callers, from the rate at which a queue drains."""

from __future__ import annotations

import math

import attrs

TIME_CONSTANT_S = 10.0
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


@attrs.define(eq=False)
class DrainRate:
    """Completions per second of one queue, as an exponential moving average.

    Examples
    --------
    >>> rate = DrainRate()
    >>> for second in range(100):
    ...     rate.complete(now_s=float(second))
    >>> round(rate.retry_after_s(waiting=20, now_s=99.0))
    19
    """

    _rate: float = 0.0
    _updated_at_s: float = -math.inf

    def complete(self, now_s: float) -> None:
        """Count one completed request."""
        self._decay(now_s)
        self._rate += 1.0 / TIME_CONSTANT_S

    def retry_after_s(self, waiting: int, now_s: float) -> float:
        """Return the expected time until ``waiting`` queued requests have drained."""
        self._decay(now_s)
        if self._rate * RETRY_AFTER_MAX_S <= waiting:
            return RETRY_AFTER_MAX_S if waiting else RETRY_AFTER_MIN_S
        return max(RETRY_AFTER_MIN_S, waiting / self._rate)

    def _decay(self, now_s: float) -> None:
        if now_s > self._updated_at_s:
            elapsed_s = now_s - self._updated_at_s
            self._rate *= math.exp(-elapsed_s / TIME_CONSTANT_S)
            self._updated_at_s = now_s
