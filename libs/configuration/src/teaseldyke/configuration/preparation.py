"""What has to be written for a change to be accepted."""

from __future__ import annotations

import attrs

from teaseldyke.platform import ABSENT, ANY_VERSION, Write

from .changes import Change, Outcome, outcome_of
from .difference import difference
from .encoding import EncodedSheet, encode_sheet
from .loading import Loaded
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
DIFFERENCE_LIMIT = 64  # entries; larger differences are not kept in the row


@attrs.frozen
class ChangeRequest:
    """A change, its id and who asks for it.

    Parameters
    ----------
    change : Change
        What to change.
    change_id : str
        Identifies the change when its request is repeated.
    operator : str
        Who asks for it.
    digest : str
        Hash of the change.
    """

    change: Change
    change_id: str
    operator: str
    digest: str


@attrs.frozen
class Prepared:
    """A change made ready to be written on one head.

    Parameters
    ----------
    record : ChangeRecord
        Its line in the history.
    snapshot : Snapshot
        State that it makes.
    writes : list of Write
        One transaction, conditional on the head.
    sheet_object : EncodedSheet or None
        Sheet to store before the transaction.
    """

    record: ChangeRecord
    snapshot: Snapshot
    writes: list[Write]
    sheet_object: EncodedSheet | None


def prepare(request: ChangeRequest, loaded: Loaded, accepted_at_s: float) -> Prepared:
    """Return what makes a change on top of a loaded state.

    Raises
    ------
    NameUnknown, NameTaken, SheetInvalid
        If the change does not fit the state.
    """
    outcome = outcome_of(request.change, loaded.snapshot)
    version = loaded.snapshot.version + 1
    record = ChangeRecord(
        version=version,
        change_id=request.change_id,
        kind=outcome.kind,
        summary=outcome.summary,
        operator=request.operator,
        accepted_at_s=accepted_at_s,
        digest=request.digest,
    )
    prepared = _prepare_outcome(outcome, loaded.snapshot, record)
    prepared.writes.append(
        _write(HEAD_KEY, prepared.snapshot.head, loaded.head_row_version)
    )
    prepared.writes.append(_write(history_key(version), record, ABSENT))
    prepared.writes.append(_write(change_key(request.change_id), record, ABSENT))
    return prepared


def _prepare_outcome(
    outcome: Outcome, snapshot: Snapshot, record: ChangeRecord
) -> Prepared:
    if outcome.switch is not None:
        switch = outcome.switch
        row = SwitchRow(switch.kind, switch.name, switch.out, record.version)
        head = attrs.evolve(
            snapshot.head, version=record.version, switches_version=record.version
        )
        made = Snapshot(head, snapshot.sheet, with_switch(snapshot.switches, row))
        writes = [_write(switch_key(row.kind, row.name), row)]
        return Prepared(record, made, writes, None)
    assert outcome.sheet is not None
    encoded = encode_sheet(outcome.sheet)
    head = attrs.evolve(
        snapshot.head,
        version=record.version,
        sheet_version=record.version,
        sheet_sha256=encoded.sha256,
    )
    inline = len(encoded.data) <= INLINE_LIMIT_BYTES
    change = difference(snapshot.sheet, outcome.sheet)
    sheet_row = SheetRow(
        version=record.version,
        sha256=encoded.sha256,
        data=encoded.data if inline else None,
        base_sha256=snapshot.head.sheet_sha256,
        difference=change if change.size <= DIFFERENCE_LIMIT else None,
    )
    made = Snapshot(head, outcome.sheet, snapshot.switches)
    writes = [_write(SHEET_KEY, sheet_row)]
    return Prepared(record, made, writes, None if inline else encoded)


def _write(key: str, row: object, expected_version: int = ANY_VERSION) -> Write:
    return Write(TABLE, key, encode_row(row), expected_version)
