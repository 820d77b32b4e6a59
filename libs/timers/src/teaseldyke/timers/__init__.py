"""Periodic callbacks, a clock that includes suspended time, and event-loop delays."""

from __future__ import annotations

from .clock import boot_time_s
from .passes import SchedulerPasses, scheduler_passes
from .service import Timers

__all__ = ["SchedulerPasses", "Timers", "boot_time_s", "scheduler_passes"]
