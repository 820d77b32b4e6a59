"""Batches conditional writes of single rows into transactions."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

import attrs
import trio

from teaseldyke.platform import ABSENT, Row, TableService, Write
from teaseldyke.types import (
    AnswerLost,
    PlatformUnavailable,
    TeaseldykeError,
    WriteConflict,
)

from .errors import RecordUnavailable, RowChanged
from .limits import RecordLimits
from .store_health import StoreHealth
from .token_bucket import TokenBucket

BATCH_TRANSACTIONS_MAX = 4  # tries before the remaining writes of a batch fail
BURST_S = 0.25  # burst of the token bucket, as seconds at the mean rate
BURST_MIN = 2.0  # transactions


@attrs.define(eq=False)
class _PendingWrite:
    """A write whose result has not been returned yet."""

    write: Write
    due_at_s: float
    done: trio.Event = attrs.field(factory=trio.Event)
    version: int = 0
    error: TeaseldykeError | None = None
    abandoned: bool = False

    def succeed(self, version: int) -> None:
        self.version = version
        self.done.set()

    def fail(self, error: TeaseldykeError) -> None:
        self.error = error
        self.done.set()


@attrs.define(eq=False)
class WriteBatcher:
    """Combines the row writes of many callers into few transactions.

    A value must be unique to its write: after a lost answer the write is taken as
    applied if the row holds exactly this value. A conflict of one write does not
    fail the other writes of its transaction. Writes of one row are serialised and
    never share a transaction.

    Parameters
    ----------
    table : TableService
        Stores the rows.
    limits : RecordLimits
        Batch sizes, rates and time-outs.
    health : StoreHealth
        Receives the result of every transaction; background writes start no
        transaction during its backoff.
    """

    table: TableService
    limits: RecordLimits
    health: StoreHealth
    transactions: int = attrs.field(default=0, init=False)
    rows_written: int = attrs.field(default=0, init=False)
    _urgent: deque[_PendingWrite] = attrs.field(factory=deque, init=False)
    _background: deque[_PendingWrite] = attrs.field(factory=deque, init=False)
    _row_queues: dict[str, deque[_PendingWrite]] = attrs.field(factory=dict, init=False)
    _wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    _slots: trio.Semaphore = attrs.field(init=False)
    _bucket: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = trio.Semaphore(self.limits.transactions_at_once)
        self._bucket = TokenBucket(1.0, BURST_MIN)
        self.set_router_count(self.limits.routers)

    def set_router_count(self, routers: int) -> None:
        """Limit the rate to an equal share of the fleet's transaction rate."""
        rate_per_s = self.limits.transactions_per_s / max(1, routers)
        burst = max(BURST_MIN, rate_per_s * BURST_S)
        self._bucket.resize(rate_per_s, burst)

    @property
    def pending(self) -> int:
        """Number of queued writes that are not part of a transaction yet."""
        return len(self._urgent) + len(self._background)

    async def write(self, write: Write, *, urgent: bool) -> int:
        """Apply one conditional write and return the new version of the row.

        Parameters
        ----------
        write : Write
            With an expected version.
        urgent : bool
            Whether a request waits for the write.

        Raises
        ------
        RowChanged
            If the row has another version, and not the value of this write.
        PlatformUnavailable
            If the write certainly had no effect and will have none.
        AnswerLost
            If the write may have had, or may still have, an effect.
        RecordUnavailable
            If the queue of urgent writes is full; this write was not queued.
        """
        if urgent and len(self._urgent) >= self.limits.waiting_writes:
            raise RecordUnavailable(
                f"{len(self._urgent)} writes are queued for the outcome store; "
                "this request was not sent",
                retry_after_s=1.0,
            )
        gather_s = self.limits.gather_s if urgent else self.limits.finish_gather_s
        pending = _PendingWrite(write, trio.current_time() + gather_s)
        (self._urgent if urgent else self._background).append(pending)
        self._wakeup.set()
        try:
            await pending.done.wait()
        finally:
            pending.abandoned = True
        if pending.error is not None:
            raise pending.error
        return pending.version

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send transactions until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await self._wait_until_due()
                await self._slots.acquire()
                batch = self._take_batch()
                if not batch:
                    self._slots.release()
                    continue
                self._bucket.try_take()
                nursery.start_soon(self._flush, batch)

    async def _wait_until_due(self) -> None:
        """Wait until a write is due and the rate limit and backoff allow it."""
        while True:
            self._wakeup = trio.Event()
            wait_s = min(self._urgent_wait_s(), self._background_wait_s())
            if wait_s <= 0:
                return
            with trio.move_on_after(wait_s):
                await self._wakeup.wait()

    def _urgent_wait_s(self) -> float:
        # Ignores the backoff of the store: an admitted request is the probe that
        # ends it.
        if not self._urgent:
            return math.inf
        due_in_s = self._urgent[0].due_at_s - trio.current_time()
        return max(due_in_s, self._bucket.wait_s())

    def _background_wait_s(self) -> float:
        # Leaves one token for the next urgent write; background writes can share its
        # transaction.
        if not self._background:
            return math.inf
        due_in_s = self._background[0].due_at_s - trio.current_time()
        return max(due_in_s, self._bucket.wait_s(2.0), self.health.backoff_s())

    def _take_batch(self) -> list[_PendingWrite]:
        """Dequeue the writes of the next transaction.

        A write to a row with a write in flight is moved to the queue of that row.
        """
        batch: list[_PendingWrite] = []
        size_bytes = 0
        for queue in (self._urgent, self._background):
            while queue and len(batch) < self.limits.batch_writes:
                if size_bytes >= self.limits.batch_bytes:
                    break
                pending = queue.popleft()
                if pending.abandoned:
                    continue
                key = pending.write.key
                if key in self._row_queues:
                    self._row_queues[key].append(pending)
                    continue
                self._row_queues[key] = deque()
                size_bytes += len(pending.write.value or b"")
                batch.append(pending)
        return batch

    async def _flush(self, batch: list[_PendingWrite]) -> None:
        try:
            await self._resolve(batch)
        finally:
            self._slots.release()
            for pending in batch:
                queued = self._row_queues.pop(pending.write.key)
                self._urgent.extendleft(reversed(queued))
            self._wakeup.set()

    async def _resolve(self, batch: list[_PendingWrite]) -> None:
        """Send a batch until the result of each of its writes is known.

        After `BATCH_TRANSACTIONS_MAX` transactions the remaining writes fail with
        `AnswerLost`.
        """
        unresolved = batch
        answer_lost = False
        for _ in range(BATCH_TRANSACTIONS_MAX):
            try:
                versions = await self._transact(
                    [pending.write for pending in unresolved]
                )
            except WriteConflict:
                pass
            except PlatformUnavailable as exc:
                self.health.record_failure()
                error = AnswerLost(exc.detail) if answer_lost else exc
                _fail_all(unresolved, error)
                return
            except TeaseldykeError:
                answer_lost = True
            else:
                self.health.record_success()
                for pending, version in zip(unresolved, versions, strict=True):
                    pending.succeed(version)
                return
            unresolved = await self._resolve_by_reading(unresolved)
            if not unresolved:
                return
        _fail_all(
            unresolved, AnswerLost("the result of a write could not be determined")
        )

    async def _transact(self, writes: Sequence[Write]) -> list[int]:
        self.transactions += 1
        self.rows_written += len(writes)
        with trio.move_on_after(self.limits.begin_timeout_s):
            return await self.table.transact(writes)
        raise AnswerLost("the outcome store did not answer a transaction in time")

    async def _resolve_by_reading(
        self, batch: list[_PendingWrite]
    ) -> list[_PendingWrite]:
        """Read the rows of the writes; return the writes that may be sent again."""
        async with trio.open_nursery() as nursery:
            for pending in batch:
                nursery.start_soon(self._resolve_by_row, pending)
        if any(isinstance(pending.error, AnswerLost) for pending in batch):
            self.health.record_failure()
        else:
            self.health.record_success()
        return [pending for pending in batch if not pending.done.is_set()]

    async def _resolve_by_row(self, pending: _PendingWrite) -> None:
        write = pending.write
        try:
            row = await self._read_row(write)
        except TeaseldykeError as exc:
            pending.fail(AnswerLost(exc.detail))
            return
        if row is not None and row.value == write.value:
            pending.succeed(row.version)
            return
        found_version = ABSENT if row is None else row.version
        if found_version != write.expected_version:
            pending.fail(
                RowChanged(
                    f"row {write.key!r} has version {found_version}, "
                    f"expected {write.expected_version}",
                    row,
                )
            )

    async def _read_row(self, write: Write) -> Row | None:
        with trio.move_on_after(self.limits.begin_timeout_s):
            return await self.table.get(write.table, write.key)
        raise PlatformUnavailable("the outcome store did not answer a read in time")


def _fail_all(batch: list[_PendingWrite], error: TeaseldykeError) -> None:
    for pending in batch:
        pending.fail(type(error)(error.detail))
