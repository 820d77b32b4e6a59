"""How a send used its connection, for logs."""

from __future__ import annotations

import attrs

from teaseldyke.http import ServerConnection


@attrs.define
class ConnectionUse:
    """How one send used its connection to a backend server.

    Parameters
    ----------
    is_reused : bool
        Whether an earlier send had used the connection.
    idle_s : float
        How long it had been idle before the send; 0 if it was new.

    Attributes
    ----------
    silent_s : float
        How long the server had been silent when the send ended; 0 unless it was waited
        for.
    closed_by : str or None
        Which side closed the connection; ``None`` if it went back to the pool.
    """

    is_reused: bool
    idle_s: float
    silent_s: float = attrs.field(default=0.0, init=False)
    closed_by: str | None = attrs.field(default=None, init=False)

    @classmethod
    def begin(cls, connection: ServerConnection, now_s: float) -> ConnectionUse:
        """Return the use of a connection by a send that begins now."""
        idle_s = now_s - connection.idle_since_s if connection.used else 0.0
        return cls(connection.used, idle_s)

    def end(self, connection: ServerConnection, silent_s: float) -> None:
        """Record the end of the send."""
        self.silent_s = silent_s
        closed_by = connection.closed_by
        self.closed_by = closed_by.value if closed_by is not None else None
