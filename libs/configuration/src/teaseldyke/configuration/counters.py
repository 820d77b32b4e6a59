"""Counters of a configuration reader."""

from __future__ import annotations

import attrs


@attrs.define
class ReaderCounters:
    """Counts since the start of the process.

    Parameters
    ----------
    store_reads, store_failures : int
        Polls of the store, and polls that failed.
    applied : int
        Versions that came into force.
    older_refused : int
        Snapshots rejected because they were older than the version in force.
    documents_sent, documents_broken : int
        Documents sent to peers, and received documents that were invalid.
    notices_sent : int
        Version notices sent to peers.
    """

    store_reads: int = 0
    store_failures: int = 0
    applied: int = 0
    older_refused: int = 0
    documents_sent: int = 0
    documents_broken: int = 0
    notices_sent: int = 0
