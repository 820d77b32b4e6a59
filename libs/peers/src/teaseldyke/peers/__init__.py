"""Links between routers and their codec."""

from __future__ import annotations

__all__: list[str] = []
