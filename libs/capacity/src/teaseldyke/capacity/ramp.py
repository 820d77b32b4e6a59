"""Slow start of a backend server."""

from __future__ import annotations

import attrs


@attrs.frozen
class EarlierProgress:
    """Completions that count if the server still has the same start."""

    completed: int
    started_at_s: float | None


@attrs.define(eq=False)
class Ramp:
    """Effective limit of one backend server since its last start.

    The limit rises in one step, when the server is warm: a cold server fails requests
    above its cold limit, and nothing shows that it sustains more before it is warm.

    Parameters
    ----------
    limit_max : int
        Concurrent requests when warm.
    cold_limit : int
        Concurrent requests right after a start.
    warm_after_requests : int
        Completed requests after which the server is warm.

    Examples
    --------
    >>> ramp = Ramp(limit_max=8, cold_limit=1, warm_after_requests=4)
    >>> ramp.limit
    1
    >>> ramp.complete(3)
    >>> ramp.limit
    1
    >>> ramp.complete(1)
    >>> ramp.limit
    8
    >>> ramp.reset()
    >>> ramp.limit, ramp.epoch
    (1, 1)
    """

    limit_max: int
    cold_limit: int
    warm_after_requests: int
    epoch: int = 0
    completed: int = 0
    started_at_s: float | None = None
    earlier: EarlierProgress | None = None

    @property
    def limit(self) -> int:
        """Return the concurrent requests that the server may have now."""
        if self.completed >= self.warm_after_requests:
            return self.limit_max
        return min(self.cold_limit, self.limit_max)

    def complete(self, count: int) -> None:
        """Count completed requests."""
        self.completed = min(self.completed + count, self.warm_after_requests)

    def reset(self) -> None:
        """Return to the cold limit, because the server shows that it is cold."""
        self.epoch += 1
        self.completed = 0
        self.earlier = None

    def record_start(self, started_at_s: float) -> bool:
        """Record the reported start time; return whether it caused a reset."""
        known_s = self.started_at_s
        self.started_at_s = started_at_s
        has_restarted = known_s is not None and known_s != started_at_s
        if self.earlier is not None and self.earlier.started_at_s != started_at_s:
            has_restarted = True
        if has_restarted:
            self.reset()
            return True
        self.count_earlier()
        return False

    def adopt(self, epoch: int, completed: int, started_at_s: float | None) -> None:
        """Adopt the state that another dispatcher reported, if it is newer.

        Its completions count after `record_start` or `count_earlier`.
        """
        known = self.completed
        if self.earlier is not None:
            known = max(known, self.earlier.completed)
        if (epoch, completed) <= (self.epoch, known):
            return
        self.epoch = epoch
        self.completed = 0
        self.earlier = EarlierProgress(completed, started_at_s)
        if started_at_s is not None and started_at_s == self.started_at_s:
            self.count_earlier()

    def set_aside(self) -> None:
        """Count the completions so far only if the server hasn't restarted since."""
        if self.completed and self.earlier is None:
            self.earlier = EarlierProgress(self.completed, self.started_at_s)
        self.completed = 0
        self.started_at_s = None

    def count_earlier(self) -> None:
        """Count the completions that were adopted or set aside."""
        if self.earlier is not None:
            self.complete(self.earlier.completed)
            self.earlier = None
