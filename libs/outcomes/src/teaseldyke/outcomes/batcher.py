"""Gathers conditional writes of single rows into transactions."""

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

SETTLE_ROUNDS = 4  # transactions that one batch may take
BURST_S = 0.25  # of the mean rate of transactions
BURST_MIN = 2.0  # transactions


@attrs.define(eq=False)
class _Waiting:
    """A write that somebody waits for."""

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
    """Writes rows singly for its callers and together for the store.

    A value must be unique to its write: after a lost answer the write counts as done
    when the row holds just this value. A conflict of one write leaves the others of
    its transaction alone. Two writes of one row never share a transaction and follow
    one another.

    Parameters
    ----------
    table : TableService
        Where the rows are.
    limits : RecordLimits
        Sizes, rates and waits.
    health : StoreHealth
        Told of every answer; nothing is sent in its pauses.
    """

    table: TableService
    limits: RecordLimits
    health: StoreHealth
    transactions: int = attrs.field(default=0, init=False)
    rows_written: int = attrs.field(default=0, init=False)
    _urgent: deque[_Waiting] = attrs.field(factory=deque, init=False)
    _patient: deque[_Waiting] = attrs.field(factory=deque, init=False)
    _parked: dict[str, deque[_Waiting]] = attrs.field(factory=dict, init=False)
    _arrived: trio.Event = attrs.field(factory=trio.Event, init=False)
    _slots: trio.Semaphore = attrs.field(init=False)
    _bucket: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = trio.Semaphore(self.limits.transactions_at_once)
        self._bucket = TokenBucket(1.0, BURST_MIN)
        self.set_router_count(self.limits.routers)

    def set_router_count(self, routers: int) -> None:
        """Take an equal part of the rate that all routers have together."""
        rate_per_s = self.limits.transactions_per_s / max(1, routers)
        burst = max(BURST_MIN, rate_per_s * BURST_S)
        self._bucket.resize(rate_per_s, burst)

    @property
    def waiting(self) -> int:
        """Writes that no transaction has taken yet."""
        return len(self._urgent) + len(self._patient)

    async def write(self, write: Write, *, urgent: bool) -> int:
        """Apply one conditional write and return the new version of the row.

        Parameters
        ----------
        write : Write
            With an expected version.
        urgent : bool
            Whether a request waits for it.

        Raises
        ------
        RowChanged
            If another version stood and the value is not ours.
        PlatformUnavailable
            If the write surely had no effect and will have none.
        AnswerLost
            If it may have had or still have an effect.
        RecordUnavailable
            If too many writes wait; this one was not taken.
        """
        if urgent and len(self._urgent) >= self.limits.waiting_writes:
            raise RecordUnavailable(
                f"{len(self._urgent)} writes wait for the store of outcomes; "
                "this request was not sent",
                retry_after_s=1.0,
            )
        gather_s = self.limits.gather_s if urgent else self.limits.finish_gather_s
        waiting = _Waiting(write, trio.current_time() + gather_s)
        (self._urgent if urgent else self._patient).append(waiting)
        self._arrived.set()
        try:
            await waiting.done.wait()
        finally:
            waiting.abandoned = True
        if waiting.error is not None:
            raise waiting.error
        return waiting.version

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send transactions until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await self._until_due()
                await self._slots.acquire()
                batch = self._take()
                if not batch:
                    self._slots.release()
                    continue
                self._bucket.try_take()
                nursery.start_soon(self._flush, batch)

    async def _until_due(self) -> None:
        """Wait until a write is due and the store may be asked."""
        while True:
            self._arrived = trio.Event()
            wait_s = min(self._urgent_wait_s(), self._patient_wait_s())
            if wait_s <= 0:
                return
            with trio.move_on_after(wait_s):
                await self._arrived.wait()

    def _urgent_wait_s(self) -> float:
        # Not held back by the pause of the store: a request is the trial that ends it.
        if not self._urgent:
            return math.inf
        due_in_s = self._urgent[0].due_at_s - trio.current_time()
        return max(due_in_s, self._bucket.wait_s())

    def _patient_wait_s(self) -> float:
        # Leaves a token to the next request, with whose row these may go too.
        if not self._patient:
            return math.inf
        due_in_s = self._patient[0].due_at_s - trio.current_time()
        return max(due_in_s, self._bucket.wait_s(2.0), self.health.pause_s())

    def _take(self) -> list[_Waiting]:
        """Remove the writes of the next transaction from the queues."""
        batch: list[_Waiting] = []
        size_bytes = 0
        for queue in (self._urgent, self._patient):
            while queue and len(batch) < self.limits.batch_writes:
                if size_bytes >= self.limits.batch_bytes:
                    break
                waiting = queue.popleft()
                if waiting.abandoned:
                    continue
                key = waiting.write.key
                if key in self._parked:
                    self._parked[key].append(waiting)
                    continue
                self._parked[key] = deque()
                size_bytes += len(waiting.write.value or b"")
                batch.append(waiting)
        return batch

    async def _flush(self, batch: list[_Waiting]) -> None:
        try:
            await self._settle(batch)
        finally:
            self._slots.release()
            for waiting in batch:
                parked = self._parked.pop(waiting.write.key)
                self._urgent.extendleft(reversed(parked))
            self._arrived.set()

    async def _settle(self, batch: list[_Waiting]) -> None:
        """Send a batch until each of its writes is known to stand or to have failed."""
        rest = batch
        lost = False
        for _ in range(SETTLE_ROUNDS):
            try:
                versions = await self._transact([waiting.write for waiting in rest])
            except WriteConflict:
                pass
            except PlatformUnavailable as exc:
                self.health.failed()
                error = AnswerLost(exc.detail) if lost else exc
                _fail_all(rest, error)
                return
            except TeaseldykeError:
                lost = True
            else:
                self.health.answered()
                for waiting, version in zip(rest, versions, strict=True):
                    waiting.succeed(version)
                return
            rest = await self._unsettled(rest)
            if not rest:
                return
        _fail_all(rest, AnswerLost("the outcome of a write could not be settled"))

    async def _transact(self, writes: Sequence[Write]) -> list[int]:
        self.transactions += 1
        self.rows_written += len(writes)
        with trio.move_on_after(self.limits.begin_timeout_s):
            return await self.table.transact(writes)
        raise AnswerLost("the store did not answer a transaction in time")

    async def _unsettled(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Settle writes by their rows; return those that may be sent again."""
        async with trio.open_nursery() as nursery:
            for waiting in batch:
                nursery.start_soon(self._settle_by_row, waiting)
        if any(isinstance(waiting.error, AnswerLost) for waiting in batch):
            self.health.failed()
        else:
            self.health.answered()
        return [waiting for waiting in batch if not waiting.done.is_set()]

    async def _settle_by_row(self, waiting: _Waiting) -> None:
        write = waiting.write
        try:
            row = await self._read(write)
        except TeaseldykeError as exc:
            waiting.fail(AnswerLost(exc.detail))
            return
        if row is not None and row.value == write.value:
            waiting.succeed(row.version)
            return
        found = ABSENT if row is None else row.version
        if found != write.expected_version:
            waiting.fail(
                RowChanged(
                    f"row {write.key!r} has version {found}, "
                    f"expected {write.expected_version}",
                    row,
                )
            )

    async def _read(self, write: Write) -> Row | None:
        with trio.move_on_after(self.limits.begin_timeout_s):
            return await self.table.get(write.table, write.key)
        raise PlatformUnavailable("the store did not answer a read in time")


def _fail_all(batch: list[_Waiting], error: TeaseldykeError) -> None:
    for waiting in batch:
        waiting.fail(type(error)(error.detail))
