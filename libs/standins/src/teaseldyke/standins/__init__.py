"""Stand-ins for backend servers and the platform."""

from __future__ import annotations

__all__: list[str] = []
