"""Versioned configuration store on the platform's table service and object store."""

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
from .loading import ConfigurationLoader, LoadedSnapshot
from .offloading import run_off_loop
from .preparation import ChangeRequest, PreparedChange, prepare
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

MAX_WRITE_ATTEMPTS = 64  # transactions tried for one change
MAX_PUT_ATTEMPTS = 3
RETRY_INTERVAL_S = 0.05
CONFIRM_TIMEOUT_S = 5.0  # to read back the result of a write whose reply was lost


@attrs.frozen
class AcceptedChange:
    """A change that the store has accepted.

    Parameters
    ----------
    record : ChangeRecord
        Its entry in the history.
    snapshot : Snapshot or None
        State that it produced; ``None`` if the change was accepted before, by a
        request with the same id.
    """

    record: ChangeRecord
    snapshot: Snapshot | None


@attrs.define
class _Attempt:
    """Progress of one change.

    ``unconfirmed_row_version`` is the version of the head row on which a write whose
    reply was lost was conditional. While the head row has that version, the write may
    still take effect.
    """

    request: ChangeRequest
    prepared: PreparedChange | None = None
    unconfirmed_row_version: int | None = None
    confirm_deadline_s: float = 0.0


@attrs.define
class ConfigurationStore:
    """Reads and changes the configuration stored on the platform.

    Every accepted change is one transaction that writes the head row, on condition
    that its version is unchanged, together with the changed rows, the history record
    and the change id. So versions grow by one, no change is applied partially, and the
    change id tells whether a change was accepted.

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
    _newest: Snapshot = attrs.field(factory=Snapshot, init=False)

    async def head(self) -> Head:
        """Read the head row, in a single small read."""
        return await self._loader().head()

    async def load(self, known: Snapshot | None = None) -> Snapshot:
        """Read the newest consistent state.

        Parameters
        ----------
        known : Snapshot, optional
            State whose sheet and switches are reused if they are still in force.

        Raises
        ------
        PlatformUnavailable
            If the store cannot be read.
        DocumentBroken
            If a row or object does not match its hash or schema.
        """
        return (await self._load(known or self._newest)).snapshot

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
        """Submit a change.

        Parameters
        ----------
        change : Change
            Change to make.
        change_id : str
            Idempotency id; repeating the change with the same id has no effect.
        operator : str
            Operator who requests it, for the history.

        Raises
        ------
        ChangeConflict
            If another change of the same sheet or switch was accepted after the base
            version, which the error names; or if every write lost to a concurrent one.
        ChangeIdReused
            If the id was used for a different change.
        ChangeOutcomeUnknown
            If the store did not confirm whether the change was accepted.
        PlatformUnavailable
            If the store could not be reached and nothing was written.
        """
        digest = await run_off_loop(
            _organisation_count(change), partial(digest_of, change)
        )
        attempt = _Attempt(ChangeRequest(change, change_id, operator, digest))
        earlier = await self._find_accepted(attempt)
        if earlier is not None:
            return AcceptedChange(earlier, None)
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                accepted = await self._write_once(attempt)
            except PlatformUnavailable as exc:
                if attempt.unconfirmed_row_version is None:
                    raise
                if trio.current_time() > attempt.confirm_deadline_s:
                    raise ChangeOutcomeUnknown(
                        _outcome_unknown_detail(change_id)
                    ) from exc
                await trio.sleep(RETRY_INTERVAL_S)
                continue
            if accepted is not None:
                return accepted
        if attempt.unconfirmed_row_version is not None:
            raise ChangeOutcomeUnknown(_outcome_unknown_detail(change_id))
        raise ChangeConflict(
            f"change {change_id!r} conflicted with other changes "
            f"{MAX_WRITE_ATTEMPTS} times; try again"
        )

    async def _write_once(self, attempt: _Attempt) -> AcceptedChange | None:
        """Write the change once; return ``None`` to retry on the new head."""
        loaded = await self._load(self._newest)
        if attempt.unconfirmed_row_version is not None:
            earlier = await self._find_accepted(attempt)
            if earlier is not None:
                return self._accepted_change(earlier, attempt)
            if attempt.unconfirmed_row_version != loaded.head_row_version:
                # The head row has moved on, so that write can no longer succeed.
                attempt.unconfirmed_row_version = None
        earlier = await self._check_base(attempt.request, loaded.snapshot)
        if earlier is not None:
            return self._accepted_change(earlier, attempt)
        prepared = await run_off_loop(
            len(loaded.snapshot.sheet.organisations)
            + _organisation_count(attempt.request.change),
            partial(prepare, attempt.request, loaded, self.clock()),
        )
        if prepared.sheet_object is not None:
            await self._put_sheet(prepared.sheet_object)
        attempt.prepared = prepared
        try:
            await self.table.transact(prepared.writes)
        except WriteConflict:
            earlier = await self._find_accepted(attempt)
            return None if earlier is None else self._accepted_change(earlier, attempt)
        except AnswerLost:
            attempt.unconfirmed_row_version = loaded.head_row_version
            attempt.confirm_deadline_s = trio.current_time() + CONFIRM_TIMEOUT_S
            return None
        return self._accepted_change(prepared.record, attempt)

    def _accepted_change(
        self, record: ChangeRecord, attempt: _Attempt
    ) -> AcceptedChange:
        prepared = attempt.prepared
        if prepared is None or prepared.record.version != record.version:
            return AcceptedChange(record, None)
        self._remember(prepared.snapshot)
        return AcceptedChange(record, prepared.snapshot)

    async def _find_accepted(self, attempt: _Attempt) -> ChangeRecord | None:
        request = attempt.request
        row = await self.table.get(TABLE, change_key(request.change_id))
        if row is None:
            return None
        record = decode_row(row.value, ChangeRecord)
        if record.digest != request.digest:
            raise ChangeIdReused(
                f"change id {request.change_id!r} was already used for version "
                f"{record.version} ({record.summary}); use a new id"
            )
        return record

    async def _check_base(
        self, request: ChangeRequest, snapshot: Snapshot
    ) -> ChangeRecord | None:
        """Raise if the sheet or switch changed after the base version.

        Return the record of that later change if it is this change itself, accepted
        by an earlier write.
        """
        base_version = getattr(request.change, "base_version", None)
        if base_version is None:
            return None
        if base_version > snapshot.version:
            raise BaseVersionUnknown(
                f"base version {base_version} does not exist; "
                f"the newest version is {snapshot.version}"
            )
        last_changed = await self._last_changed_version(request.change, snapshot)
        if last_changed <= base_version:
            return None
        row = await self.table.get(TABLE, history_key(last_changed))
        winner = None if row is None else decode_row(row.value, ChangeRecord)
        if winner is not None and winner.change_id == request.change_id:
            return winner
        raise ChangeConflict(
            _conflict_detail(base_version, last_changed, winner), winner
        )

    async def _last_changed_version(self, change: Change, snapshot: Snapshot) -> int:
        """Return the version that last changed the sheet or switch of a change."""
        if isinstance(change, ApplySheet):
            return snapshot.head.sheet_version
        if not isinstance(change, SetSwitch):
            return 0
        row = await self.table.get(TABLE, switch_key(change.kind, change.name))
        return 0 if row is None else decode_row(row.value, SwitchRow).version

    async def _put_sheet(self, encoded: EncodedSheet) -> None:
        """Store a sheet under its hash; idempotent."""
        for _ in range(MAX_PUT_ATTEMPTS):
            try:
                await self.objects.put(sheet_object_name(encoded.sha256), encoded.data)
            except AnswerLost:
                continue
            return
        raise PlatformUnavailable(
            "the object store did not confirm the upload of the sheet"
        )

    async def _load(self, known: Snapshot) -> LoadedSnapshot:
        loaded = await self._loader().load(known)
        self._remember(loaded.snapshot)
        return loaded

    def _remember(self, snapshot: Snapshot) -> None:
        if snapshot.version > self._newest.version:
            self._newest = snapshot

    def _loader(self) -> ConfigurationLoader:
        return ConfigurationLoader(self.table, self.objects)


def _organisation_count(change: Change) -> int:
    return len(change.sheet.organisations) if isinstance(change, ApplySheet) else 0


def _conflict_detail(
    base_version: int, last_changed: int, winner: ChangeRecord | None
) -> str:
    if winner is None:
        return f"version {last_changed} was accepted after base version {base_version}"
    return (
        f"change {winner.change_id!r} by {winner.operator} was accepted first, as "
        f"version {winner.version} ({winner.summary}); your change is based on version "
        f"{base_version}: review the difference and try again"
    )


def _outcome_unknown_detail(change_id: str) -> str:
    return (
        f"the store did not confirm whether change {change_id!r} was accepted; repeat "
        "it with the same id to find out"
    )
