"""Writes the final states of attempts in the background, with retries."""

from __future__ import annotations

import random
import time

import attrs
import trio

from teaseldyke.platform import ABSENT, ObjectStore, Row, Write
from teaseldyke.types import AnswerLost, PlatformUnavailable

from .attempt import Attempt, FinalState
from .batcher import WriteBatcher
from .errors import RecordUnavailable, RowChanged
from .limits import RecordLimits
from .record import Record, StoredOutcome, decode_record, encode_record

RETRY_MIN_S = 0.1
RETRY_MAX_S = 5.0
OBJECT_PREFIX = "outcomes/"


@attrs.define(eq=False)
class FinalStateWriter:
    """Writes the final state of each attempt, with retries during store outages.

    No request waits for these writes: the caller receives its answer first, and a
    repeated request fails with `AttemptRunning` until the final state is written.
    Pending states are limited in number and bytes; above the limits a state is
    dropped, its row stays "running", and readers change it to "unknown" once the
    lease has expired.

    Parameters
    ----------
    batcher : WriteBatcher
        Writes the rows.
    objects : ObjectStore
        Stores bodies that are too large for a row.
    table : str
        Name of the table.
    limits : RecordLimits
        Limits on pending states and on stored bodies.
    random : random.Random
        Source of jitter.
    """

    batcher: WriteBatcher
    objects: ObjectStore
    table: str
    limits: RecordLimits
    random: random.Random
    dropped: int = attrs.field(default=0, init=False)
    _pending: int = attrs.field(default=0, init=False)
    _pending_bytes: int = attrs.field(default=0, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _idle: trio.Event = attrs.field(factory=trio.Event, init=False)

    @property
    def pending(self) -> int:
        """Number of final states not written to the store yet."""
        return self._pending

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Write final states until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def drained(self) -> None:
        """Wait until no final state is pending."""
        while self._pending:
            self._idle = trio.Event()
            await self._idle.wait()

    def start(
        self,
        attempt: Attempt,
        final_state: FinalState,
        outcome: StoredOutcome | None = None,
    ) -> None:
        """Start writing the final state of an attempt; drops it above the limits."""
        size_bytes = len(outcome.body) if outcome is not None else 0
        too_many = self._pending >= self.limits.closings
        too_large = self._pending_bytes + size_bytes > self.limits.closing_bytes
        if self._nursery is None or too_many or (too_large and size_bytes):
            self.dropped += 1
            return
        self._pending += 1
        self._pending_bytes += size_bytes
        self._nursery.start_soon(
            self._write_final_state, attempt, final_state, outcome, size_bytes
        )

    async def _write_final_state(
        self,
        attempt: Attempt,
        final_state: FinalState,
        outcome: StoredOutcome | None,
        size_bytes: int,
    ) -> None:
        try:
            record = await self._record_of(attempt, final_state, outcome)
            await self._write_row(attempt, record)
        finally:
            self._pending -= 1
            self._pending_bytes -= size_bytes
            if not self._pending:
                self._idle.set()

    async def _record_of(
        self, attempt: Attempt, final_state: FinalState, outcome: StoredOutcome | None
    ) -> Record:
        now_s = time.time()
        if outcome is None or len(outcome.body) <= self.limits.row_body_bytes:
            return attempt.record(final_state, now_s, outcome=outcome)
        head = attrs.evolve(outcome, body=b"")
        if len(outcome.body) > self.limits.object_body_bytes:
            return attempt.record(final_state, now_s, outcome=head, truncated=True)
        name = f"{OBJECT_PREFIX}{attempt.attempt_id}"
        await self._put_object(name, outcome.body)
        return attempt.record(final_state, now_s, outcome=head, object_name=name)

    async def _put_object(self, name: str, data: bytes) -> None:
        failures = 0
        while True:
            try:
                await self.objects.put(name, data)
                return
            except (PlatformUnavailable, AnswerLost):
                failures += 1
            await self._back_off(failures)

    async def _write_row(self, attempt: Attempt, record: Record) -> None:
        """Write the final state over any earlier state of the same attempt."""
        failures = 0
        version = attempt.version
        value = encode_record(record)
        while True:
            write = Write(self.table, attempt.row_key, value, version)
            try:
                attempt.version = await self.batcher.write(write, urgent=False)
                return
            except RowChanged as exc:
                found_version = _version_to_replace(attempt, exc.row)
            except (PlatformUnavailable, AnswerLost, RecordUnavailable):
                failures += 1
                await self._back_off(failures)
                continue
            if found_version is None:
                return
            version = found_version

    async def _back_off(self, failures: int) -> None:
        backoff_s = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(failures - 1, 16))
        await trio.sleep(self.random.uniform(0.5, 1.0) * backoff_s)


def _version_to_replace(attempt: Attempt, row: Row | None) -> int | None:
    """Return the row version that the final state replaces.

    ``None`` if the row belongs to another attempt or is already "finished".
    """
    if row is None:
        return ABSENT
    record = decode_record(row.value)
    if record.attempt_id != attempt.attempt_id or record.state == "finished":
        return None
    return row.version
