"""Limits that a server enforces on its callers."""

from __future__ import annotations

import attrs

KIB = 1024  # bytes


@attrs.frozen
class ServerLimits:
    """Size and time limits of one caller, and the connection limit of the server.

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
        Longest time without data within a request body.
    body_timeout_s : float
        From the end of the header to the end of the body.
    send_timeout_s : float
        Longest time for a caller to read one write of its response.
    connections : int
        Most connections open at once. Further ones are served in place of connections
        without a whole request, or get a 503 response if there are none.
    stop_linger_s : float
        How long a stopping server still accepts requests that were already in transit.
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
