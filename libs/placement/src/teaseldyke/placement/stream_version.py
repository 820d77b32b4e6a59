"""Software versions of backend servers, to which streams that have begun are bound.

Load pattern: a release in which servers of several versions serve side by side, and
streams break off and are resumed meanwhile (`rejoined`).
Replayed in ``tests/test_stream_version.py``.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from .servers import ServerState
from .work import Work


def servers_for(states: Sequence[ServerState], work: Work) -> Sequence[ServerState]:
    """Return the servers that may serve a request.

    What servers of two versions generate does not fit together, so a stream continues
    at the version that began it.

    Parameters
    ----------
    states : sequence of ServerState
        Servers of the service.
    """
    if not work.version:
        return states
    return [state for state in states if state.server.version == work.version]


def may_copy_memory(source: ServerState, target: ServerState) -> bool:
    """Return whether an engine may fetch the memory that another one has cached."""
    return source is not target and source.server.version == target.server.version


def bound_to(work: Work, version: str) -> Work:
    """Return the work of a stream that a server of a version has begun.

    Parameters
    ----------
    version : str
        Empty for a stream that hasn't begun, which any server may serve.
    """
    return attrs.evolve(work, version=version, begun=work.begun or bool(version))
