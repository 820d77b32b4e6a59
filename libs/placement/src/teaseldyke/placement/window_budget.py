"""Budgets over sliding windows, split between the instances of a fleet.

Load patterns: engines that fail at once draw many repeated sends (`srv_crash`,
`srv_grey`), and a cold engine that every instance finds free at the same moment.
Replayed in ``tests/test_window_budget.py``.
"""

from __future__ import annotations

from collections import deque

import attrs

SPLIT_MARGIN = 0.8  # part of the fleet's bound that is used; instances join and leave


@attrs.define
class RetryBudget:
    """Bounds the sends after the first by the requests of the same window.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    slack : float
        Repeated sends that the whole fleet may make beside them in a window.
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
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def try_spend(self, now_s: float, instances: int) -> bool:
        """Return whether one more send may be made, and count it."""
        self._forget(now_s)
        earned = self.ratio * len(self._requests) + self.slack / max(1, instances)
        if len(self._spent) + 1 > SPLIT_MARGIN * earned:
            return False
        self._spent.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times in (self._requests, self._spent):
            while times and times[0] < oldest_s:
                times.popleft()


@attrs.define
class ColdRateLimit:
    """Bounds what one instance sends to a cold backend server.

    The bound counts arrivals in any second, and a request may travel a while, so the
    spacing between sends is the instance's part of the rate.

    Parameters
    ----------
    rate_per_s : float
        Requests that the server bears each second from the whole fleet.
    """

    rate_per_s: float
    _next_at_s: float = attrs.field(default=0.0, init=False)

    def allows_send(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return now_s >= self._next_at_s

    def record_send(self, now_s: float, senders: int) -> None:
        """Count a request that is sent; ``senders`` instances share the rate."""
        self._next_at_s = now_s + max(1, senders) / max(self.rate_per_s, 0.1)


def cold_senders_max(rate_per_s: float, burst_factor: float, slack: float) -> int:
    """Return how many instances may send to one cold server.

    All of them may find it free at the same moment, so in any second it gets one
    request from each beside the rate. What the bound leaves above the rate limits
    their number; the rest of a large fleet sends elsewhere.

    Examples
    --------
    >>> cold_senders_max(13.0, 1.5, 5.0)
    9
    """
    room = rate_per_s * (burst_factor - 1.0) + slack
    return max(1, int(SPLIT_MARGIN * room))
