"""Budgets over sliding windows, split between the instances of a fleet.

Load patterns: engines that fail at once cause many retries (`srv_crash`, `srv_grey`),
and a cold engine that all instances see idle at the same moment.
Replayed in ``tests/test_window_budget.py``.
"""

from __future__ import annotations

from collections import deque

import attrs

FLEET_LIMIT_FRACTION = 0.8  # of the fleet's limit; instances join and leave


@attrs.define
class RetryBudget:
    """Limits retries in proportion to the requests of the same window.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Additional retries of the whole fleet in a window.
    window_s : float
        Length of the window.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, slack=0.0, window_s=10.0)
    >>> for _ in range(10):
    ...     budget.count_request(0.0)
    >>> sum(budget.try_spend(1.0, instances=1) for _ in range(10))
    4
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _spent: deque[float] = attrs.field(factory=deque, init=False)

    def count_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def try_spend(self, now_s: float, instances: int) -> bool:
        """Return whether one more retry is allowed, and count it if so."""
        if not self.allows(now_s, instances):
            return False
        self._spent.append(now_s)
        return True

    def allows(self, now_s: float, instances: int) -> bool:
        """Return whether one more retry is allowed, without counting it."""
        self._expire(now_s)
        earned = self.ratio * len(self._requests) + self.slack / max(1, instances)
        return len(self._spent) + 1 <= FLEET_LIMIT_FRACTION * earned

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for timestamps in (self._requests, self._spent):
            while timestamps and timestamps[0] < oldest_s:
                timestamps.popleft()


@attrs.define
class ColdRateLimit:
    """Limits the rate at which one instance sends to a cold backend server.

    The limit holds for arrivals in any second and requests take time to arrive, so
    sends are spaced evenly at the instance's fraction of the rate.

    Parameters
    ----------
    rate_per_s : float
        Requests per second from the whole fleet that the server sustains.
    """

    rate_per_s: float
    _next_at_s: float = attrs.field(default=0.0, init=False)

    def allows_send(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return now_s >= self._next_at_s

    def record_send(self, now_s: float, senders: int) -> None:
        """Count a sent request; ``senders`` instances share the rate."""
        self._next_at_s = now_s + max(1, senders) / max(self.rate_per_s, 0.1)


def cold_senders_max(rate_per_s: float, burst_factor: float, slack: float) -> int:
    """Return how many instances may send to one cold server.

    All of them may see it idle at the same moment, so in any second it gets one request
    from each on top of the rate. The difference between the limit and the rate bounds
    their number; the other instances of a large fleet send to other servers.

    Examples
    --------
    >>> cold_senders_max(13.0, 1.5, 5.0)
    9
    """
    excess = rate_per_s * (burst_factor - 1.0) + slack
    return max(1, int(FLEET_LIMIT_FRACTION * excess))
