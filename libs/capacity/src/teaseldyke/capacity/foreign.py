"""Foreign requests: those at a backend server that its dispatcher did not grant."""

from __future__ import annotations

import math
from collections import deque

import attrs

UNCONFIRMED_HOLD_S = 5.0  # foreign requests count this long unconfirmed


@attrs.define(eq=False)
class ForeignRequests:
    """Estimates the foreign requests of one server from its delayed load reports.

    Parameters
    ----------
    lag_s : float
        Maximum age of a report's content at the time of the poll.

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
    _expects_foreign: bool = False
    _expected_since_s: float = -math.inf
    _added_at_s: float = -math.inf
    _own_history: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque([(-math.inf, 0)])
    )

    def record_own(self, now_s: float, count: int) -> None:
        """Record the number of the dispatcher's own requests known to be running."""
        if self._own_history[-1][1] == count:
            return
        self._own_history.append((now_s, count))

    def expect(self, now_s: float) -> None:
        """Expect foreign requests until a report shows the server at a later time."""
        self._expected_since_s = now_s
        self._expects_foreign = True

    def clear(self) -> None:
        """Expect no foreign requests, because every router reports its requests."""
        self._count = 0
        self._expects_foreign = False

    def add(self, count: int, now_s: float) -> None:
        """Add requests of a lost router until a report confirms their number."""
        self._count += count
        self._added_at_s = now_s

    def record_report(self, polled_at_s: float, now_s: float, running: int) -> None:
        """Update the estimate with the report of a poll at ``polled_at_s``."""
        start_s = polled_at_s - self.lag_s
        window = self._window(start_s)
        self.reported_at_s = polled_at_s
        estimate = max(0, running - min(window))
        lowered = min(self._count, running)
        if start_s < self._added_at_s:
            # The report may show the server as it was before the router was lost.
            self._count = max(self._count, estimate)
        elif start_s < self._added_at_s + UNCONFIRMED_HOLD_S:
            # An own request may have ended unnoticed, so own requests are not deducted.
            self._count = max(lowered, estimate) if self._expects_foreign else lowered
        elif self._expects_foreign:
            self._count = estimate
        else:
            # Earlier foreign requests can only end, so the estimate never rises.
            self._count = min(self._count, estimate)
        if start_s >= self._expected_since_s:
            self._expects_foreign = False

    @property
    def count(self) -> int:
        """Return the foreign requests that count against the limit."""
        return self._count

    def _window(self, start_s: float) -> list[int]:
        while len(self._own_history) > 1 and self._own_history[1][0] <= start_s:
            self._own_history.popleft()
        return [count for _, count in self._own_history]
