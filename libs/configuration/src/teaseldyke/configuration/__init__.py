"""Sheets, versioned configuration and its propagation."""

from __future__ import annotations

__all__: list[str] = []
