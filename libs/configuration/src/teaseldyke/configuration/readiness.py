"""Decides whether a version may be believed current."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class PeerVersion:
    """What a peer last told of its version.

    Parameters
    ----------
    version : int
        Version in force there; 0 for none.
    ready : bool
        Whether the peer believes it current.
    heard_at_s : float
        On trio's clock.
    """

    version: int
    ready: bool
    heard_at_s: float


def is_believed_current(
    version: int,
    peers: Iterable[str],
    answers: dict[str, PeerVersion],
    archived_version: int | None = None,
) -> bool:
    """Return whether a version is the newest that a majority of peers knows.

    Only peers that are ready themselves count, since an empty one knows nothing. The
    archive of snapshots counts as one more holder, so it is never enough alone.

    Parameters
    ----------
    version : int
        Version in question.
    peers : iterable of str
        Every known peer, heard from or not.
    answers : dict
        What peers told, by name.
    archived_version : int, optional
        Newest version in the archive, if it could be read.

    Examples
    --------
    >>> answers = {"b": PeerVersion(4, True, 0.0), "c": PeerVersion(3, True, 0.0)}
    >>> is_believed_current(4, ["b", "c", "d"], answers)
    True
    >>> is_believed_current(3, ["b", "c", "d"], answers)
    False
    >>> is_believed_current(4, ["b", "c", "d", "e"], answers)
    False
    """
    known = set(peers)
    if version < 1 or not known:
        return False
    heard = [answers[peer] for peer in known if peer in answers]
    ready_versions = [answer.version for answer in heard if answer.ready]
    if not ready_versions:
        return False
    holders = len(ready_versions) + (archived_version is not None)
    newest = max([answer.version for answer in heard] + [archived_version or 0])
    return holders > len(known) / 2 and version >= newest
