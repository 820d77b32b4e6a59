"""Log and metric of the limits that backend servers state."""

from __future__ import annotations

from teaseldyke.placement import ServerState
from teaseldyke.telemetry import gauge, log_decision

LIMIT = gauge(
    "teaseldyke_server_limit_per_s",
    "Requests a second that a backend server states it takes; -1 without a limit.",
)


def log_limit_changed(
    state: ServerState, was_per_s: float | None, source: str, age_s: float
) -> None:
    """Log and export that a backend server states another limit.

    Parameters
    ----------
    source : str
        ``answer`` of the server, or the instance that told of it.
    age_s : float
        Longest time since the server stated it.
    """
    server = state.server
    per_s = state.limit.per_s
    LIMIT.bind(server=server.id).set(-1.0 if per_s is None else per_s)
    log_decision(
        "server_limit_changed",
        server=server.id,
        service=server.service,
        per_s=per_s,
        was_per_s=was_per_s,
        source=source,
        age_s=round(age_s, 3),
    )
