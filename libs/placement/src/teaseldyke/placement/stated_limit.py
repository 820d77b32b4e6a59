"""Requests a second that a backend server states it takes from the whole fleet.

Load patterns: engines that state limits far below the demand (`srv_slow`, capped) or
change them, heard by one instance first; load that is uneven between the instances;
instances that start, die or are cut off meanwhile. Replayed in
``tests/test_stated_limit.py``.

Each instance gets a part of the limit as a rate of its own, so that no news that is
late, lost or repeated makes the fleet exceed the limit: what an instance may send
depends on nobody else's sends. How large the parts are: `limit_share`.
"""

from __future__ import annotations

import math

import attrs

# Of a lower limit, zero included: only an answer tells that a limit has ended.
PROBE_RATE_PER_S = 0.5
# Sends that are made up for, because the queues are looked at only in intervals.
CREDIT_S = 0.5
SIZE_SMOOTHING = 0.1  # weight of the newest request in the mean size
END_REPORT_S = 10.0  # for which the others are told that a limit has ended


@attrs.frozen
class LimitReport:
    """What one instance was told by a server, for the others.

    Parameters
    ----------
    per_s : float or None
        Requests a second; ``None`` if the server stated no limit.
    age_s : float
        Time since it was stated.
    """

    per_s: float | None
    age_s: float


@attrs.define
class StatedLimit:
    """The limit of one start of a server, and this instance's part of it.

    Attributes
    ----------
    per_s : float or None
        Requests a second from the whole fleet; ``None`` if there is no limit.
    own_per_s : float
        Part of them that this instance may send; 0 until it is known.
    mean_prompt_tokens : float
        Mean size of the requests that this instance sent within the limit.
    changed_at_s : float
        When another limit than before became known.
    """

    per_s: float | None = None
    own_per_s: float = 0.0
    mean_prompt_tokens: float = 0.0
    changed_at_s: float = 0.0
    _stated_at_s: float = -math.inf
    _heard_per_s: float | None = None
    _heard_at_s: float = -math.inf
    _last_limit_at_s: float = -math.inf
    _level: float = 0.0
    _updated_at_s: float = 0.0

    @property
    def is_in_force(self) -> bool:
        """Whether the server gets no more than a stated rate."""
        return self.per_s is not None

    @property
    def is_closed(self) -> bool:
        """Whether this instance may not send to the server at all."""
        return self.per_s is not None and self.own_per_s <= 0.0

    def hear(self, per_s: float | None, at_s: float, now_s: float) -> bool:
        """Record what an own answer of the server states; return if it changes.

        Parameters
        ----------
        per_s : float or None
            Requests a second; ``None`` if the answer states no limit.
        at_s : float
            Earliest time at which the answer can have arrived.
        """
        if at_s >= self._heard_at_s:
            self._heard_per_s, self._heard_at_s = per_s, at_s
        return self._state(per_s, at_s, now_s)

    def merge(self, report: LimitReport, now_s: float) -> bool:
        """Record what another instance was told; return whether the limit changes."""
        return self._state(report.per_s, now_s - report.age_s, now_s)

    def report(self, now_s: float) -> LimitReport | None:
        """Return what the others must know of this instance's own answers.

        What others told is not passed on: it would be taken for newer at each step. Nor
        is a limit whose end others told.
        """
        age_s = now_s - self._heard_at_s
        if age_s == math.inf:
            return None
        if self._heard_per_s is not None and self.per_s is None:
            return None
        is_news = now_s - self._last_limit_at_s < END_REPORT_S
        if self._heard_per_s is None and not is_news:
            return None
        return LimitReport(self._heard_per_s, max(0.0, age_s))

    def set_share(self, share: float, now_s: float) -> None:
        """Set the part of the limit that this instance may send, from 0 to 1."""
        self._refill(now_s)
        self.own_per_s = share * max(self.per_s or 0.0, PROBE_RATE_PER_S)

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return the time until a request may be sent, behind others that wait here.

        Infinite if this instance may not send to the server.
        """
        if self.per_s is None:
            return 0.0
        if self.own_per_s <= 0.0:
            return math.inf
        self._refill(now_s)
        return max(0.0, (1.0 + ahead - self._level) / self.own_per_s)

    def allows_send(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return self.wait_s(0, now_s) == 0.0

    def scarcity(self, now_s: float) -> float:
        """Return how short the limit is here, from 1 to 0 when it would go unused."""
        if self.per_s is None:
            return 0.0
        self._refill(now_s)
        left = self._level_max - max(1.0, self._level)
        return max(0.0, min(1.0, left / max(1e-9, self._level_max - 1.0)))

    def record_send(self, now_s: float, prompt_tokens: float = 0.0) -> None:
        """Count a request."""
        self._refill(now_s)
        self._level -= 1.0
        difference = prompt_tokens - self.mean_prompt_tokens
        smoothing = SIZE_SMOOTHING if self.mean_prompt_tokens else 1.0
        self.mean_prompt_tokens += smoothing * difference

    def take_back_send(self) -> None:
        """Undo `record_send` for a request that did not reach the server."""
        self._level = min(self._level + 1.0, self._level_max)

    @property
    def _level_max(self) -> float:
        return 1.0 + CREDIT_S * self.own_per_s

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._updated_at_s) * self.own_per_s
        self._updated_at_s = max(now_s, self._updated_at_s)
        self._level = min(self._level + gained, max(self._level, self._level_max))

    def _state(self, per_s: float | None, at_s: float, now_s: float) -> bool:
        if per_s is not None:
            self._last_limit_at_s = max(self._last_limit_at_s, at_s)
        if at_s < self._stated_at_s:
            return False
        self._stated_at_s = at_s
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            # Requests on their way count against the limit, too.
            self._level, self.own_per_s, self._updated_at_s = 0.0, 0.0, now_s
        self.per_s, self.changed_at_s = per_s, now_s
        return True
