"""Settings of a process, read from YAML and checked."""

from __future__ import annotations

__all__: list[str] = []
