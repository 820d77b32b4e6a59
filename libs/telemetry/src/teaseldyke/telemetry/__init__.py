"""Logs, counters, histograms and traces."""

from __future__ import annotations

__all__: list[str] = []
