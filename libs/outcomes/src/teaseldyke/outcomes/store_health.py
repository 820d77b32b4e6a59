"""Whether the store is worth asking, and when to try again."""

from __future__ import annotations

import random

import attrs
import trio

from .errors import RecordUnavailable

PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0


@attrs.define
class StoreHealth:
    """Refuses at once while the store is down or slow, and spreads the return to it.

    After a failure nothing is asked for a pause that doubles with each failure and
    is drawn between half and the whole, so that routers return one after another.
    After the pause a single request tries; the others are refused until it is known
    how that one went.

    Parameters
    ----------
    probe_s : float
        Time after which a trial without a result gives way to the next.
    random : random.Random
        Source of the draw.
    """

    probe_s: float = 2.0
    random: random.Random = attrs.field(factory=random.Random)
    _failures: int = attrs.field(default=0, init=False)
    _closed_until_s: float = attrs.field(default=-1.0, init=False)

    @property
    def failing(self) -> bool:
        """Whether the newest answer of the store was a failure."""
        return self._failures > 0

    def admit(self) -> None:
        """Raise while the store is not worth asking; else note a trial.

        Raises
        ------
        RecordUnavailable
            With the rest of the pause as ``retry_after_s``.
        """
        rest_s = self.pause_s()
        if rest_s > 0:
            raise RecordUnavailable(
                "the store of outcomes does not answer; this request was not sent",
                retry_after_s=rest_s,
            )
        if self.failing:
            self._closed_until_s = trio.current_time() + self.probe_s

    def pause_s(self) -> float:
        """Return the seconds until the store is asked again."""
        return max(0.0, self._closed_until_s - trio.current_time())

    def failed(self) -> None:
        """Note that the store refused or did not answer in time."""
        pause_s = min(PAUSE_MAX_S, PAUSE_MIN_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        drawn_s = pause_s * self.random.uniform(0.5, 1.0)
        self._closed_until_s = trio.current_time() + drawn_s

    def answered(self) -> None:
        """Note that the store answered in time, with whatever."""
        self._failures = 0
        self._closed_until_s = -1.0
