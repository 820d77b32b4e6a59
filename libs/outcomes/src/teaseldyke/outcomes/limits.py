"""Limits of the outcome records."""

from __future__ import annotations

import attrs
from attrs.validators import gt


@attrs.frozen
class RecordLimits:
    """Limits on time, memory and writes of the outcome records.

    Parameters
    ----------
    lease_s : float
        Duration of a lease; after it the attempt may not be sent unless renewed.
    lease_margin_s : float
        Added by a reader to the lease of another router before it counts as expired.
    begin_timeout_s : float
        Time-out of the start of an attempt, after which the request is refused, and
        of each call of the store.
    gather_s : float
        Time for which writes that a request waits for are batched.
    finish_gather_s : float
        Time for which background writes are batched.
    batch_writes : int
        Most rows of one transaction.
    batch_bytes : int
        Bytes of values after which no more rows are added to a transaction.
    waiting_writes : int
        Queued urgent writes from which on a new attempt is refused at once.
    transactions_at_once : int
        Most transactions in flight.
    transactions_per_s : float
        Mean rate of transactions of the whole fleet.
    routers : int
        Routers that share the rate until `OutcomeRecords.set_router_count` is called.
    closings : int
        Most pending final states of attempts; further ones are dropped, and their
        attempts become unknown when the lease expires. New attempts are refused from
        half of it.
    closing_bytes : int
        Most bytes of answer bodies in pending final states.
    row_body_bytes : int
        Largest body stored in the row; larger ones go to the object store.
    object_body_bytes : int
        Largest body that is stored at all.
    retention_s : float
        Age after which a record is removed.
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
