"""A steady clock that also counts the time in which the machine is suspended."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return seconds since the machine's start, suspended time included.

    Deadlines of callers and leases go by this clock: trio's own stops while the
    machine is suspended, and the time of day may jump.

    Examples
    --------
    >>> first_s = boot_time_s()
    >>> boot_time_s() >= first_s
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
