"""Consistent reads of the configuration from the platform."""

from __future__ import annotations

import contextlib

import attrs

from teaseldyke.platform import ABSENT, ObjectStore, Row, TableService
from teaseldyke.types import PlatformUnavailable, Switches

from .difference import apply_difference
from .encoding import check_hash, decode_sheet, decode_sheet_off_loop
from .errors import DocumentBroken
from .records import (
    HEAD_KEY,
    SHEET_KEY,
    SWITCH_PREFIX,
    TABLE,
    Head,
    SheetRow,
    SwitchRow,
    decode_row,
    sheet_object_name,
    switches_of,
)
from .sheet import Sheet
from .snapshot import Snapshot

MAX_LOAD_ATTEMPTS = 16  # a concurrent change makes a read inconsistent
SCAN_PAGE_ROWS = 1000  # rows per scan


@attrs.frozen
class LoadedSnapshot:
    """A snapshot and the version of its head row, for conditional writes."""

    snapshot: Snapshot
    head_row_version: int


@attrs.frozen
class ConfigurationLoader:
    """Reads head, sheet and switches of the same version.

    Parameters
    ----------
    table : TableService
        Holds head, sheet and switches.
    objects : ObjectStore
        Holds large sheets under their hash.
    """

    table: TableService
    objects: ObjectStore

    async def head(self) -> Head:
        """Read the head row, in a single small read."""
        return _head_of(await self.table.get(TABLE, HEAD_KEY))

    async def load(self, known: Snapshot) -> LoadedSnapshot:
        """Read the newest state; reuse the unchanged sheet or switches of ``known``.

        Raises
        ------
        PlatformUnavailable
            If the store cannot be read.
        DocumentBroken
            If a row or object does not match its hash or schema.
        """
        for _ in range(MAX_LOAD_ATTEMPTS):
            row = await self.table.get(TABLE, HEAD_KEY)
            head = _head_of(row)
            row_version = ABSENT if row is None else row.version
            if known.head == head:
                return LoadedSnapshot(known, row_version)
            sheet = await self._load_sheet(head, known)
            switches = await self._load_switches(head, known)
            if sheet is None or switches is None:
                continue  # a change was accepted between the reads
            return LoadedSnapshot(Snapshot(head, sheet, switches), row_version)
        raise PlatformUnavailable(
            f"the configuration changed during {MAX_LOAD_ATTEMPTS} successive reads"
        )

    async def sheet_by_hash(self, sha256: str) -> Sheet:
        """Read a sheet from the object store.

        Raises
        ------
        DocumentBroken
            If there is no such object or it does not match the hash.
        """
        data = await self.objects.get(sheet_object_name(sha256))
        if data is None:
            raise DocumentBroken(f"object {sheet_object_name(sha256)!r} is missing")
        return await decode_sheet_off_loop(data, sha256)

    async def _load_sheet(self, head: Head, known: Snapshot) -> Sheet | None:
        if head.sheet_sha256 == known.head.sheet_sha256:
            return known.sheet
        row = await self.table.get(TABLE, SHEET_KEY)
        if row is None:
            raise DocumentBroken(f"version {head.version} has no sheet row")
        sheet_row = decode_row(row.value, SheetRow)
        if sheet_row.version != head.sheet_version:
            return None
        difference = sheet_row.difference
        if difference and sheet_row.base_sha256 == known.head.sheet_sha256:
            with contextlib.suppress(DocumentBroken):
                sheet = apply_difference(known.sheet, difference)
                await check_hash(sheet, sheet_row.sha256)
                return sheet
        if sheet_row.data is not None:
            return decode_sheet(sheet_row.data, sheet_row.sha256)
        return await self.sheet_by_hash(sheet_row.sha256)

    async def _load_switches(self, head: Head, known: Snapshot) -> Switches | None:
        if head.switches_version == known.head.switches_version:
            return known.switches
        rows: list[SwitchRow] = []
        after = ""
        while True:
            rows_page = await self.table.scan(
                TABLE, SWITCH_PREFIX, after, SCAN_PAGE_ROWS
            )
            rows.extend(decode_row(row.value, SwitchRow) for row in rows_page)
            if len(rows_page) < SCAN_PAGE_ROWS:
                break
            after = rows_page[-1].key
        newest = max((row.version for row in rows), default=0)
        return switches_of(rows) if newest == head.switches_version else None


def _head_of(row: Row | None) -> Head:
    return Head() if row is None else decode_row(row.value, Head)
