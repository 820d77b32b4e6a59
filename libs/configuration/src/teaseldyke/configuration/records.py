"""Rows of the configuration table."""

from __future__ import annotations

from typing import Literal, TypeVar

import attrs
import msgspec

from teaseldyke.types import Switches

from .difference import SheetDifference
from .errors import DocumentBroken

TABLE = "configuration"
HEAD_KEY = "head"
SHEET_KEY = "sheet"
SWITCH_PREFIX = "switch/"
HISTORY_PREFIX = "history/"
CHANGE_PREFIX = "change/"

SwitchKind = Literal["failure-domain", "instance", "backend-server", "organisation"]
SWITCH_KINDS: tuple[SwitchKind, ...] = (
    "failure-domain",
    "instance",
    "backend-server",
    "organisation",
)
_SWITCH_FIELDS: dict[SwitchKind, str] = {
    "failure-domain": "failure_domains_out",
    "instance": "instances_out",
    "backend-server": "backend_servers_out",
    "organisation": "organisations_disabled",
}

ChangeKind = Literal["sheet", "organisation", "key", "switch"]

T = TypeVar("T")


@attrs.frozen
class Head:
    """Head row, which every accepted change writes.

    Parameters
    ----------
    version : int
        Total version; grows by one with each accepted change.
    sheet_version : int
        Version at which the sheet last changed.
    sheet_sha256 : str
        Hash of the sheet in force.
    switches_version : int
        Version at which a switch last changed.
    """

    version: int = 0
    sheet_version: int = 0
    sheet_sha256: str = ""
    switches_version: int = 0


@attrs.frozen
class SheetRow:
    """Row of the sheet in force.

    Parameters
    ----------
    version : int
        Version that accepted the sheet.
    sha256 : str
        Hash of the sheet.
    data : bytes or None
        Stored form; ``None`` if it is in the object store, under its hash.
    base_sha256 : str
        Hash of the previous sheet.
    difference : SheetDifference or None
        Difference from the previous sheet, if it is small.
    """

    version: int
    sha256: str
    data: bytes | None
    base_sha256: str = ""
    difference: SheetDifference | None = None


@attrs.frozen
class SwitchRow:
    """Row of one switch, by which operators take something out of service.

    Parameters
    ----------
    kind : str
        Failure domain, instance, backend server or organisation.
    name : str
        Its name.
    out : bool
        Whether it is out of service (an organisation: disabled).
    version : int
        Version at which it last changed.
    """

    kind: SwitchKind
    name: str
    out: bool
    version: int


@attrs.frozen
class ChangeRecord:
    """An accepted change, for the audit trail.

    Parameters
    ----------
    version : int
        Version that it produced.
    change_id : str
        Idempotency id, given by the client.
    kind : str
        Kind of change.
    summary : str
        Effect of the change, in one line.
    operator : str
        Operator who requested it.
    accepted_at_s : float
        Unix time, by the clock of the router that wrote it.
    digest : str
        Hash of the change, to distinguish a repeated request from a reused id.
    """

    version: int
    change_id: str
    kind: ChangeKind
    summary: str
    operator: str
    accepted_at_s: float
    digest: str


def switch_key(kind: SwitchKind, name: str) -> str:
    """Return the key of a switch's row."""
    return f"{SWITCH_PREFIX}{kind}/{name}"


def history_key(version: int) -> str:
    """Return the key of a change's record; keys sort in the order of versions.

    Examples
    --------
    >>> history_key(41)
    'history/000000000041'
    """
    return f"{HISTORY_PREFIX}{version:012d}"


def change_key(change_id: str) -> str:
    """Return the key of the copy of a change's record that is found by its id."""
    return f"{CHANGE_PREFIX}{change_id}"


def sheet_object_name(sha256: str) -> str:
    """Return the name of the object that holds a sheet."""
    return f"configuration/sheets/{sha256}"


def encode_row(row: object) -> bytes:
    """Return the stored form of a row."""
    return msgspec.json.encode(row)


def decode_row(data: bytes, cls: type[T]) -> T:
    """Decode a row from its stored form.

    Raises
    ------
    DocumentBroken
        If the row does not match the schema.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except msgspec.MsgspecError as exc:
        raise DocumentBroken(f"stored {cls.__name__}: {exc}") from exc


def switches_of(rows: list[SwitchRow]) -> Switches:
    """Return the switches that the rows of all switches set."""
    switches = Switches()
    for row in rows:
        switches = with_switch(switches, row)
    return switches


def with_switch(switches: Switches, row: SwitchRow) -> Switches:
    """Return the switches with one of them set.

    Examples
    --------
    >>> row = SwitchRow("instance", "router-1", True, 4)
    >>> with_switch(Switches(), row).instances_out
    frozenset({'router-1'})
    """
    field = _SWITCH_FIELDS[row.kind]
    names = getattr(switches, field)
    names = names | {row.name} if row.out else names - {row.name}
    return attrs.evolve(switches, **{field: names})
