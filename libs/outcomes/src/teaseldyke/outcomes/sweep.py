"""Removes records whose retention period has passed."""

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

PAGE_ROWS = 100  # most rows read, and most rows removed, by one call


@attrs.define(eq=False)
class Sweep:
    """Removes the expired records of one page at a time, at random positions.

    Row keys are digests, so pages at random positions cover the table without
    coordination between routers. Each call costs one read, rarely two, and at most
    one transaction.

    Parameters
    ----------
    table : TableService
        Stores the rows.
    name : str
        Name of the table.
    limits : RecordLimits
        Sets the retention period.
    random : random.Random
        Source of the pages' positions.
    wall_clock_s : callable
        Returns seconds since 1970; a clock that is minutes fast shortens the
        retention by as much.
    """

    table: TableService
    name: str
    limits: RecordLimits
    random: random.Random = attrs.field(factory=random.Random)
    wall_clock_s: Callable[[], float] = time.time
    removed: int = attrs.field(default=0, init=False)

    async def sweep_page(self) -> int:
        """Remove the expired records of one page; return their number.

        If the store fails or a row changes in the meantime, the whole page is left
        for a later call.
        """
        start = self.random.getrandbits(8 * KEY_DIGEST_BYTES)
        after = f"{start:0{2 * KEY_DIGEST_BYTES}x}"
        try:
            rows = await self._scan_page(after)
            writes = [self._deletion(row) for row in rows if self._is_expired(row)]
            if writes:
                await self.table.transact(writes)
        except (AnswerLost, PlatformUnavailable, WriteConflict):
            return 0
        self.removed += len(writes)
        return len(writes)

    async def _scan_page(self, after: str) -> list[Row]:
        """Return a page of rows; after the last row it continues at the first."""
        rows = await self.table.scan(self.name, after=after, limit=PAGE_ROWS)
        missing = PAGE_ROWS - len(rows)
        if missing:
            rows += await self.table.scan(self.name, limit=missing)
        return list({row.key: row for row in rows}.values())

    def _deletion(self, row: Row) -> Write:
        return Write(self.name, row.key, None, row.version)

    def _is_expired(self, row: Row) -> bool:
        try:
            record = decode_record(row.value)
        except msgspec.DecodeError:
            return False
        return record.written_at_s + self.limits.retention_s < self.wall_clock_s()
