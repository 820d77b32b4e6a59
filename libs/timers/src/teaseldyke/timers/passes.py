"""Measures the delay with which the event loop reads its sockets."""

from __future__ import annotations

import trio

from .clock import boot_time_s

EMPTY_POLL_S = 0.0005  # a poll that took longer had no ready socket at its start
# A poll that ends so much later than its time-out was interrupted by a pause of the
# process, in which data may have arrived at any time.
PAUSE_MIN_S = 0.05


class SchedulerPasses(trio.abc.Instrument):
    """Instrument that times the passes of trio's scheduler.

    In a pass, trio runs each ready task until it blocks, and then polls the sockets.
    Data that arrives during a pass is not read before the next poll.

    Attributes
    ----------
    unread_since_s : float
        Lower bound of the arrival time of the data found by the last poll, on the
        clock of `boot_time_s`.
    longest_s : float
        Longest pass since the last call of `take_longest_s`.
    number : int
        Number of the current pass.
    """

    def __init__(self) -> None:
        now_s = boot_time_s()
        self.unread_since_s = now_s
        self.longest_s = 0.0
        self.number = 0
        self._started_at_s = now_s
        self._polled_at_s = now_s
        self._poll_timeout_s = 0.0

    @property
    def elapsed_s(self) -> float:
        """Duration of the current pass so far."""
        return boot_time_s() - self._started_at_s

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a pass."""
        self._poll_timeout_s = timeout
        self._polled_at_s = boot_time_s()
        self.longest_s = max(self.longest_s, self._polled_at_s - self._started_at_s)

    def after_io_wait(self, _timeout: float) -> None:
        """Record the start of a pass."""
        now_s = boot_time_s()
        poll_s = now_s - self._polled_at_s
        if poll_s > self._poll_timeout_s + PAUSE_MIN_S:
            self.unread_since_s = self._polled_at_s
        elif poll_s > EMPTY_POLL_S:
            self.unread_since_s = now_s
        else:
            self.unread_since_s = self._started_at_s
        self._started_at_s = now_s
        self.number += 1

    def take_longest_s(self) -> float:
        """Return the longest pass since the last call, including the current one."""
        longest_s = max(self.longest_s, self.elapsed_s)
        self.longest_s = 0.0
        return longest_s


_PASSES: trio.lowlevel.RunVar[SchedulerPasses] = trio.lowlevel.RunVar("passes")


def scheduler_passes() -> SchedulerPasses:
    """Return the instrument of the current trio run; the first call installs it.

    Examples
    --------
    >>> async def main():
    ...     passes = scheduler_passes()
    ...     await trio.sleep(0.01)
    ...     return scheduler_passes() is passes and passes.longest_s < 1.0
    >>> trio.run(main)
    True
    """
    try:
        return _PASSES.get()
    except LookupError:
        passes = SchedulerPasses()
        _PASSES.set(passes)
        trio.lowlevel.add_instrument(passes)
        return passes
