"""Which requests a process begins when more arrive than it can serve."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

from teaseldyke.timers import boot_time_s, scheduler_passes

OVERLOAD_S = 1.0  # after a request waited too long; no others are let wait meanwhile
WINDOW_S = 1.0  # in which callers are compared by what they ask
MODEST_FACTOR = 2.0  # of the time in which a pass begins requests, for modest callers


class Turn(Enum):
    """What happens to a request that has arrived."""

    NOW = "now"
    LATER = "later"
    REFUSED = "refused"


class AskedLately:
    """Requests of each caller in this and the last window."""

    def __init__(self) -> None:
        self._now: Counter[str] = Counter()
        self._last: Counter[str] = Counter()
        self._ends_at_s = -math.inf

    @property
    def callers(self) -> int:
        """How many callers asked in this or the last window."""
        return len(self._now.keys() | self._last.keys())

    def count(self, caller: str, now_s: float) -> None:
        """Count a request."""
        if now_s >= self._ends_at_s:
            fresh = now_s < self._ends_at_s + WINDOW_S
            self._last = self._now if fresh else Counter()
            self._now = Counter()
            self._ends_at_s = now_s + WINDOW_S
        self._now[caller] += 1

    def is_modest(self, caller: str) -> bool:
        """Return whether a caller asks less than the callers' mean."""
        asked = self._now[caller] + self._last[caller]
        return asked * self.callers < self._now.total() + self._last.total()


class Admission:
    """Bounds the requests that a pass of the scheduler begins.

    Without a bound a process with more callers than it can serve polls its sockets
    ever later, and all that it does comes late. What a pass can't begin waits for the
    next ones; once that takes too long, it is refused at once for a while. Callers
    that ask less than the mean are then begun before the others, so that who shares
    the instance with a flooding caller is not refused in its place.

    Parameters
    ----------
    begin_s : float
        Time after the poll in which a pass begins requests.
    wait_max_s : float
        Longest wait for a pass that does.

    Attributes
    ----------
    refused_at_s : float
        When a request was refused last, on the clock of `boot_time_s`.
    asked : AskedLately
        What the callers asked.
    """

    def __init__(self, begin_s: float = math.inf, wait_max_s: float = math.inf) -> None:
        self.refused_at_s = -math.inf
        self.asked = AskedLately()
        self._begin_s = begin_s
        self._wait_max_s = wait_max_s
        self._overloaded_until_s = -math.inf
        self._passes = scheduler_passes()

    def turn(self, unread_since_s: float, caller: str) -> Turn:
        """Return what happens to a request.

        Parameters
        ----------
        unread_since_s : float
            It arrived after this moment.
        caller : str
            Address that it came from.
        """
        elapsed_s = self._passes.elapsed_s
        if elapsed_s <= self._begin_s:
            return Turn.NOW
        now_s = boot_time_s()
        waits_on = now_s - unread_since_s <= self._wait_max_s
        if now_s >= self._overloaded_until_s:
            if waits_on:
                return Turn.LATER
            self._overloaded_until_s = now_s + OVERLOAD_S
        if self.asked.is_modest(caller):
            if elapsed_s <= MODEST_FACTOR * self._begin_s:
                return Turn.NOW
            if waits_on:
                return Turn.LATER
        self.refused_at_s = now_s
        return Turn.REFUSED
