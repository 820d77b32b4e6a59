"""Removes records that are older than their retention."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs
import msgspec

from teaseldyke.platform import Row, TableService, Write
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

from .limits import RecordLimits
from .record import KEY_DIGEST_BYTES, decode_record

PAGE_ROWS = 100  # rows read, and rows removed at most, by one call


@attrs.define(eq=False)
class Sweep:
    """Looks at one page of the table at a time, starting anywhere.

    Row keys are digests, so that pages that start at random cover the table without
    any agreement between routers. Each call costs one read, seldom two, and at
    most one transaction.

    Parameters
    ----------
    table : TableService
        Keeps the rows.
    name : str
        Name of the table.
    limits : RecordLimits
        For the retention.
    random : random.Random
        Where the next page starts.
    wall_clock_s : callable
        Seconds since 1970; an error of minutes shortens the retention by as much.
    """

    table: TableService
    name: str
    limits: RecordLimits
    random: random.Random = attrs.field(factory=random.Random)
    wall_clock_s: Callable[[], float] = time.time
    removed: int = attrs.field(default=0, init=False)

    async def page(self) -> int:
        """Remove the old records of one page; return their number.

        A page that the store refuses or that changes meanwhile is left for later.
        """
        start = self.random.getrandbits(8 * KEY_DIGEST_BYTES)
        after = f"{start:0{2 * KEY_DIGEST_BYTES}x}"
        try:
            rows = await self._rows_after(after)
            writes = [self._removal(row) for row in rows if self._is_old(row)]
            if writes:
                await self.table.transact(writes)
        except (AnswerLost, PlatformUnavailable, WriteConflict):
            return 0
        self.removed += len(writes)
        return len(writes)

    async def _rows_after(self, after: str) -> list[Row]:
        """Return a page of rows; behind the last one follows the first."""
        rows = await self.table.scan(self.name, after=after, limit=PAGE_ROWS)
        missing = PAGE_ROWS - len(rows)
        if missing:
            rows += await self.table.scan(self.name, limit=missing)
        return list({row.key: row for row in rows}.values())

    def _removal(self, row: Row) -> Write:
        return Write(self.name, row.key, None, row.version)

    def _is_old(self, row: Row) -> bool:
        try:
            record = decode_record(row.value)
        except msgspec.DecodeError:
            return False
        return record.written_at_s + self.limits.retention_s < self.wall_clock_s()
