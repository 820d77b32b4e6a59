"""Logs and metrics of what backend servers state of themselves in their answers."""

from __future__ import annotations

from teaseldyke.placement import ServerState
from teaseldyke.telemetry import counter, gauge, log_decision
from teaseldyke.types import AnnouncedServer

LIMIT = gauge(
    "teaseldyke_server_limit_per_s",
    "Requests a second that a backend server states it takes; -1 without a limit.",
)

SAID_LEAVING = counter(
    "teaseldyke_servers_said_leaving_total",
    "Backend servers whose answers said that they leave, by service and source.",
)


def log_said_leaving(server: AnnouncedServer, source: str) -> None:
    """Log and count that a backend server said that it leaves.

    Parameters
    ----------
    source : str
        ``answer`` of the server, or the instance that told of it.
    """
    kind = "answer" if source == "answer" else "instance"
    SAID_LEAVING.bind(service=server.service, source=kind).add()
    log_decision(
        "server_said_leaving",
        server=server.id,
        entry_leaving=server.leaving,
        source=source,
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
