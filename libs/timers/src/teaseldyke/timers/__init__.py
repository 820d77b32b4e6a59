"""Periodic work that parts of a process subscribe to, and a steady clock."""

from __future__ import annotations

from .clock import boot_time_s
from .service import Timers

__all__ = ["Timers", "boot_time_s"]
