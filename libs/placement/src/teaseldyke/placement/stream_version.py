"""Software versions of backend servers, to which streams that have begun are bound.

Load patterns: a release in which servers of several versions serve side by side, and
streams break off and are resumed meanwhile (`rejoined`); the same while routes are
moved to other services, or split.
Replayed in ``tests/test_stream_version.py``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set

import attrs

from .begun_streams import ServiceVersion
from .servers import ServerState
from .work import Work


def servers_for(states: Sequence[ServerState], work: Work) -> Sequence[ServerState]:
    """Return the servers that may serve a request.

    What servers of two versions generate does not fit together, so a stream continues
    at the version that began it, whatever a roll-out does.

    Parameters
    ----------
    states : sequence of ServerState
        Servers of the service.
    """
    if work.version:
        return [state for state in states if state.server.version == work.version]
    if work.side is not None:
        return [state for state in states if work.side.allows(state.server)]
    return states


def services_to_resume_at(
    split: Sequence[tuple[str, float]],
    begun_at: ServiceVersion,
    versions: Mapping[str, Set[str]],
) -> list[tuple[str, float]]:
    """Return the services that may go on with a stream, with their weights.

    The request's route decides where it may go, and the stream at which version.

    Parameters
    ----------
    split : sequence of tuple
        Services of the route, with their weights.
    begun_at : ServiceVersion
        Where the stream began.
    versions : mapping
        Versions of the servers that may get requests, by service.

    Examples
    --------
    >>> begun_at = ServiceVersion("old", "v1")
    >>> split = [("old", 1.0), ("new", 3.0)]
    >>> services_to_resume_at(split, begun_at, {"old": {"v1"}, "new": {"v1"}})
    [('old', 1.0)]
    >>> services_to_resume_at(split, begun_at, {"old": {"v2"}, "new": {"v1"}})
    [('new', 3.0)]
    >>> services_to_resume_at([("new", 3.0)], begun_at, {"new": {"v1", "v2"}})
    [('new', 3.0)]
    >>> services_to_resume_at([("new", 3.0)], begun_at, {"new": {"v2"}})
    []
    """
    able = [part for part in split if begun_at.version in versions.get(part[0], ())]
    # The servers that began it have read its prompt.
    own = [part for part in able or split if part[0] == begun_at.service]
    return own or able


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
