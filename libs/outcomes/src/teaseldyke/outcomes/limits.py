"""Limits of the records of outcomes."""

from __future__ import annotations

import attrs
from attrs.validators import gt


@attrs.frozen
class RecordLimits:
    """Bounds on time, memory and writes that the records take.

    Parameters
    ----------
    lease_s : float
        Time that an attempt may be sent in without a renewal.
    lease_margin_s : float
        Added by a reader before it takes an attempt for lost.
    begin_timeout_s : float
        Longest wait for the row of a new attempt; the request is refused after it.
    gather_s : float
        Time in which writes that someone waits for are gathered.
    finish_gather_s : float
        Time in which writes that nobody waits for are gathered.
    batch_writes : int
        Most rows of one transaction.
    batch_bytes : int
        Bytes of values after which a transaction takes no more rows.
    waiting_writes : int
        Writes above which a new attempt is refused at once.
    transactions_at_once : int
        Transactions under way at a time.
    transactions_per_s : float
        Mean rate of transactions of all routers together.
    routers : int
        Routers that share the rate until `OutcomeRecords.set_router_count` is called.
    closings : int
        Ends of attempts that wait for the store; more are left to the lease.
    closing_bytes : int
        Bytes of answers that wait for the store.
    row_body_bytes : int
        Largest body kept in the row; larger ones go to the object store.
    object_body_bytes : int
        Largest body kept at all.
    retention_s : float
        Time that a record is kept.
    """

    lease_s: float = attrs.field(default=10.0, validator=gt(0))
    lease_margin_s: float = attrs.field(default=2.0, validator=gt(0))
    begin_timeout_s: float = attrs.field(default=2.0, validator=gt(0))
    gather_s: float = attrs.field(default=0.002, validator=gt(0))
    finish_gather_s: float = attrs.field(default=0.1, validator=gt(0))
    batch_writes: int = attrs.field(default=64, validator=gt(0))
    batch_bytes: int = attrs.field(default=256 * 1024, validator=gt(0))
    waiting_writes: int = attrs.field(default=1024, validator=gt(0))
    transactions_at_once: int = attrs.field(default=4, validator=gt(0))
    transactions_per_s: float = attrs.field(default=400.0, validator=gt(0))
    routers: int = attrs.field(default=7, validator=gt(0))
    closings: int = attrs.field(default=2048, validator=gt(0))
    closing_bytes: int = attrs.field(default=16 * 1024 * 1024, validator=gt(0))
    row_body_bytes: int = attrs.field(default=4096, validator=gt(0))
    object_body_bytes: int = attrs.field(default=1024 * 1024, validator=gt(0))
    retention_s: float = attrs.field(default=86400.0, validator=gt(0))
