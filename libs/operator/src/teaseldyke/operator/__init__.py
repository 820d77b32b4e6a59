"""The operator command."""

from __future__ import annotations

__all__: list[str] = []
