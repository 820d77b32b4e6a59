"""Renews the leases of the attempts that this process holds."""

from __future__ import annotations

import time

import attrs
import trio

from teaseldyke.platform import Row, Write
from teaseldyke.types import AnswerLost, PlatformUnavailable

from .attempt import Attempt
from .batcher import WriteBatcher
from .errors import RowChanged
from .limits import RecordLimits
from .record import decode_record, encode_record

RENEWALS_PER_LEASE = 4  # looks at the held attempts in the time of one lease


@attrs.define(eq=False)
class Renewals:
    """Extends the leases that are half over, one write each.

    Most requests end before half of their lease and cost no renewal. A lease that
    can't be renewed lapses; what was sent before runs on.

    Parameters
    ----------
    batcher : WriteBatcher
        Through which rows are written.
    table : str
        Name of the table.
    limits : RecordLimits
        For the length of a lease.
    """

    batcher: WriteBatcher
    table: str
    limits: RecordLimits
    _held: dict[str, Attempt] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._held

    @property
    def interval_s(self) -> float:
        """Seconds between two calls of `renew`."""
        return self.limits.lease_s / RENEWALS_PER_LEASE

    def add(self, attempt: Attempt) -> None:
        """Renew an attempt from now on."""
        self._held[attempt.attempt_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Let an attempt's lease lapse; it may not be sent any more."""
        attempt.lost = True
        self._held.pop(attempt.attempt_id, None)

    async def renew(self) -> None:
        """Renew the leases that are half over, all at once."""
        if self.batcher.health.pause_s() > 0:
            return
        due_s = trio.current_time() - self.limits.lease_s / 2
        async with trio.open_nursery() as nursery:
            for attempt in self._held.values():
                if attempt.leased_at_s > due_s or attempt.lost:
                    continue
                nursery.start_soon(self._renew, attempt)

    async def _renew(self, attempt: Attempt) -> None:
        leased_at_s = trio.current_time()
        attempt.renewals += 1
        value = encode_record(attempt.record("running", time.time()))
        write = Write(self.table, attempt.row_key, value, attempt.version)
        try:
            attempt.version = await self.batcher.write(write, urgent=False)
            attempt.leased_at_s = leased_at_s
        except RowChanged as exc:
            _learn_from(exc.row, attempt)
        except (PlatformUnavailable, AnswerLost):
            return


def _learn_from(row: Row | None, attempt: Attempt) -> None:
    """Learn from the row why a renewal found another version."""
    if row is None:
        attempt.lost = True
        return
    record = decode_record(row.value)
    if record.attempt_id != attempt.attempt_id or record.state != "running":
        attempt.lost = True
        return
    attempt.version = row.version
