"""Counts of a configuration reader."""

from __future__ import annotations

import attrs


@attrs.define
class ReaderCounters:
    """Counts since the start of the process.

    Parameters
    ----------
    store_reads, store_failures : int
        Looks at the head row, and those that failed.
    applied : int
        Versions that came into force.
    older_refused : int
        Older versions that were offered.
    documents_sent, documents_broken : int
        Documents sent to peers, and peers' documents that did not match their hash.
    notices_sent : int
        Versions told to peers.
    """

    store_reads: int = 0
    store_failures: int = 0
    applied: int = 0
    older_refused: int = 0
    documents_sent: int = 0
    documents_broken: int = 0
    notices_sent: int = 0
