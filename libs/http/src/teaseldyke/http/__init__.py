"""HTTP on both sides of a router."""

from __future__ import annotations

__all__: list[str] = []
