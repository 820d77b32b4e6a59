"""Replay of recorded traces against stated outcomes."""

from __future__ import annotations

__all__: list[str] = []
