"""Rate limit of a router's reports."""

from __future__ import annotations

import math

import attrs

BURST_REPORTS = 8
SPACING_MIN_S = 0.001


@attrs.define(eq=False)
class ReportRateLimiter:
    """Token bucket that allows a short burst, then one report per interval.

    Parameters
    ----------
    interval_s : float
        Mean time between two reports under constant change.

    Examples
    --------
    >>> rate_limiter = ReportRateLimiter(interval_s=0.02)
    >>> for _ in range(8):
    ...     rate_limiter.record_report(now_s=5.0)
    >>> round(rate_limiter.next_at_s(), 3)
    5.02
    """

    interval_s: float
    sent_at_s: float = -math.inf
    _tokens: float = BURST_REPORTS

    def record_report(self, now_s: float) -> None:
        """Record that a report is sent."""
        if math.isfinite(self.sent_at_s):
            refilled = (now_s - self.sent_at_s) / self.interval_s
            self._tokens = min(BURST_REPORTS, self._tokens + refilled)
        self._tokens = max(0.0, self._tokens - 1)
        self.sent_at_s = now_s

    def next_at_s(self) -> float:
        """Return when the next report may be sent."""
        deficit_s = (1 - self._tokens) * self.interval_s
        return self.sent_at_s + max(SPACING_MIN_S, deficit_s)
