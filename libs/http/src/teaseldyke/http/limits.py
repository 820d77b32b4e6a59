"""Limits that a server holds its callers to."""

from __future__ import annotations

import attrs

KIB = 1024  # bytes


@attrs.frozen
class ServerLimits:
    """Bounds of memory and time that one caller may take.

    Parameters
    ----------
    header_bytes : int
        Largest request line and header.
    header_timeout_s : float
        From the first byte of a request to the end of its header.
    idle_timeout_s : float
        Longest wait for the next request on a connection.
    body_bytes : int
        Largest request body.
    body_idle_timeout_s : float
        Longest pause within a request body.
    body_timeout_s : float
        From the end of the header to the end of the body.
    send_timeout_s : float
        Longest time in which a caller takes nothing of its answer.
    connections : int
        Connections held at once; further ones are answered with 503.
    stop_linger_s : float
        How long a stopping server still takes requests that were already under way.
    """

    header_bytes: int = 32 * KIB
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    body_bytes: int = 8 * KIB * KIB
    body_idle_timeout_s: float = 20.0
    body_timeout_s: float = 120.0
    send_timeout_s: float = 30.0
    connections: int = 4096
    stop_linger_s: float = 0.2
