"""Requests at a backend server that its dispatcher has not granted."""

from __future__ import annotations

import math
from collections import deque

import attrs

EVIDENCE_S = 2.0  # foreign work is believed this long without clear evidence


@attrs.define(eq=False)
class ForeignWork:
    """Estimates the foreign requests of one server from its lagging reports.

    Parameters
    ----------
    lag_s : float
        A report shows the server at some time within so long before its poll.

    Examples
    --------
    >>> foreign = ForeignWork(lag_s=0.5)
    >>> foreign.note_own(0.0, 2)
    >>> foreign.reopen(0.0)
    >>> foreign.note_report(polled_at_s=1.0, now_s=1.0, running=5)
    >>> foreign.count
    3
    """

    lag_s: float
    reported_at_s: float = -math.inf
    _count: int = 0
    _reopened_at_s: float = -math.inf
    _own: deque[tuple[float, int]] = attrs.field(factory=deque)

    def note_own(self, now_s: float, count: int) -> None:
        """Remember how many requests the dispatcher itself has at the server."""
        if self._own and self._own[-1][1] == count:
            return
        self._own.append((now_s, count))

    def reopen(self, now_s: float) -> None:
        """Expect foreign work, because some router's work is not known."""
        self._reopened_at_s = now_s

    def add(self, count: int) -> None:
        """Count requests of a router that is gone until a report settles them."""
        self._count += count

    def note_report(self, polled_at_s: float, now_s: float, running: int) -> None:
        """Take in a load report that was asked for at ``polled_at_s``."""
        window = self._window(polled_at_s - self.lag_s)
        self.reported_at_s = polled_at_s
        if now_s - self._reopened_at_s <= EVIDENCE_S:
            self._count = max(0, running - min(window))
            return
        self._count = min(self._count, max(0, running - max(window)))

    @property
    def count(self) -> int:
        """Return the foreign requests that must be counted now."""
        return self._count

    def _window(self, start_s: float) -> list[int]:
        while len(self._own) > 1 and self._own[1][0] <= start_s:
            self._own.popleft()
        return [count for _, count in self._own] or [0]
