"""The router process."""

from __future__ import annotations

__all__: list[str] = []
