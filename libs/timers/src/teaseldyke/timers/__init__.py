"""Periodic work that parts of a process subscribe to, and its clocks."""

from __future__ import annotations

from .clock import boot_time_s
from .passes import SchedulerPasses, scheduler_passes
from .service import Timers

__all__ = ["SchedulerPasses", "Timers", "boot_time_s", "scheduler_passes"]
