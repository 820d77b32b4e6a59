"""Requests at a backend server that its dispatcher has not granted."""

from __future__ import annotations

import math
from collections import deque

import attrs

UNCONFIRMED_HOLD_S = 5.0  # foreign work is believed this long without clear evidence


@attrs.define(eq=False)
class ForeignRequests:
    """Estimates the foreign requests of one server from its lagging reports.

    Parameters
    ----------
    lag_s : float
        A report shows the server at some time within so long before its poll.

    Examples
    --------
    >>> foreign = ForeignRequests(lag_s=0.5)
    >>> foreign.record_own(0.0, 2)
    >>> foreign.expect(1.0)
    >>> foreign.record_report(polled_at_s=1.0, now_s=1.0, running=5)
    >>> foreign.count
    3
    """

    lag_s: float
    reported_at_s: float = -math.inf
    _count: int = 0
    _is_open: bool = False
    _reopened_at_s: float = -math.inf
    _added_at_s: float = -math.inf
    _own: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque([(-math.inf, 0)])
    )

    def record_own(self, now_s: float, count: int) -> None:
        """Remember how many of the dispatcher's own requests surely run there."""
        if self._own[-1][1] == count:
            return
        self._own.append((now_s, count))

    def expect(self, now_s: float) -> None:
        """Expect foreign work until a report is known to be younger than now."""
        self._reopened_at_s = now_s
        self._is_open = True

    def clear(self) -> None:
        """Expect none, because every router's work is known."""
        self._count = 0
        self._is_open = False

    def add(self, count: int, now_s: float) -> None:
        """Count requests of a lost router until a report settles them."""
        self._count += count
        self._added_at_s = now_s

    def record_report(self, polled_at_s: float, now_s: float, running: int) -> None:
        """Take in a load report that was asked for at ``polled_at_s``."""
        start_s = polled_at_s - self.lag_s
        window = self._window(start_s)
        self.reported_at_s = polled_at_s
        estimate = max(0, running - min(window))
        lowered = min(self._count, running)
        if start_s < self._added_at_s:
            # The report may show the server before the router was lost.
            self._count = max(self._count, estimate)
        elif start_s < self._added_at_s + UNCONFIRMED_HOLD_S:
            # The end of an own request may not be known yet, so none is deducted.
            self._count = max(lowered, estimate) if self._is_open else lowered
        elif self._is_open:
            self._count = estimate
        else:
            # Work that others began before only ends.
            self._count = min(self._count, estimate)
        if start_s >= self._reopened_at_s:
            self._is_open = False

    @property
    def count(self) -> int:
        """Return the foreign requests that must be counted now."""
        return self._count

    def _window(self, start_s: float) -> list[int]:
        while len(self._own) > 1 and self._own[1][0] <= start_s:
            self._own.popleft()
        return [count for _, count in self._own]
