"""Durable records by which a non-idempotent request runs at most once."""

from __future__ import annotations

import random
import time

import attrs
import trio

from teaseldyke.platform import ABSENT, ObjectStore, Row, TableService, Write
from teaseldyke.timers import Timers
from teaseldyke.types import AnswerLost, PlatformUnavailable

from .attempt import Attempt, BeginResult, Finished, Started
from .batcher import WriteBatcher
from .endings import Endings
from .errors import (
    AttemptRunning,
    KeyReused,
    OutcomeUnknown,
    RecordUnavailable,
    RowChanged,
)
from .limits import RecordLimits
from .observations import Observations
from .record import (
    Record,
    StoredOutcome,
    decode_record,
    encode_record,
    row_key_of,
)
from .renewal import Renewals
from .store_health import StoreHealth
from .sweep import Sweep

TABLE = "outcomes"
BEGIN_ROUNDS = 8  # rows read before a request is refused
RUNNING_RETRY_S = 1.0  # when to ask again for a running attempt
SWEEP_INTERVAL_S = 10.0  # between two pages of old records


@attrs.define(eq=False)
class OutcomeRecords:
    """One row for each (organisation, idempotency key), written before sending.

    The row of a new attempt says "running", which means that the request may have
    been sent; nothing more is written before the first byte leaves. No reader ever
    starts another attempt over a running one, so that neither a paused owner nor a
    clock can make a request run twice. Only the owner gives an attempt up, when it
    knows that nothing was sent and never will be.

    Parameters
    ----------
    table : TableService
        Keeps the rows.
    objects : ObjectStore
        Keeps bodies that are too large for a row.
    router, incarnation : str
        Names of this process and of this start of it.
    limits : RecordLimits
        Bounds on time, memory and writes.
    random : random.Random
        Source of the jitter.
    """

    table: TableService
    objects: ObjectStore
    router: str
    incarnation: str
    limits: RecordLimits = attrs.field(factory=RecordLimits)
    random: random.Random = attrs.field(factory=random.Random)
    _health: StoreHealth = attrs.field(init=False)
    _batcher: WriteBatcher = attrs.field(init=False)
    _endings: Endings = attrs.field(init=False)
    _observations: Observations = attrs.field(init=False)
    _renewals: Renewals = attrs.field(init=False)
    _sweep: Sweep = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        limits = self.limits
        self._health = StoreHealth(limits.begin_timeout_s, self.random)
        self._batcher = WriteBatcher(self.table, limits, self._health)
        self._endings = Endings(self._batcher, self.objects, TABLE, limits, self.random)
        self._observations = Observations(limits.lease_margin_s)
        self._renewals = Renewals(self._batcher, TABLE, limits)
        self._sweep = Sweep(self.table, TABLE, limits, self.random)

    @property
    def leases_held(self) -> int:
        """Attempts that this process has begun and not ended."""
        return len(self._renewals)

    @property
    def endings_waiting(self) -> int:
        """Ends of attempts that do not stand in the store yet."""
        return self._endings.waiting

    @property
    def transactions(self) -> int:
        """Transactions sent to the store so far."""
        return self._batcher.transactions

    @property
    def rows_written(self) -> int:
        """Rows in the transactions sent to the store so far."""
        return self._batcher.rows_written

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Write rows, renew leases and remove old rows until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._batcher.run)
            await nursery.start(self._endings.run)
            timers = Timers(nursery)
            timers.every(self._renewals.interval_s, self._renewals.renew)
            first_s = self.random.uniform(0, SWEEP_INTERVAL_S)
            timers.every(SWEEP_INTERVAL_S, self._sweep.page, first_after_s=first_s)
            task_status.started()

    def set_router_count(self, routers: int) -> None:
        """Share the fleet's rate of transactions with this many live routers."""
        self._batcher.set_router_count(routers)

    async def drained(self) -> None:
        """Wait until the end of every ended attempt stands in the store."""
        await self._endings.drained()

    async def begin(
        self, organisation: str, key: str, fingerprint: str, *, service: str
    ) -> BeginResult:
        """Start the only attempt of a request, or return its kept answer.

        Parameters
        ----------
        organisation, key : str
            The organisation and its idempotency key.
        fingerprint : str
            Of the request; see `fingerprint_of`.
        service : str
            Service that the request is for.

        Returns
        -------
        Started or Finished
            Whether to send the request or to answer it.

        Raises
        ------
        KeyReused
            If the key belongs to another request.
        AttemptRunning
            If another attempt may be executing.
        OutcomeUnknown
            If an attempt may have been executed and its answer is not kept.
        RecordUnavailable
            If the store does not answer in time; this request was not sent.
        """
        if self._endings.waiting >= self.limits.closings // 2:
            raise RecordUnavailable(
                f"{self._endings.waiting} outcomes wait for the store; "
                "this request was not sent",
                retry_after_s=RUNNING_RETRY_S,
            )
        self._health.admit()
        attempt = Attempt(
            row_key=row_key_of(organisation, key),
            service=service,
            fingerprint=fingerprint,
            router=self.router,
            incarnation=self.incarnation,
            lease_s=self.limits.lease_s,
        )
        with trio.move_on_after(self.limits.begin_timeout_s):
            return await self._begin(attempt)
        self._health.failed()
        raise RecordUnavailable(
            "the store of outcomes did not answer in time; this request was not sent",
            retry_after_s=self._health.pause_s(),
        )

    def check(self, attempt: Attempt) -> None:
        """Raise `AttemptLapsed` unless the request may be sent at this moment."""
        attempt.check()

    def mark_sending(self, attempt: Attempt) -> None:
        """Check the lease a last time, right before the first byte leaves.

        Nothing is written: the row that `begin` wrote already says that the request
        may have been sent.
        """
        attempt.check()
        attempt.sent = True

    async def finish(self, attempt: Attempt, outcome: StoredOutcome) -> None:
        """Keep the answer of an attempt; the write goes on in the background."""
        self._renewals.remove(attempt)
        self._endings.start(attempt, "finished", outcome)

    async def mark_unknown(self, attempt: Attempt) -> None:
        """Note that an attempt may have been executed and has no whole answer."""
        self._renewals.remove(attempt)
        self._endings.start(attempt, "unknown")

    async def abandon(self, attempt: Attempt) -> None:
        """Free the key: nothing was sent and nothing will be."""
        self._renewals.remove(attempt)
        self._endings.start(attempt, "abandoned")

    async def _begin(self, attempt: Attempt) -> BeginResult:
        for _ in range(BEGIN_ROUNDS):
            try:
                return await self._start(attempt)
            except RowChanged as exc:
                row = exc.row
            except (PlatformUnavailable, AnswerLost) as exc:
                raise self._unavailable(exc.detail) from exc
            if row is None:
                attempt.version = ABSENT
                continue
            record = decode_record(row.value)
            if record.attempt_id == attempt.attempt_id:
                self._endings.start(attempt, "abandoned")
                raise self._unavailable("the row was written too late")
            if record.fingerprint != attempt.fingerprint:
                raise KeyReused(
                    "the idempotency key belongs to a request with another method, "
                    "path or body; use a new key"
                )
            if record.state == "abandoned":
                attempt.version = row.version
                continue
            if record.state == "finished":
                return Finished(await self._kept(record))
            if record.state == "running":
                await self._expire(attempt.row_key, row, record)
                continue
            raise OutcomeUnknown(
                "an earlier request with this idempotency key may have been executed; "
                "its answer is not known and it is not run again"
            )
        raise self._unavailable("the row changed too often")

    async def _start(self, attempt: Attempt) -> Started:
        """Write the row of an attempt; without a sure result, give it up."""
        attempt.leased_at_s = trio.current_time()
        value = encode_record(attempt.record("running", time.time()))
        write = Write(TABLE, attempt.row_key, value, attempt.version)
        settled = False
        try:
            attempt.version = await self._batcher.write(write, urgent=True)
            settled = True
        except (PlatformUnavailable, RecordUnavailable, RowChanged):
            settled = True
            raise
        finally:
            if not settled:
                self._endings.start(attempt, "abandoned")
        self._renewals.add(attempt)
        return Started(attempt, attempt.version)

    async def _expire(self, row_key: str, row: Row, record: Record) -> None:
        """Turn a running attempt into an unknown one once its lease has run out."""
        if record.attempt_id in self._renewals:
            raise _running(RUNNING_RETRY_S)
        if not self._is_own_earlier(record):
            remaining_s = self._observations.remaining_s(
                row_key, row.version, record.lease_s
            )
            if remaining_s > 0:
                raise _running(min(remaining_s, RUNNING_RETRY_S))
        lapsed = attrs.evolve(record, state="unknown", written_at_s=time.time())
        write = Write(TABLE, row_key, encode_record(lapsed), row.version)
        try:
            await self._batcher.write(write, urgent=True)
        except RowChanged:
            pass
        except (PlatformUnavailable, AnswerLost) as exc:
            raise self._unavailable(exc.detail) from exc
        self._observations.forget(row_key)

    def _is_own_earlier(self, record: Record) -> bool:
        return record.router == self.router and record.incarnation != self.incarnation

    async def _kept(self, record: Record) -> StoredOutcome:
        if record.truncated or record.outcome is None:
            raise OutcomeUnknown(
                "the request was executed before; its answer was too large to keep"
            )
        if record.object_name is None:
            return record.outcome
        try:
            body = await self.objects.get(record.object_name)
        except PlatformUnavailable as exc:
            raise self._unavailable(exc.detail) from exc
        if body is None:
            raise OutcomeUnknown(
                "the request was executed before; its answer is not kept any more"
            )
        return attrs.evolve(record.outcome, body=body)

    def _unavailable(self, detail: str) -> RecordUnavailable:
        return RecordUnavailable(
            f"the store of outcomes failed ({detail}); this request was not sent",
            retry_after_s=max(RUNNING_RETRY_S, self._health.pause_s()),
        )


def _running(retry_after_s: float) -> AttemptRunning:
    return AttemptRunning(
        "another request with this idempotency key is under way; ask again later",
        retry_after_s=retry_after_s,
    )
