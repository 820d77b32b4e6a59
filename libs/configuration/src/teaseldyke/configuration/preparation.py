"""Rows and objects that a change writes when it is accepted."""

from __future__ import annotations

import attrs

from teaseldyke.platform import ABSENT, ANY_VERSION, Write

from .changes import Change, ChangeEffect, effect_of
from .difference import difference
from .encoding import EncodedSheet, encode_sheet
from .loading import LoadedSnapshot
from .records import (
    HEAD_KEY,
    SHEET_KEY,
    TABLE,
    ChangeRecord,
    SheetRow,
    SwitchRow,
    change_key,
    encode_row,
    history_key,
    switch_key,
    with_switch,
)
from .snapshot import Snapshot

INLINE_LIMIT_BYTES = 16 * 1024  # larger sheets go to the object store
DIFFERENCE_LIMIT_ENTRIES = 64  # larger differences are not stored in the row


@attrs.frozen
class ChangeRequest:
    """A change, its id and the operator who requests it.

    Parameters
    ----------
    change : Change
        Change to make.
    change_id : str
        Idempotency id of the change.
    operator : str
        Operator who requests it.
    digest : str
        Hash of the change.
    """

    change: Change
    change_id: str
    operator: str
    digest: str


@attrs.frozen
class PreparedChange:
    """A change ready to be written on one version of the head row.

    Parameters
    ----------
    record : ChangeRecord
        Its entry in the history.
    snapshot : Snapshot
        State that it produces.
    writes : list of Write
        One transaction, conditional on the head.
    sheet_object : EncodedSheet or None
        Sheet to store before the transaction.
    """

    record: ChangeRecord
    snapshot: Snapshot
    writes: list[Write]
    sheet_object: EncodedSheet | None


def prepare(
    request: ChangeRequest, loaded: LoadedSnapshot, accepted_at_s: float
) -> PreparedChange:
    """Return the writes that apply a change to a loaded state.

    Raises
    ------
    NameUnknown, NameTaken, SheetInvalid
        If the change cannot be applied to the state.
    """
    effect = effect_of(request.change, loaded.snapshot)
    version = loaded.snapshot.version + 1
    record = ChangeRecord(
        version=version,
        change_id=request.change_id,
        kind=effect.kind,
        summary=effect.summary,
        operator=request.operator,
        accepted_at_s=accepted_at_s,
        digest=request.digest,
    )
    prepared = _prepare_effect(effect, loaded.snapshot, record)
    prepared.writes.append(
        _write(HEAD_KEY, prepared.snapshot.head, loaded.head_row_version)
    )
    prepared.writes.append(_write(history_key(version), record, ABSENT))
    prepared.writes.append(_write(change_key(request.change_id), record, ABSENT))
    return prepared


def _prepare_effect(
    effect: ChangeEffect, snapshot: Snapshot, record: ChangeRecord
) -> PreparedChange:
    if effect.switch is not None:
        switch = effect.switch
        row = SwitchRow(switch.kind, switch.name, switch.out, record.version)
        head = attrs.evolve(
            snapshot.head, version=record.version, switches_version=record.version
        )
        snapshot_after = Snapshot(
            head, snapshot.sheet, with_switch(snapshot.switches, row)
        )
        writes = [_write(switch_key(row.kind, row.name), row)]
        return PreparedChange(record, snapshot_after, writes, None)
    assert effect.sheet is not None
    encoded = encode_sheet(effect.sheet)
    head = attrs.evolve(
        snapshot.head,
        version=record.version,
        sheet_version=record.version,
        sheet_sha256=encoded.sha256,
    )
    inline = len(encoded.data) <= INLINE_LIMIT_BYTES
    change = difference(snapshot.sheet, effect.sheet)
    sheet_row = SheetRow(
        version=record.version,
        sha256=encoded.sha256,
        data=encoded.data if inline else None,
        base_sha256=snapshot.head.sheet_sha256,
        difference=change if change.size <= DIFFERENCE_LIMIT_ENTRIES else None,
    )
    snapshot_after = Snapshot(head, effect.sheet, snapshot.switches)
    writes = [_write(SHEET_KEY, sheet_row)]
    return PreparedChange(record, snapshot_after, writes, None if inline else encoded)


def _write(key: str, row: object, expected_version: int = ANY_VERSION) -> Write:
    return Write(TABLE, key, encode_row(row), expected_version)
