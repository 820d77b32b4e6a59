"""Ejection of backend servers that fail one request after another."""

from __future__ import annotations

import attrs

FAILURES_MAX = 5  # in a row
EJECTED_MIN_S = 1.0
EJECTED_MAX_S = 30.0


@attrs.define(eq=False)
class Ejection:
    """Decides whether one backend server is left out for a while.

    After ``FAILURES_MAX`` failures in a row the server gets no work for a time that
    doubles with each ejection; then one request at a time until one completes.

    Examples
    --------
    >>> ejection = Ejection()
    >>> ejection.record(completed=0, failed=5, now_s=10.0)
    >>> ejection.is_ejected(now_s=10.5), ejection.is_probing(now_s=11.0)
    (True, True)
    >>> ejection.record(completed=1, failed=0, now_s=12.0)
    >>> ejection.is_probing(now_s=12.0)
    False
    """

    failures: int = 0
    ejections: int = 0
    until_s: float = 0.0

    def record(self, completed: int, failed: int, now_s: float) -> None:
        """Count requests that completed and failed since the last call."""
        if completed:
            self.failures = 0
            self.ejections = 0
            return
        if not failed or self.is_ejected(now_s):
            return
        self.failures += failed
        probe_failed = self.ejections > 0
        if self.failures < FAILURES_MAX and not probe_failed:
            return
        ejected_s = min(EJECTED_MIN_S * 2**self.ejections, EJECTED_MAX_S)
        self.until_s = now_s + ejected_s
        self.ejections += 1
        self.failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server gets no work now."""
        return self.ejections > 0 and now_s < self.until_s

    def is_probing(self, now_s: float) -> bool:
        """Return whether the server gets one request at a time now."""
        return self.ejections > 0 and now_s >= self.until_s
