"""Which requests a process begins when more arrive than it can serve."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

from teaseldyke.timers import boot_time_s, scheduler_passes

OVERLOAD_S = 1.0  # after a request waited too long; no others are let wait meanwhile
WINDOW_S = 1.0  # in which callers are compared by what they ask
BELOW_MEAN_FACTOR = 2.0  # of the time in which a pass begins requests of other callers


class Decision(Enum):
    """What happens to a request that has arrived."""

    ADMIT = "admit"
    DEFER = "defer"
    REFUSE = "refuse"


class RecentRequests:
    """Counts the requests of each caller in the current and the last window.

    Attributes
    ----------
    callers : int
        How many callers asked.
    """

    def __init__(self) -> None:
        self.callers = 0
        self._total = 0
        self._current: Counter[str] = Counter()
        self._last: Counter[str] = Counter()
        self._ends_at_s = -math.inf

    def count(self, caller: str, now_s: float) -> None:
        """Count a request."""
        if now_s >= self._ends_at_s:
            self._start_window(now_s)
        self.callers += not self._of(caller)
        self._total += 1
        self._current[caller] += 1

    def is_below_mean(self, caller: str) -> bool:
        """Return whether a caller asks less than the mean of all."""
        return self._of(caller) * self.callers < self._total

    def _of(self, caller: str) -> int:
        return self._current[caller] + self._last[caller]

    def _start_window(self, now_s: float) -> None:
        follows = now_s < self._ends_at_s + WINDOW_S
        self._last = self._current if follows else Counter()
        self._current = Counter()
        self._ends_at_s = now_s + WINDOW_S
        self.callers = len(self._last)
        self._total = self._last.total()


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
    recent : RecentRequests
        What the callers asked.
    """

    def __init__(self, begin_s: float = math.inf, wait_max_s: float = math.inf) -> None:
        self.refused_at_s = -math.inf
        self.recent = RecentRequests()
        self._refused = 0
        self._begin_s = begin_s
        self._wait_max_s = wait_max_s
        self._overloaded_until_s = -math.inf
        self._passes = scheduler_passes()

    def decide(self, unread_since_s: float, caller: str) -> Decision:
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
            return Decision.ADMIT
        now_s = boot_time_s()
        may_wait = now_s - unread_since_s <= self._wait_max_s
        if now_s >= self._overloaded_until_s:
            if may_wait:
                return Decision.DEFER
            self._overloaded_until_s = now_s + OVERLOAD_S
        if self.recent.is_below_mean(caller):
            if elapsed_s <= BELOW_MEAN_FACTOR * self._begin_s:
                return Decision.ADMIT
            if may_wait:
                return Decision.DEFER
        self.refused_at_s = now_s
        self._refused += 1
        return Decision.REFUSE

    def take_refused(self) -> int:
        """Return how many requests were refused since the last call."""
        refused = self._refused
        self._refused = 0
        return refused
