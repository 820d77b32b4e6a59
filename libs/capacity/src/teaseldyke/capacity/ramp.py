"""Slow start of a backend server."""

from __future__ import annotations

import attrs


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

    def record_start(self, started_at_s: float) -> bool:
        """Record the reported start time; return whether it caused a reset."""
        known_s = self.started_at_s
        self.started_at_s = started_at_s
        if known_s is None or known_s == started_at_s:
            return False
        self.reset()
        return True

    def adopt(self, epoch: int, completed: int) -> None:
        """Adopt the state that another dispatcher reported, if it is newer."""
        if (epoch, completed) > (self.epoch, self.completed):
            self.epoch = epoch
            self.completed = completed
