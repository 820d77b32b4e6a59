"""Load reports of backend servers."""

from __future__ import annotations

from typing import Protocol

import attrs

from teaseldyke.types import BackendServer


@attrs.frozen
class LoadReport:
    """Load that a backend server reports, with a delay.

    Parameters
    ----------
    started_at_s : float
        When the server started, on its own clock; changes with each start.
    running, waiting : int
        Requests running and queued in the server.
    completed : int
        Requests completed since the start.
    """

    started_at_s: float
    running: int
    waiting: int
    completed: int


class LoadSource(Protocol):
    """Polls backend servers for their load."""

    async def load(self, server: BackendServer) -> LoadReport | None:
        """Return the report, or ``None`` if the server does not report its load.

        Raises `TeaseldykeError` when the server cannot be reached.
        """
        ...
