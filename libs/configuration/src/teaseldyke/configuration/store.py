"""The versioned configuration in the platform's table service and object store."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import attrs
import trio

from teaseldyke.platform import ObjectStore, TableService
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

from .changes import ApplySheet, Change, SetSwitch, digest_of
from .encoding import EncodedSheet
from .errors import (
    BaseVersionUnknown,
    ChangeConflict,
    ChangeIdReused,
    ChangeOutcomeUnknown,
)
from .loading import ConfigurationLoader, Loaded
from .offloading import run_off_loop
from .preparation import ChangeRequest, Prepared, prepare
from .records import (
    HISTORY_PREFIX,
    TABLE,
    ChangeRecord,
    Head,
    SwitchRow,
    change_key,
    decode_row,
    history_key,
    sheet_object_name,
    switch_key,
)
from .sheet import Sheet
from .snapshot import Snapshot

ATTEMPTS = 64  # writes of one change, each on a newer head
OBJECT_ATTEMPTS = 3
RETRY_PAUSE_S = 0.05
SETTLE_TIMEOUT_S = 5.0  # time in which a lost answer is settled by reading


@attrs.frozen
class AcceptedChange:
    """A change that the store holds.

    Parameters
    ----------
    record : ChangeRecord
        What the history says about it.
    snapshot : Snapshot or None
        State that it made; ``None`` when an earlier request with the same id did.
    """

    record: ChangeRecord
    snapshot: Snapshot | None


@attrs.define
class _Attempt:
    """How far a change has come.

    ``lost_at`` is the version of the head's row that a write was conditional on whose
    answer was lost; while the head stands there, that write may still take effect.
    """

    request: ChangeRequest
    prepared: Prepared | None = None
    lost_at: int | None = None
    settle_until_s: float = 0.0


@attrs.define
class ConfigurationStore:
    """Reads and changes the configuration that lies in the platform.

    Every accepted change writes the head row on condition that it did not move, in
    one transaction with what it changes, its record and its id. So versions grow by
    one, nothing is half applied, and an id tells whether a change was accepted.

    Parameters
    ----------
    table : TableService
        Holds head, sheet, switches, history and change ids.
    objects : ObjectStore
        Holds large sheets under their hash.
    clock : callable
        Returns Unix time in seconds, for the history.
    """

    table: TableService
    objects: ObjectStore
    clock: Callable[[], float] = time.time
    _last: Snapshot = attrs.field(factory=Snapshot, init=False)

    async def head(self) -> Head:
        """Read the head row; one small read."""
        return await self._loader().head()

    async def load(self, known: Snapshot | None = None) -> Snapshot:
        """Read the newest consistent state.

        Parameters
        ----------
        known : Snapshot, optional
            State whose sheet and switches are not read again if still in force.

        Raises
        ------
        PlatformUnavailable
            If the store cannot be read.
        DocumentBroken
            If a row or object does not match its hash or form.
        """
        return (await self._load(known or self._last)).snapshot

    async def sheet_by_hash(self, sha256: str) -> Sheet:
        """Read a sheet from the object store; raises `DocumentBroken`."""
        return await self._loader().sheet_by_hash(sha256)

    async def history(
        self, after_version: int = 0, limit: int = 100
    ) -> list[ChangeRecord]:
        """Return the accepted changes after a version, oldest first."""
        rows = await self.table.scan(
            TABLE, HISTORY_PREFIX, history_key(after_version), limit
        )
        return [decode_row(row.value, ChangeRecord) for row in rows]

    async def change(
        self, change: Change, change_id: str, operator: str
    ) -> AcceptedChange:
        """Have a change accepted.

        Parameters
        ----------
        change : Change
            What to change.
        change_id : str
            Identifies the change; repeating it with the same id changes nothing.
        operator : str
            Who asks for it, for the history.

        Raises
        ------
        ChangeConflict
            If another change of the same part came first; names it.
        ChangeIdReused
            If the id belongs to another change.
        ChangeOutcomeUnknown
            If the store did not tell whether the change was accepted.
        PlatformUnavailable
            If the store could not be reached and nothing was written.
        """
        digest = await run_off_loop(_entries(change), partial(digest_of, change))
        attempt = _Attempt(ChangeRequest(change, change_id, operator, digest))
        earlier = await self._accepted_before(attempt)
        if earlier is not None:
            return AcceptedChange(earlier, None)
        for _ in range(ATTEMPTS):
            try:
                accepted = await self._try_once(attempt)
            except PlatformUnavailable as exc:
                if attempt.lost_at is None:
                    raise
                if trio.current_time() > attempt.settle_until_s:
                    raise ChangeOutcomeUnknown(_unsettled_detail(change_id)) from exc
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if accepted is not None:
                return accepted
        if attempt.lost_at is not None:
            raise ChangeOutcomeUnknown(_unsettled_detail(change_id))
        raise ChangeConflict(
            f"change {change_id!r} lost to other changes {ATTEMPTS} times; try again"
        )

    async def _try_once(self, attempt: _Attempt) -> AcceptedChange | None:
        """Write the change once; return ``None`` to try again on the new head."""
        loaded = await self._load(self._last)
        if attempt.lost_at is not None:
            earlier = await self._accepted_before(attempt)
            if earlier is not None:
                return self._accepted_as(earlier, attempt)
            if attempt.lost_at != loaded.head_row_version:
                attempt.lost_at = None  # its condition can no longer be met
        earlier = await self._check_base(attempt.request, loaded.snapshot)
        if earlier is not None:
            return self._accepted_as(earlier, attempt)
        prepared = await run_off_loop(
            len(loaded.snapshot.sheet.organisations) + _entries(attempt.request.change),
            partial(prepare, attempt.request, loaded, self.clock()),
        )
        if prepared.sheet_object is not None:
            await self._put_sheet(prepared.sheet_object)
        attempt.prepared = prepared
        try:
            await self.table.transact(prepared.writes)
        except WriteConflict:
            earlier = await self._accepted_before(attempt)
            return None if earlier is None else self._accepted_as(earlier, attempt)
        except AnswerLost:
            attempt.lost_at = loaded.head_row_version
            attempt.settle_until_s = trio.current_time() + SETTLE_TIMEOUT_S
            return None
        return self._accepted_as(prepared.record, attempt)

    def _accepted_as(self, record: ChangeRecord, attempt: _Attempt) -> AcceptedChange:
        prepared = attempt.prepared
        if prepared is None or prepared.record.version != record.version:
            return AcceptedChange(record, None)
        self._remember(prepared.snapshot)
        return AcceptedChange(record, prepared.snapshot)

    async def _accepted_before(self, attempt: _Attempt) -> ChangeRecord | None:
        request = attempt.request
        row = await self.table.get(TABLE, change_key(request.change_id))
        if row is None:
            return None
        record = decode_row(row.value, ChangeRecord)
        if record.digest != request.digest:
            raise ChangeIdReused(
                f"change id {request.change_id!r} belongs to version {record.version}: "
                f"{record.summary}; use a new id"
            )
        return record

    async def _check_base(
        self, request: ChangeRequest, snapshot: Snapshot
    ) -> ChangeRecord | None:
        """Raise if a change came after the base; return it if it is the same one."""
        base_version = getattr(request.change, "base_version", None)
        if base_version is None:
            return None
        if base_version > snapshot.version:
            raise BaseVersionUnknown(
                f"base version {base_version} was never accepted; "
                f"the newest is {snapshot.version}"
            )
        changed_at = await self._changed_at(request.change, snapshot)
        if changed_at <= base_version:
            return None
        row = await self.table.get(TABLE, history_key(changed_at))
        winner = None if row is None else decode_row(row.value, ChangeRecord)
        if winner is not None and winner.change_id == request.change_id:
            return winner
        raise ChangeConflict(_conflict_detail(base_version, changed_at, winner), winner)

    async def _changed_at(self, change: Change, snapshot: Snapshot) -> int:
        """Return the version at which the part that a change touches last changed."""
        if isinstance(change, ApplySheet):
            return snapshot.head.sheet_version
        if not isinstance(change, SetSwitch):
            return 0
        row = await self.table.get(TABLE, switch_key(change.kind, change.name))
        return 0 if row is None else decode_row(row.value, SwitchRow).version

    async def _put_sheet(self, encoded: EncodedSheet) -> None:
        """Store a sheet under its hash; repeating it is harmless."""
        for _ in range(OBJECT_ATTEMPTS):
            try:
                await self.objects.put(sheet_object_name(encoded.sha256), encoded.data)
            except AnswerLost:
                continue
            return
        raise PlatformUnavailable("the object store does not confirm the sheet")

    async def _load(self, known: Snapshot) -> Loaded:
        loaded = await self._loader().load(known)
        self._remember(loaded.snapshot)
        return loaded

    def _remember(self, snapshot: Snapshot) -> None:
        if snapshot.version > self._last.version:
            self._last = snapshot

    def _loader(self) -> ConfigurationLoader:
        return ConfigurationLoader(self.table, self.objects)


def _entries(change: Change) -> int:
    return len(change.sheet.organisations) if isinstance(change, ApplySheet) else 0


def _conflict_detail(
    base_version: int, changed_at: int, winner: ChangeRecord | None
) -> str:
    if winner is None:
        return f"version {changed_at} came after base version {base_version}"
    return (
        f"change {winner.change_id!r} by {winner.operator} came first at version "
        f"{winner.version} ({winner.summary}); yours was made from version "
        f"{base_version}: look at the difference and try again"
    )


def _unsettled_detail(change_id: str) -> str:
    return (
        f"the store did not tell whether change {change_id!r} was accepted; repeat it "
        "with the same id to learn"
    )
