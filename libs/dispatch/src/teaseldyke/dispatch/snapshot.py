"""Status snapshot of the dispatch library."""

from __future__ import annotations

import attrs


@attrs.frozen
class ServerSnapshot:
    """One backend server as its dispatcher sees it."""

    server: str
    limit: int
    in_flight: int
    foreign: int
    is_ejected: bool


@attrs.frozen
class ShardSnapshot:
    """One shard as this router sees it.

    Parameters
    ----------
    shard, dispatcher : str
        Name of the shard, and of the router that this one reports to.
    is_acting : bool
        Whether this router issues the grants.
    servers : tuple of ServerSnapshot
        Empty unless this router is acting.
    gap : float
        Largest difference of virtual time between backlogged organisations; 0
        unless this router is acting.
    """

    shard: str
    dispatcher: str
    is_acting: bool
    servers: tuple[ServerSnapshot, ...]
    gap: float


@attrs.frozen
class QueueSnapshot:
    """One queue of this router."""

    service: str
    organisation: str
    waiting: int
    oldest_age_s: float


@attrs.frozen
class DispatchSnapshot:
    """Queues, limits and roles of this router."""

    queues: tuple[QueueSnapshot, ...]
    shards: tuple[ShardSnapshot, ...]
    running: int
