"""Weighted virtual-time order and service accounting."""

from __future__ import annotations

__all__: list[str] = []
