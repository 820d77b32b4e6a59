"""Decides by majority whether a version is current."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class PeerVersion:
    """Version that a peer last reported.

    Parameters
    ----------
    version : int
        Version in force on the peer; 0 for none.
    ready : bool
        Whether the peer has confirmed it as current.
    received_at_s : float
        When the report was received, on trio's clock.
    """

    version: int
    ready: bool
    received_at_s: float


def is_confirmed_by_majority(
    version: int,
    peers: Iterable[str],
    reports: dict[str, PeerVersion],
    archived_version: int | None = None,
) -> bool:
    """Return whether a version is the newest that a majority of peers reports.

    Only peers that are ready count towards the majority, since a peer that started
    empty has no evidence. The archive of snapshots counts like one more ready peer, so
    it never suffices alone. The version must not be older than any reported one, or
    than the archived one.

    Parameters
    ----------
    version : int
        Version to check.
    peers : iterable of str
        Every known peer, whether it has reported or not.
    reports : dict
        Reports of peers, by name.
    archived_version : int, optional
        Newest version in the archive, if it could be read.

    Examples
    --------
    >>> reports = {"b": PeerVersion(4, True, 0.0), "c": PeerVersion(3, True, 0.0)}
    >>> is_confirmed_by_majority(4, ["b", "c", "d"], reports)
    True
    >>> is_confirmed_by_majority(3, ["b", "c", "d"], reports)
    False
    >>> is_confirmed_by_majority(4, ["b", "c", "d", "e"], reports)
    False
    """
    known = set(peers)
    if version < 1 or not known:
        return False
    reported = [reports[peer] for peer in known if peer in reports]
    ready_versions = [report.version for report in reported if report.ready]
    if not ready_versions:
        return False
    holders = len(ready_versions) + (archived_version is not None)
    newest = max([report.version for report in reported] + [archived_version or 0])
    return holders > len(known) / 2 and version >= newest
