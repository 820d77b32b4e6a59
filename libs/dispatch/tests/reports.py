"""Base report, which tests vary with `attrs.evolve`."""

from __future__ import annotations

from teaseldyke.dispatch.messages import Report

REPORT = Report(
    shard="s",
    incarnation=7,
    seq=1,
    sent_at_s=0.0,
    echo_incarnation=0,
    echo_seq=0,
    echo_sent_at_s=0.0,
    seen_seq=0,
    members=3,
    promise_changes=1,
    held_for_s=0.0,
    predecessors_gone=False,
    joined=True,
    wants_release=False,
    term=0,
)
