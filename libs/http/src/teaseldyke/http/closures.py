"""Counts and logs the callers' connections that end without a complete answer."""

from __future__ import annotations

from enum import Enum

from teaseldyke.telemetry import counter, log_decision

CONNECTIONS_CLOSED = counter(
    "teaseldyke_caller_connections_closed_total",
    "Connections closed here without a complete answer, by cause and request.",
)


class Cause(Enum):
    """Why this process closed a caller's connection."""

    SEND_TIMEOUT = "send_timeout"
    PROCESS_ENDED = "process_ended"
    CONNECTION_LIMIT = "connection_limit"
    ANSWER_FAILED = "answer_failed"


class RequestState(Enum):
    """How far the request on the connection had come."""

    UNREAD = "unread"
    UNANSWERED = "unanswered"
    CUT = "cut"


def record_closure(cause: Cause, state: RequestState, caller: str = "") -> None:
    """Count and log a connection that this process closes."""
    CONNECTIONS_CLOSED.bind(cause=cause.value, request=state.value).add()
    log_decision(
        "caller_connection_closed",
        id=None,  # unknown here; many such lines must not displace others
        cause=cause.value,
        request=state.value,
        caller=caller,
    )
