"""A configuration kept by polling and overwriting, to compare with.

It writes row by row without conditions, repeats a write whose answer was lost, and
its readers take whatever version they find.
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
    """Reads, changes and writes back.

    Parameters
    ----------
    table : TableService
        Where the rows lie.
    """

    table: TableService

    async def load(self) -> Snapshot:
        """Read row by row."""
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
        """Write a change over whatever stands, and count the version up."""
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
    """Polls, and takes what it finds.

    Parameters
    ----------
    store : NaiveStore
        What is polled.
    observe : callable
        Called with each snapshot that comes into force.
    poll_interval_s : float
        Time between two polls.
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
