"""Counts and logs the callers' connections that end without a complete answer."""

from __future__ import annotations

from enum import Enum

import trio

from teaseldyke.telemetry import counter, log_decision

CONNECTIONS_CLOSED = counter(
    "teaseldyke_caller_connections_closed_total",
    "Connections closed here without a complete answer, by cause and request.",
)
IDLE_CLOSED = counter(
    "teaseldyke_idle_connections_closed_total",
    "Callers' connections closed without a whole request on them, by cause and side.",
)


class Side(Enum):
    """Which side closed a connection first."""

    INSTANCE = "instance"
    CALLER = "caller"
    SERVER = "server"
    UNKNOWN = "unknown"


class IdleClose(Enum):
    """Why a connection without a whole request was closed, and by which side."""

    IDLE_TIMEOUT = ("idle_timeout", Side.INSTANCE)
    FIRST_REQUEST_GRACE = ("first_request_grace", Side.INSTANCE)
    STOPPING = ("stopping", Side.INSTANCE)
    MEMORY = ("memory", Side.INSTANCE)
    CONNECTION_LIMIT = ("connection_limit", Side.INSTANCE)
    CALLER = ("caller", Side.CALLER)
    CALLER_IN_HEADER = ("caller_in_header", Side.CALLER)


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


def record_idle_close(cause: IdleClose) -> None:
    """Count the close of a connection on which no whole request has arrived."""
    name, side = cause.value
    IDLE_CLOSED.bind(cause=name, closed_by=side.value).add()


def side_of(error: Exception, peer: Side) -> Side:
    """Return which side closed a connection on which an error was raised.

    A connection that the network broke fails like one that its peer reset, but for the
    error number.

    Parameters
    ----------
    error : Exception
        As raised by `TcpStream`.
    peer : Side
        The other side.
    """
    if isinstance(error, trio.ClosedResourceError):
        return Side.INSTANCE
    if isinstance(error.__cause__, ConnectionError):
        return peer
    return Side.UNKNOWN


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
