"""Derives an instance's limits for callers from its machine."""

from __future__ import annotations

import math

import attrs

from .bodies import BODIES_MAX_BYTES
from .relay import BUFFER_GUARANTEED_BYTES, BUFFERED_MAX_BYTES
from .settings import GatewaySettings

MB = 1_000_000
# A process takes 40 MB at its start, and 55 MB in normal load with its connections to
# backend servers.
PROCESS_BYTES = 55 * MB
# Of the rest; what remains is lost to fragmentation and to copies of short life.
ACCOUNT_SHARE = 0.75
# Of the account, for bodies and for answers each; the last third is left for
# connections, so that bodies and answers don't keep out new callers.
BUFFERS_SHARE = 1 / 3
GUARANTEED_SHARE = 1 / 1024  # of the account, for each answer
MEMORY_MIN_BYTES = 8 * MB  # of the account, on a machine that is too small
RESERVED_DESCRIPTORS = 200  # for files
# Each running request needs a second descriptor, for its backend server. Peers and
# connections that are being refused need some hundred.
CALLERS_SHARE = 0.5  # of the descriptors that aren't reserved
CONNECTIONS_MIN = 16


@attrs.frozen
class CallerLimits:
    """Limits on what an instance holds for its callers.

    Parameters
    ----------
    memory_bytes : float
        For all that is held; infinite if the machine's memory is unknown.
    bodies_bytes : int
        For bodies of requests.
    answers_bytes : int
        For answers that are buffered completely.
    answer_guaranteed_bytes : int
        For one answer, also while ``answers_bytes`` is exceeded.
    connections : int
        Callers' connections.
    """

    memory_bytes: float
    bodies_bytes: int
    answers_bytes: int
    answer_guaranteed_bytes: int
    connections: int


def derive_caller_limits(
    settings: GatewaySettings, descriptors_allowed: int = 0
) -> CallerLimits:
    """Return the limits for the machine that the settings describe.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    descriptors_allowed : int
        File descriptors that the operating system allows, used if the settings state
        none; 0 if unknown.

    Examples
    --------
    >>> from teaseldyke.gateway.caller_limits import PROCESS_BYTES, MB
    >>> (128 * MB - PROCESS_BYTES) * ACCOUNT_SHARE / MB
    54.75
    """
    connections = settings.connections_max
    descriptors = settings.descriptors or descriptors_allowed
    if descriptors:
        usable = descriptors - RESERVED_DESCRIPTORS
        bound = max(CONNECTIONS_MIN, int(usable * CALLERS_SHARE))
        connections = min(connections, bound)
    memory_bytes = math.inf
    if settings.memory_mb:
        left_bytes = settings.memory_mb * MB - PROCESS_BYTES
        memory_bytes = max(MEMORY_MIN_BYTES, left_bytes * ACCOUNT_SHARE)
    buffers_bytes = memory_bytes * BUFFERS_SHARE
    return CallerLimits(
        memory_bytes,
        int(min(BODIES_MAX_BYTES, buffers_bytes)),
        int(min(BUFFERED_MAX_BYTES, buffers_bytes)),
        int(min(BUFFER_GUARANTEED_BYTES, memory_bytes * GUARANTEED_SHARE)),
        connections,
    )
