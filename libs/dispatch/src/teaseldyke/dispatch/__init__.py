"""Queues, reports, grants and the dispatcher role."""

from __future__ import annotations

__all__: list[str] = []
