"""Naive configuration store and reader, for comparison.

The store writes row by row without conditions and repeats a write whose answer was
lost; the reader puts whatever it reads in force.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from teaseldyke.configuration import (
    AcceptedChange,
    ApplySheet,
    Change,
    ChangeRecord,
    Head,
    SetSwitch,
    Sheet,
    Snapshot,
)
from teaseldyke.platform import TableService, Write
from teaseldyke.types import AnswerLost, Organisation, PlatformUnavailable, Switches

TABLE = "naive"
VERSION_KEY = "version"
SHARE_PREFIX = "share/"
SWITCH_PREFIX = "switch/"
ATTEMPTS = 8


@attrs.define
class NaiveStore:
    """Configuration store that reads and writes row by row.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    """

    table: TableService

    async def load(self) -> Snapshot:
        """Read version, shares and switches one after another, not as a snapshot."""
        version = await self._version()
        organisations = {}
        for row in await self.table.scan(TABLE, SHARE_PREFIX):
            name = row.key.removeprefix(SHARE_PREFIX)
            organisations[name] = Organisation(name, float(row.value))
        out = set()
        for row in await self.table.scan(TABLE, SWITCH_PREFIX):
            if row.value == b"out":
                out.add(row.key.removeprefix(SWITCH_PREFIX))
        switches = Switches(failure_domains_out=frozenset(out))
        return Snapshot(Head(version=version), Sheet(organisations), switches)

    async def change(
        self, change: Change, change_id: str, operator: str
    ) -> AcceptedChange:
        """Overwrite the rows of a change and increment the version."""
        version = await self._version() + 1
        for key, value in _rows(change):
            await self._put(key, value)
        await self._put(VERSION_KEY, str(version).encode())
        record = ChangeRecord(version, change_id, "sheet", "", operator, 0.0, "")
        return AcceptedChange(record, None)

    async def _version(self) -> int:
        row = await self.table.get(TABLE, VERSION_KEY)
        return 0 if row is None else int(row.value)

    async def _put(self, key: str, value: bytes) -> None:
        for _ in range(ATTEMPTS):
            try:
                await self.table.transact([Write(TABLE, key, value)])
            except AnswerLost:
                continue
            return


@attrs.define(eq=False)
class NaiveReader:
    """Polls the store and puts every result in force.

    Parameters
    ----------
    store : NaiveStore
        Store to poll.
    observe : callable
        Called with each snapshot that comes into force.
    poll_interval_s : float
        Pause between two polls.
    """

    store: NaiveStore
    observe: Callable[[Snapshot], None]
    poll_interval_s: float

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await trio.sleep(self.poll_interval_s)
            try:
                snapshot = await self.store.load()
            except PlatformUnavailable:
                continue
            self.observe(snapshot)


def _rows(change: Change) -> list[tuple[str, bytes]]:
    if isinstance(change, SetSwitch):
        value = b"out" if change.out else b"in"
        return [(SWITCH_PREFIX + change.name, value)]
    assert isinstance(change, ApplySheet)
    return [
        (SHARE_PREFIX + organisation.name, str(organisation.share).encode())
        for organisation in change.sheet.organisations.values()
    ]
