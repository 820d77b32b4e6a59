"""Which requests a process begins when more arrive than it can serve."""

from __future__ import annotations

import math
from enum import Enum

from teaseldyke.timers import boot_time_s, scheduler_passes

OVERLOAD_S = 1.0  # after a request waited too long; no others are let wait meanwhile


class Turn(Enum):
    """What happens to a request that has arrived."""

    NOW = "now"
    LATER = "later"
    REFUSED = "refused"


class Admission:
    """Bounds the requests that a pass of the scheduler begins.

    Without a bound a process with more callers than it can serve polls its sockets
    ever later, and all that it does comes late. What a pass can't begin waits for the
    next ones; once that takes too long, it is refused at once for a while.

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
    """

    def __init__(self, begin_s: float = math.inf, wait_max_s: float = math.inf) -> None:
        self.refused_at_s = -math.inf
        self._begin_s = begin_s
        self._wait_max_s = wait_max_s
        self._overloaded_until_s = -math.inf
        self._passes = scheduler_passes()

    def turn(self, unread_since_s: float) -> Turn:
        """Return what happens to a request that arrived after a moment."""
        if self._passes.elapsed_s <= self._begin_s:
            return Turn.NOW
        now_s = boot_time_s()
        if now_s >= self._overloaded_until_s:
            if now_s - unread_since_s <= self._wait_max_s:
                return Turn.LATER
            self._overloaded_until_s = now_s + OVERLOAD_S
        self.refused_at_s = now_s
        return Turn.REFUSED
