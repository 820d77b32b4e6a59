"""Timer service that parts of a process subscribe to."""

from __future__ import annotations

from .service import Timers

__all__ = ["Timers"]
