"""Ejection of backend servers after consecutive failures."""

from __future__ import annotations

import attrs

FAILURES_MAX = 5  # consecutive
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0


@attrs.define(eq=False)
class Ejection:
    """Ejects one backend server temporarily after consecutive failures.

    After ``FAILURES_MAX`` consecutive failures the server gets no requests for a time
    that doubles with each ejection. Then it gets one request at a time as a probe,
    until one completes.

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
        """Count the requests that completed and failed since the last call."""
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
        ejection_s = min(EJECTION_MIN_S * 2**self.ejections, EJECTION_MAX_S)
        self.until_s = now_s + ejection_s
        self.ejections += 1
        self.failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server gets no requests now."""
        return self.ejections > 0 and now_s < self.until_s

    def is_probing(self, now_s: float) -> bool:
        """Return whether the server gets one probe request at a time now."""
        return self.ejections > 0 and now_s >= self.until_s
