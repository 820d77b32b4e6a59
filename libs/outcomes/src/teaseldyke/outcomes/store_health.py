"""Circuit breaker for the outcome store."""

from __future__ import annotations

import random

import attrs
import trio

from .errors import RecordUnavailable

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0


@attrs.define
class StoreHealth:
    """Refuses requests at once while the store is down or slow.

    Each failure doubles the backoff, which is jittered between half and all of its
    length so that routers do not return to the store at the same time. After the
    backoff a single request is admitted as a probe; others are refused until its
    result is known.

    Parameters
    ----------
    probe_timeout_s : float
        Time after which another probe is admitted if the last one has no result.
    random : random.Random
        Source of jitter.
    """

    probe_timeout_s: float = 2.0
    random: random.Random = attrs.field(factory=random.Random)
    _failures: int = attrs.field(default=0, init=False)
    _open_until_s: float = attrs.field(default=-1.0, init=False)

    @property
    def failing(self) -> bool:
        """Whether the latest result of the store was a failure."""
        return self._failures > 0

    def admit(self) -> None:
        """Raise while the breaker is open; after a backoff, admit one probe.

        Raises
        ------
        RecordUnavailable
            With the remaining backoff as ``retry_after_s``.
        """
        remaining_s = self.backoff_s()
        if remaining_s > 0:
            raise RecordUnavailable(
                "the outcome store does not answer; this request was not sent",
                retry_after_s=remaining_s,
            )
        if self.failing:
            self._open_until_s = trio.current_time() + self.probe_timeout_s

    def backoff_s(self) -> float:
        """Return the remaining backoff in seconds."""
        return max(0.0, self._open_until_s - trio.current_time())

    def record_failure(self) -> None:
        """Open the breaker: the store refused or did not answer in time."""
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        jittered_s = backoff_s * self.random.uniform(0.5, 1.0)
        self._open_until_s = trio.current_time() + jittered_s

    def record_success(self) -> None:
        """Close the breaker: the store answered in time, even if with a conflict."""
        self._failures = 0
        self._open_until_s = -1.0
