"""A monotonic clock that includes the time for which the machine is suspended."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return the seconds since boot, including suspended time.

    For deadlines of callers and for leases: trio's clock stops while the machine is
    suspended, and the wall clock may jump.

    Examples
    --------
    >>> first_s = boot_time_s()
    >>> boot_time_s() >= first_s
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
