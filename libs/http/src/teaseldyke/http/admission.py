"""Admission control: sheds load when a process can't keep up with its callers."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

from teaseldyke.timers import boot_time_s, scheduler_passes

# How long requests are refused instead of deferred after some have waited too long.
LOAD_SHEDDING_S = 1.0
LATE_PASSES_TO_SHED = 2  # in a row; a single one may be a pause of the process
COUNT_WINDOW_S = 1.0  # in which the requests of each caller are counted
# Admission window of callers below the mean request rate, relative to the others'.
BELOW_MEAN_WINDOW_FACTOR = 2.0


class Decision(Enum):
    """Admission decision on a request that has arrived."""

    ADMIT = "admit"
    DEFER = "defer"
    REFUSE = "refuse"


class RecentRequests:
    """Counts the requests of each caller in the current and the previous window.

    Attributes
    ----------
    callers : int
        Number of callers with requests in the two windows.
    """

    def __init__(self) -> None:
        self.callers = 0
        self._total = 0
        self._current: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()
        self._ends_at_s = -math.inf

    def count(self, caller: str, now_s: float) -> None:
        """Count a request."""
        if now_s >= self._ends_at_s:
            self._start_window(now_s)
        self.callers += not self._count_of(caller)
        self._total += 1
        self._current[caller] += 1

    def is_below_mean(self, caller: str) -> bool:
        """Return whether a caller sent fewer requests than the mean of all callers."""
        return self._count_of(caller) * self.callers < self._total

    def _count_of(self, caller: str) -> int:
        return self._current[caller] + self._previous[caller]

    def _start_window(self, now_s: float) -> None:
        is_consecutive = now_s < self._ends_at_s + COUNT_WINDOW_S
        self._previous = self._current if is_consecutive else Counter()
        self._current = Counter()
        self._ends_at_s = now_s + COUNT_WINDOW_S
        self.callers = len(self._previous)
        self._total = self._previous.total()


class Admission:
    """Bounds the requests that are admitted in one pass of the scheduler.

    Without a bound, a process with more callers than it can serve polls its sockets
    later and later, which delays all of its work. A request outside the admission
    window of a pass is deferred to the next pass. Once requests have been deferred for
    too long in two passes in a row, the process sheds load: for a while requests are
    refused at once instead of deferred. Meanwhile callers that send fewer requests than
    the mean get a longer admission window and may still be deferred, so that a flooding
    caller doesn't get the others refused.

    Parameters
    ----------
    admission_window_s : float
        Time after the poll in which a pass admits requests.
    wait_max_s : float
        Time since its arrival after which a request that is deferred makes a pass late.

    Attributes
    ----------
    refused_at_s : float
        Time of the last refusal, on the clock of `boot_time_s`.
    recent : RecentRequests
        Recent requests of each caller.
    """

    def __init__(
        self, admission_window_s: float = math.inf, wait_max_s: float = math.inf
    ) -> None:
        self.refused_at_s = -math.inf
        self.recent = RecentRequests()
        self._refused = 0
        self._refused_by_caller: Counter[str] = Counter()
        self._admission_window_s = admission_window_s
        self._wait_max_s = wait_max_s
        self._shedding_until_s = -math.inf
        self._late_pass = -1
        self._late_passes_in_row = 0
        self._passes = scheduler_passes()

    def decide(self, unread_since_s: float, caller: str) -> Decision:
        """Decide whether to admit, defer or refuse a request.

        Parameters
        ----------
        unread_since_s : float
            Time before which it cannot have arrived, on the clock of `boot_time_s`.
        caller : str
            Address of the caller.
        """
        elapsed_s = self._passes.elapsed_s
        if elapsed_s <= self._admission_window_s:
            return Decision.ADMIT
        now_s = boot_time_s()
        may_wait = now_s - unread_since_s <= self._wait_max_s
        if not may_wait:
            self._record_late_pass()
        if now_s >= self._shedding_until_s:
            if may_wait or self._late_passes_in_row < LATE_PASSES_TO_SHED:
                return Decision.DEFER
            self._shedding_until_s = now_s + LOAD_SHEDDING_S
        if self.recent.is_below_mean(caller):
            if elapsed_s <= BELOW_MEAN_WINDOW_FACTOR * self._admission_window_s:
                return Decision.ADMIT
            if may_wait:
                return Decision.DEFER
        self.refused_at_s = now_s
        self._refused += 1
        self._refused_by_caller[caller] += 1
        return Decision.REFUSE

    def _record_late_pass(self) -> None:
        apart = self._passes.number - self._late_pass
        if apart == 0:
            return
        self._late_passes_in_row = self._late_passes_in_row + 1 if apart == 1 else 1
        self._late_pass = self._passes.number

    def take_refused(self) -> int:
        """Return the number of requests refused since the last call."""
        refused = self._refused
        self._refused = 0
        return refused

    def take_refused_by_caller(self) -> Counter[str]:
        """Return the requests refused since the last call, by address."""
        refused = self._refused_by_caller
        self._refused_by_caller = Counter()
        return refused
