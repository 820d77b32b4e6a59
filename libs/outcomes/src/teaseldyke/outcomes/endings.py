"""Writes the end of attempts in the background until it stands."""

from __future__ import annotations

import random
import time

import attrs
import trio

from teaseldyke.platform import ABSENT, ObjectStore, Row, Write
from teaseldyke.types import (
    AnswerLost,
    PlatformUnavailable,
)

from .attempt import Attempt, Ending
from .batcher import WriteBatcher
from .errors import RecordUnavailable, RowChanged
from .limits import RecordLimits
from .record import Record, StoredOutcome, decode_record, encode_record

RETRY_MIN_S = 0.1
RETRY_MAX_S = 5.0
OBJECT_PREFIX = "outcomes/"


@attrs.define(eq=False)
class Endings:
    """Brings the end of each attempt into its row, through outages of the store.

    Nobody waits for it: the caller gets its answer first, and a repeated request is
    told "running" until the end stands. What waits is bounded in number and bytes;
    above that an end is dropped, its row stays "running", and readers resolve it to
    "unknown".

    Parameters
    ----------
    batcher : WriteBatcher
        Through which rows are written.
    objects : ObjectStore
        Takes bodies that are too large for a row.
    table : str
        Name of the table.
    limits : RecordLimits
        Sizes and numbers.
    random : random.Random
        Source of the jitter.
    """

    batcher: WriteBatcher
    objects: ObjectStore
    table: str
    limits: RecordLimits
    random: random.Random
    dropped: int = attrs.field(default=0, init=False)
    _waiting: int = attrs.field(default=0, init=False)
    _waiting_bytes: int = attrs.field(default=0, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _idle: trio.Event = attrs.field(factory=trio.Event, init=False)

    @property
    def waiting(self) -> int:
        """Ends that do not stand in the store yet."""
        return self._waiting

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Write ends until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def drained(self) -> None:
        """Wait until every end stands in the store."""
        while self._waiting:
            self._idle = trio.Event()
            await self._idle.wait()

    def start(
        self, attempt: Attempt, ending: Ending, outcome: StoredOutcome | None = None
    ) -> None:
        """Begin to write the end of an attempt."""
        size_bytes = len(outcome.body) if outcome is not None else 0
        full = self._waiting >= self.limits.closings
        heavy = self._waiting_bytes + size_bytes > self.limits.closing_bytes
        if self._nursery is None or full or (heavy and size_bytes):
            self.dropped += 1
            return
        self._waiting += 1
        self._waiting_bytes += size_bytes
        self._nursery.start_soon(self._end, attempt, ending, outcome, size_bytes)

    async def _end(
        self,
        attempt: Attempt,
        ending: Ending,
        outcome: StoredOutcome | None,
        size_bytes: int,
    ) -> None:
        try:
            record = await self._record_of(attempt, ending, outcome)
            await self._write(attempt, record)
        finally:
            self._waiting -= 1
            self._waiting_bytes -= size_bytes
            if not self._waiting:
                self._idle.set()

    async def _record_of(
        self, attempt: Attempt, ending: Ending, outcome: StoredOutcome | None
    ) -> Record:
        now_s = time.time()
        if outcome is None or len(outcome.body) <= self.limits.row_body_bytes:
            return attempt.record(ending, now_s, outcome=outcome)
        head = attrs.evolve(outcome, body=b"")
        if len(outcome.body) > self.limits.object_body_bytes:
            return attempt.record(ending, now_s, outcome=head, truncated=True)
        name = f"{OBJECT_PREFIX}{attempt.attempt_id}"
        await self._put(name, outcome.body)
        return attempt.record(ending, now_s, outcome=head, object_name=name)

    async def _put(self, name: str, data: bytes) -> None:
        failures = 0
        while True:
            try:
                await self.objects.put(name, data)
                return
            except (PlatformUnavailable, AnswerLost):
                failures += 1
            await self._pause(failures)

    async def _write(self, attempt: Attempt, record: Record) -> None:
        """Write the end over whatever this attempt has left in its row."""
        failures = 0
        version = attempt.version
        value = encode_record(record)
        while True:
            write = Write(self.table, attempt.row_key, value, version)
            try:
                attempt.version = await self.batcher.write(write, urgent=False)
                return
            except RowChanged as exc:
                found = _version_to_replace(attempt, exc.row)
            except (PlatformUnavailable, AnswerLost, RecordUnavailable):
                failures += 1
                await self._pause(failures)
                continue
            if found is None:
                return
            version = found

    async def _pause(self, failures: int) -> None:
        pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(failures - 1, 16))
        await trio.sleep(self.random.uniform(0.5, 1.0) * pause_s)


def _version_to_replace(attempt: Attempt, row: Row | None) -> int | None:
    """Return the version to write an end over, or ``None`` if it is settled."""
    if row is None:
        return ABSENT
    record = decode_record(row.value)
    if record.attempt_id != attempt.attempt_id or record.state == "finished":
        return None
    return row.version
