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

RENEWALS_PER_LEASE = 4  # calls of `Renewals.renew` within one lease


@attrs.define(eq=False)
class Renewals:
    """Renews leases past half of their duration, with one row write each.

    Most requests end within the first half of their lease and need no renewal. A
    lease that can't be renewed expires; a request sent before continues.

    Parameters
    ----------
    batcher : WriteBatcher
        Writes the rows.
    table : str
        Name of the table.
    limits : RecordLimits
        Sets the duration of a lease.
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
        """Renew the lease of an attempt until it is removed."""
        self._held[attempt.attempt_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Give up the lease of an attempt, which may not be sent after this."""
        attempt.lease_lost = True
        self._held.pop(attempt.attempt_id, None)

    async def renew(self) -> None:
        """Renew all leases past half of their duration, concurrently."""
        if self.batcher.health.backoff_s() > 0:
            return
        half_lease_ago_s = trio.current_time() - self.limits.lease_s / 2
        async with trio.open_nursery() as nursery:
            for attempt in self._held.values():
                if attempt.leased_at_s > half_lease_ago_s or attempt.lease_lost:
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
            _handle_conflict(exc.row, attempt)
        except (PlatformUnavailable, AnswerLost):
            return


def _handle_conflict(row: Row | None, attempt: Attempt) -> None:
    """Mark the lease as lost, or take the row's version for the next renewal.

    The row may hold an earlier renewal of the same attempt whose answer was lost.
    """
    if row is None:
        attempt.lease_lost = True
        return
    record = decode_record(row.value)
    if record.attempt_id != attempt.attempt_id or record.state != "running":
        attempt.lease_lost = True
        return
    attempt.version = row.version
