"""Concurrency limits of backend servers and their delegation."""

from __future__ import annotations

__all__: list[str] = []
