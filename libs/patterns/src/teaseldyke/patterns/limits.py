"""Engines of the model that state a limit on requests for a while."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .load import DISTURBANCE_S, StatedLimits

WINDOW_S = 4.0  # in which the operator counts
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5.0  # requests
STABLE_S = 3.0  # from a limit's start until it is judged


@attrs.define
class LimitedEngines:
    """States the limits of a pattern and counts what the engines get.

    Parameters
    ----------
    limits : StatedLimits or None
        Limits of the pattern.
    names : list of str
        All engines.
    """

    limits: StatedLimits | None
    names: list[str]
    _arrivals: dict[str, list[float]] = attrs.field(factory=dict, init=False)

    def stated_per_s(self, name: str, now_s: float) -> float | None:
        """Return the limit that an answer of an engine states."""
        if self.limits is None or name not in self._limited():
            return None
        starts_at_s, ends_at_s = DISTURBANCE_S
        return self.limits.per_s if starts_at_s <= now_s < ends_at_s else None

    def record_arrival(self, name: str, now_s: float) -> None:
        """Count a request at an engine."""
        self._arrivals.setdefault(name, []).append(now_s)

    def largest_excess(self) -> float:
        """Return the most requests of an engine in a window, against those allowed."""
        if self.limits is None:
            return 0.0
        allowed = ALLOWED_FACTOR * WINDOW_S * self.limits.per_s + ALLOWED_SLACK
        return max(
            (self._busiest(self._judged(name)) / allowed for name in self._limited()),
            default=0.0,
        )

    def used_fraction(self) -> float:
        """Return the part of all limits that was used while they were judged."""
        if self.limits is None:
            return 0.0
        seconds = DISTURBANCE_S[1] - DISTURBANCE_S[0] - STABLE_S
        names = self._limited()
        used = sum(len(self._judged(name)) for name in names)
        return used / (len(names) * seconds * self.limits.per_s)

    def _limited(self) -> list[str]:
        share = 0.0 if self.limits is None else self.limits.share
        return self.names[: round(share * len(self.names))]

    def _judged(self, name: str) -> list[float]:
        starts_at_s, ends_at_s = DISTURBANCE_S
        return [
            at_s
            for at_s in self._arrivals.get(name, [])
            if starts_at_s + STABLE_S <= at_s < ends_at_s
        ]

    def _busiest(self, times_s: Iterable[float]) -> int:
        times = list(times_s)
        return max(
            (sum(start <= at < start + WINDOW_S for at in times) for start in times),
            default=0,
        )
