"""In-memory implementations of the three platform interfaces, for one process."""

from __future__ import annotations

import bisect
from collections.abc import Sequence

import attrs
import trio

from teaseldyke.types import WriteConflict

from .faults import CallCounts, Faults
from .interfaces import ABSENT, ANY_VERSION, Instance, Row, Write

INSTANCE_HISTORY_S = 60.0  # upper limit of the lag that can be simulated


@attrs.frozen
class TablesCopy:
    """Rows of a table service at one moment."""

    tables: dict[str, dict[str, Row]]
    deleted: dict[tuple[str, str], int]


@attrs.define
class MemoryTableService:
    """Transactional tables in memory.

    The version of a row never decreases: a row that is written again after its
    deletion continues from the version of the deletion. Only `restore` goes back.

    Parameters
    ----------
    faults : Faults
        Faults injected into the service.
    counts : CallCounts
        Reads and rows written so far.

    Attributes
    ----------
    era : int
        Rises with each restore.
    """

    faults: Faults = attrs.field(factory=Faults)
    counts: CallCounts = attrs.field(factory=CallCounts)
    era: int = attrs.field(default=1, init=False)
    _tables: dict[str, dict[str, Row]] = attrs.field(factory=dict, init=False)
    _deleted: dict[tuple[str, str], int] = attrs.field(factory=dict, init=False)

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        await self.faults.delay_or_refuse()
        self.counts.reads += 1
        return self._tables.get(table, {}).get(key)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return at most ``limit`` rows in key order.

        Their keys start with the prefix and sort after ``after``.
        """
        await self.faults.delay_or_refuse()
        self.counts.reads += 1
        rows = self._tables.get(table, {})
        keys = sorted(rows)
        found: list[Row] = []
        for key in keys[bisect.bisect_left(keys, prefix) :]:
            if not key.startswith(prefix) or len(found) >= limit:
                break
            if key <= after:
                continue
            found.append(rows[key])
        return found

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes atomically; return the new version of each row."""
        await self.faults.delay_or_refuse()
        self.counts.writes += len(writes)
        for write in writes:
            self._check(write)
        versions = [self._apply(write) for write in writes]
        self.faults.maybe_lose_answer()
        return versions

    def copy(self) -> TablesCopy:
        """Return a copy from which the tables can be restored."""
        tables = {name: dict(rows) for name, rows in self._tables.items()}
        return TablesCopy(tables, dict(self._deleted))

    def restore(self, copy: TablesCopy) -> None:
        """Go back to a copy: later writes are lost, their versions given out again."""
        self._tables = {name: dict(rows) for name, rows in copy.tables.items()}
        self._deleted = dict(copy.deleted)
        self.era += 1

    def _check(self, write: Write) -> None:
        if write.expected_version == ANY_VERSION:
            return
        row = self._tables.get(write.table, {}).get(write.key)
        found = ABSENT if row is None else row.version
        if found == write.expected_version:
            return
        raise WriteConflict(
            f"row {write.key!r} of table {write.table!r} has version {found}, "
            f"expected {write.expected_version}"
        )

    def _apply(self, write: Write) -> int:
        rows = self._tables.setdefault(write.table, {})
        row_id = (write.table, write.key)
        row = rows.pop(write.key, None)
        last_version = self._deleted.pop(row_id, 0) if row is None else row.version
        version = last_version + 1
        if write.value is None:
            self._deleted[row_id] = version
            return version
        rows[write.key] = Row(write.key, version, write.value)
        return version


@attrs.define
class MemoryObjectStore:
    """Objects in memory, read and written as a whole.

    Parameters
    ----------
    faults : Faults
        Faults injected into the store.
    counts : CallCounts
        Reads and writes so far.
    """

    faults: Faults = attrs.field(factory=Faults)
    counts: CallCounts = attrs.field(factory=CallCounts)
    _objects: dict[str, bytes] = attrs.field(factory=dict, init=False)

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any of the same name."""
        await self.faults.delay_or_refuse()
        self.counts.writes += 1
        self._objects[name] = data
        self.faults.maybe_lose_answer()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        await self.faults.delay_or_refuse()
        self.counts.reads += 1
        return self._objects.get(name)

    async def names(self, prefix: str = "") -> list[str]:
        """Return the sorted names that start with the prefix."""
        await self.faults.delay_or_refuse()
        self.counts.reads += 1
        return sorted(name for name in self._objects if name.startswith(prefix))


@attrs.frozen
class _Announcement:
    instance: Instance
    at_s: float
    expires_at_s: float


@attrs.define
class MemoryInstanceList:
    """Instance list in memory; expiry and lag use trio's clock.

    Parameters
    ----------
    faults : Faults
        Faults injected into the list; ``lag_s`` is its replication lag.
    counts : CallCounts
        Reads and announcements so far.
    """

    faults: Faults = attrs.field(factory=Faults)
    counts: CallCounts = attrs.field(factory=CallCounts)
    _history: dict[str, list[_Announcement]] = attrs.field(factory=dict, init=False)

    async def instances(self) -> list[Instance]:
        """Return the live and leaving instances as they were ``lag_s`` ago."""
        await self.faults.delay_or_refuse()
        self.counts.reads += 1
        visible_at_s = trio.current_time() - min(self.faults.lag_s, INSTANCE_HISTORY_S)
        visible: list[Instance] = []
        for name in sorted(self._history):
            instance = self._instance_at(name, visible_at_s)
            if instance is not None:
                visible.append(instance)
        return visible

    async def announce(self, instance: Instance, ttl_s: float) -> None:
        """Create or renew an entry for ``ttl_s`` seconds."""
        await self.faults.delay_or_refuse()
        self.counts.writes += 1
        now_s = trio.current_time()
        self._discard_expired(now_s)
        announcement = _Announcement(instance, now_s, now_s + ttl_s)
        self._history.setdefault(instance.name, []).append(announcement)
        self.faults.maybe_lose_answer()

    def _instance_at(self, name: str, at_s: float) -> Instance | None:
        for announcement in reversed(self._history[name]):
            if announcement.at_s > at_s:
                continue
            if announcement.expires_at_s <= at_s:
                return None
            return announcement.instance
        return None

    def _discard_expired(self, now_s: float) -> None:
        oldest_s = now_s - INSTANCE_HISTORY_S
        for name, announcements in list(self._history.items()):
            while len(announcements) > 1 and announcements[1].at_s < oldest_s:
                del announcements[0]
            if announcements[-1].expires_at_s < oldest_s:
                del self._history[name]
