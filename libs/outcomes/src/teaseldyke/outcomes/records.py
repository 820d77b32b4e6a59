"""Durable records that make a non-idempotent request run at most once."""

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
from .endings import FinalStateWriter
from .errors import (
    AttemptRunning,
    KeyReused,
    OutcomeUnknown,
    RecordUnavailable,
    RowChanged,
)
from .limits import RecordLimits
from .observations import Observations
from .record import Record, StoredOutcome, decode_record, encode_record, row_key_of
from .renewal import Renewals
from .store_health import StoreHealth
from .sweep import Sweep

TABLE = "outcomes"
BEGIN_WRITES_MAX = 8  # conflicting writes of one row before a request is refused
RUNNING_RETRY_S = 1.0  # advised to callers while an attempt is running
SWEEP_INTERVAL_S = 10.0  # between two pages of the expiry sweep


@attrs.define(eq=False)
class OutcomeRecords:
    """Stores one row per (organisation, idempotency key), written before sending.

    The row of a new attempt has the state "running", which means that the request
    may have been sent; nothing more is written before the first byte is sent. A
    reader never starts an attempt over a running one, so neither a paused owner nor
    clock drift can make a request run twice. Only the owner abandons an attempt,
    once it is certain that nothing was sent and nothing will be.

    Parameters
    ----------
    table : TableService
        Stores the rows.
    objects : ObjectStore
        Stores bodies that are too large for a row.
    router, incarnation : str
        Name of this router, and identifier that differs after each restart.
    limits : RecordLimits
        Limits on time, memory and writes.
    random : random.Random
        Source of jitter.
    """

    table: TableService
    objects: ObjectStore
    router: str
    incarnation: str
    limits: RecordLimits = attrs.field(factory=RecordLimits)
    random: random.Random = attrs.field(factory=random.Random)
    _health: StoreHealth = attrs.field(init=False)
    _batcher: WriteBatcher = attrs.field(init=False)
    _final_states: FinalStateWriter = attrs.field(init=False)
    _observations: Observations = attrs.field(init=False)
    _renewals: Renewals = attrs.field(init=False)
    _sweep: Sweep = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        limits = self.limits
        self._health = StoreHealth(limits.begin_timeout_s, self.random)
        self._batcher = WriteBatcher(self.table, limits, self._health)
        self._final_states = FinalStateWriter(
            self._batcher, self.objects, TABLE, limits, self.random
        )
        self._observations = Observations(limits.lease_margin_s)
        self._renewals = Renewals(self._batcher, TABLE, limits)
        self._sweep = Sweep(self.table, TABLE, limits, self.random)

    @property
    def leases_held(self) -> int:
        """Number of attempts whose lease this process holds."""
        return len(self._renewals)

    @property
    def pending_final_states(self) -> int:
        """Number of final states not written to the store yet."""
        return self._final_states.pending

    @property
    def transactions(self) -> int:
        """Number of transactions sent to the store."""
        return self._batcher.transactions

    @property
    def rows_written(self) -> int:
        """Number of rows in the transactions sent to the store."""
        return self._batcher.rows_written

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Write rows, renew leases and remove expired rows until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._batcher.run)
            await nursery.start(self._final_states.run)
            timers = Timers(nursery)
            timers.every(self._renewals.interval_s, self._renewals.renew)
            first_s = self.random.uniform(0, SWEEP_INTERVAL_S)
            timers.every(
                SWEEP_INTERVAL_S, self._sweep.sweep_page, first_after_s=first_s
            )
            task_status.started()

    def set_router_count(self, routers: int) -> None:
        """Divide the fleet's transaction rate by this number of live routers."""
        self._batcher.set_router_count(routers)

    async def drained(self) -> None:
        """Wait until no final state is pending."""
        await self._final_states.drained()

    async def begin(
        self, organisation: str, key: str, fingerprint: str, *, service: str
    ) -> BeginResult:
        """Start the only attempt of a request, or return its stored answer.

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
            ``Started`` to send the request, ``Finished`` with its stored answer.

        Raises
        ------
        KeyReused
            If the key was used for a different request.
        AttemptRunning
            If another attempt may be executing.
        OutcomeUnknown
            If an attempt may have been executed and its answer is not stored.
        RecordUnavailable
            If the store fails or does not answer in time, or too many final states
            are pending; this request was not sent.
        """
        if self._final_states.pending >= self.limits.closings // 2:
            raise RecordUnavailable(
                f"{self._final_states.pending} outcomes are pending for the outcome "
                "store; this request was not sent",
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
        self._health.record_failure()
        raise RecordUnavailable(
            "the outcome store did not answer in time; this request was not sent",
            retry_after_s=self._health.backoff_s(),
        )

    def check(self, attempt: Attempt) -> None:
        """Raise `AttemptLapsed` unless the request may be sent at this moment."""
        attempt.check()

    def mark_sending(self, attempt: Attempt) -> None:
        """Check the lease a last time, right before the first byte is sent.

        Nothing is written: the row written by `begin` already means that the request
        may have been sent.
        """
        attempt.check()
        attempt.sent = True

    async def finish(self, attempt: Attempt, outcome: StoredOutcome) -> None:
        """Store the answer of an attempt in the background."""
        self._renewals.remove(attempt)
        self._final_states.start(attempt, "finished", outcome)

    async def mark_unknown(self, attempt: Attempt) -> None:
        """Mark an attempt as possibly executed, without a complete answer.

        The row is written in the background.
        """
        self._renewals.remove(attempt)
        self._final_states.start(attempt, "unknown")

    async def abandon(self, attempt: Attempt) -> None:
        """Release the key in the background: nothing was sent and nothing will be."""
        self._renewals.remove(attempt)
        self._final_states.start(attempt, "abandoned")

    async def _begin(self, attempt: Attempt) -> BeginResult:
        for _ in range(BEGIN_WRITES_MAX):
            try:
                return await self._write_running(attempt)
            except RowChanged as exc:
                row = exc.row
            except (PlatformUnavailable, AnswerLost) as exc:
                raise self._unavailable(exc.detail) from exc
            if row is None:
                attempt.version = ABSENT
                continue
            record = decode_record(row.value)
            if record.attempt_id == attempt.attempt_id:
                self._final_states.start(attempt, "abandoned")
                raise self._unavailable("an earlier write took effect late")
            if record.fingerprint != attempt.fingerprint:
                raise KeyReused(
                    "the idempotency key was used for a request with another method, "
                    "path or body; use a new key"
                )
            if record.state == "abandoned":
                attempt.version = row.version
                continue
            if record.state == "finished":
                return Finished(await self._load_outcome(record))
            if record.state == "running":
                await self._expire_attempt(attempt.row_key, row, record)
                continue
            raise OutcomeUnknown(
                "an earlier request with this idempotency key may have been executed; "
                "its answer is unknown and it will not be repeated"
            )
        raise self._unavailable(f"the row changed during {BEGIN_WRITES_MAX} writes")

    async def _write_running(self, attempt: Attempt) -> Started:
        """Write the row of an attempt; abandon the attempt if the result is unknown."""
        attempt.leased_at_s = trio.current_time()
        value = encode_record(attempt.record("running", time.time()))
        write = Write(TABLE, attempt.row_key, value, attempt.version)
        result_known = False
        try:
            attempt.version = await self._batcher.write(write, urgent=True)
            result_known = True
        except (PlatformUnavailable, RecordUnavailable, RowChanged):
            result_known = True
            raise
        finally:
            if not result_known:
                self._final_states.start(attempt, "abandoned")
        self._renewals.add(attempt)
        return Started(attempt, attempt.version)

    async def _expire_attempt(self, row_key: str, row: Row, record: Record) -> None:
        """Mark a running attempt as unknown once its lease has expired.

        Raises
        ------
        AttemptRunning
            If the lease has not expired yet, or this process holds it.
        RecordUnavailable
            If the store fails.
        """
        if record.attempt_id in self._renewals:
            raise _attempt_running(RUNNING_RETRY_S)
        if not self._is_earlier_incarnation(record):
            remaining_s = self._observations.remaining_s(
                row_key, row.version, record.lease_s
            )
            if remaining_s > 0:
                raise _attempt_running(min(remaining_s, RUNNING_RETRY_S))
        expired = attrs.evolve(record, state="unknown", written_at_s=time.time())
        write = Write(TABLE, row_key, encode_record(expired), row.version)
        try:
            await self._batcher.write(write, urgent=True)
        except RowChanged:
            pass
        except (PlatformUnavailable, AnswerLost) as exc:
            raise self._unavailable(exc.detail) from exc
        self._observations.forget(row_key)

    def _is_earlier_incarnation(self, record: Record) -> bool:
        """Return whether the owner is an earlier process of this router, now ended."""
        return record.router == self.router and record.incarnation != self.incarnation

    async def _load_outcome(self, record: Record) -> StoredOutcome:
        if record.truncated or record.outcome is None:
            raise OutcomeUnknown(
                "the request was already executed; its answer was too large to store"
            )
        if record.object_name is None:
            return record.outcome
        try:
            body = await self.objects.get(record.object_name)
        except PlatformUnavailable as exc:
            raise self._unavailable(exc.detail) from exc
        if body is None:
            raise OutcomeUnknown(
                "the request was already executed; its answer is no longer stored"
            )
        return attrs.evolve(record.outcome, body=body)

    def _unavailable(self, detail: str) -> RecordUnavailable:
        return RecordUnavailable(
            f"the outcome store failed ({detail}); this request was not sent",
            retry_after_s=max(RUNNING_RETRY_S, self._health.backoff_s()),
        )


def _attempt_running(retry_after_s: float) -> AttemptRunning:
    return AttemptRunning(
        "another request with this idempotency key is in progress; retry later",
        retry_after_s=retry_after_s,
    )
