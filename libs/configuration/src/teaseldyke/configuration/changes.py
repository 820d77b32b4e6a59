"""Changes that operators ask for, and what each does to a snapshot."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from functools import singledispatch

import attrs
import msgspec

from teaseldyke.types import Organisation, SettingsError

from .assembly import check
from .difference import diff
from .encoding import encode_sheet
from .errors import SheetFault, SheetInvalid
from .records import ChangeKind, SwitchKind
from .sheet import Sheet
from .snapshot import Snapshot

SUMMARY_LINES = 20  # lines of a sheet's difference that the history keeps


@attrs.frozen
class ApplySheet:
    """Replaces the sheet.

    Parameters
    ----------
    sheet : Sheet
        The whole new sheet, checked.
    base_version : int
        Version that it was made from; a later change of the sheet is a conflict.
    """

    sheet: Sheet
    base_version: int


@attrs.frozen
class SetSwitch:
    """Takes something out, or brings it back in.

    Parameters
    ----------
    kind : str
        What is switched.
    name : str
        Which one.
    out : bool
        Whether it shall be out (or disabled).
    base_version : int, optional
        Version that the operator saw; a later change of this switch is a conflict.
    """

    kind: SwitchKind
    name: str
    out: bool
    base_version: int | None = None


@attrs.frozen
class CreateOrganisation:
    """Adds an organisation to the sheet in force."""

    organisation: Organisation


@attrs.frozen
class ReplaceKey:
    """Gives an organisation a new key.

    Parameters
    ----------
    organisation : str
        Which one.
    key_hash : str
        SHA-256 of the new key, in hexadecimal.
    keep_old : bool
        Whether the newest of the old keys is still accepted beside the new one.
    """

    organisation: str
    key_hash: str
    keep_old: bool = False


Change = ApplySheet | SetSwitch | CreateOrganisation | ReplaceKey


class NameUnknown(SettingsError):
    """A change names something that the configuration does not hold."""

    code = "name_unknown"
    status = 404


class NameTaken(SettingsError):
    """A change would make something that the configuration holds already."""

    code = "name_taken"
    status = 409


@attrs.frozen
class Outcome:
    """What a change makes of a snapshot.

    Parameters
    ----------
    kind : str
        Which part changes.
    summary : str
        One line, or the first lines of a sheet's difference.
    sheet : Sheet or None
        New sheet.
    switch : SetSwitch or None
        New state of a switch.
    """

    kind: ChangeKind
    summary: str
    sheet: Sheet | None = None
    switch: SetSwitch | None = None


def digest_of(change: Change) -> str:
    """Return a hash that tells a repeated change from another with the same id.

    The base version is left out: who repeats a change may have seen a newer one.
    """
    if isinstance(change, ApplySheet):
        data = encode_sheet(change.sheet).sha256.encode()
    elif isinstance(change, SetSwitch):
        data = msgspec.json.encode(attrs.evolve(change, base_version=0))
    else:
        data = msgspec.json.encode(change)
    return hashlib.sha256(type(change).__name__.encode() + data).hexdigest()


@singledispatch
def outcome_of(change: Change, snapshot: Snapshot) -> Outcome:
    """Return what a change makes of a snapshot; an equal sheet is a change too.

    Raises
    ------
    NameUnknown, NameTaken, SheetInvalid
        If the change does not fit the snapshot.
    """
    raise TypeError(f"no such change: {change!r}")


@outcome_of.register
def _(change: ApplySheet, snapshot: Snapshot) -> Outcome:
    lines = diff(snapshot.sheet, change.sheet)
    shown = [f"{line.verb} {line.page} {line.name}" for line in lines[:SUMMARY_LINES]]
    if len(lines) > len(shown):
        shown.append(f"and {len(lines) - len(shown)} more")
    return Outcome("sheet", "; ".join(shown) or "no difference", sheet=change.sheet)


@outcome_of.register
def _(change: SetSwitch, snapshot: Snapshot) -> Outcome:
    _check_switch_name(change, snapshot)
    verb = "out" if change.out else "in"
    if change.kind == "organisation":
        verb = "disabled" if change.out else "enabled"
    return Outcome("switch", f"{change.kind} {change.name} {verb}", switch=change)


@outcome_of.register
def _(change: CreateOrganisation, snapshot: Snapshot) -> Outcome:
    organisation = change.organisation
    if organisation.name in snapshot.sheet.organisations:
        raise NameTaken(f"there is an organisation {organisation.name!r} already")
    _check_organisation(organisation, snapshot.sheet)
    sheet = _with_organisation(snapshot.sheet, organisation)
    return Outcome("organisation", f"organisation {organisation.name} created", sheet)


@outcome_of.register
def _(change: ReplaceKey, snapshot: Snapshot) -> Outcome:
    old = snapshot.sheet.organisations.get(change.organisation)
    if old is None:
        raise NameUnknown(f"there is no organisation {change.organisation!r}")
    kept = old.key_hashes[:1] if change.keep_old else ()
    new = attrs.evolve(old, key_hashes=(change.key_hash, *kept))
    _check_organisation(new, snapshot.sheet)
    sheet = _with_organisation(snapshot.sheet, new)
    return Outcome("key", f"key of organisation {old.name} replaced", sheet)


_SWITCH_NAMES: dict[SwitchKind, Callable[[Sheet], object]] = {
    "failure-domain": lambda sheet: sheet.failure_domains,
    "backend-server": lambda sheet: sheet.backend_servers,
    "organisation": lambda sheet: sheet.organisations,
}


def _check_switch_name(change: SetSwitch, snapshot: Snapshot) -> None:
    names_of = _SWITCH_NAMES.get(change.kind)
    if names_of is None or not change.out:
        return  # instances are not in the sheet; anything may be brought back in
    names = list(names_of(snapshot.sheet))  # type: ignore[call-overload]
    if change.name in names:
        return
    known = ", ".join(sorted(names)[:SUMMARY_LINES])
    raise NameUnknown(f"there is no {change.kind} {change.name!r}; known: {known}")


def _check_organisation(organisation: Organisation, sheet: Sheet) -> None:
    """Check one organisation against a sheet that is known to be good."""
    check(
        Sheet({organisation.name: organisation}, sheet.services, {}, ()),
    )
    for other in sheet.organisations.values():
        if other.name == organisation.name:
            continue
        shared = set(other.key_hashes) & set(organisation.key_hashes)
        if not shared:
            continue
        fault = SheetFault(
            "organisations.csv",
            0,
            "key_hashes",
            shared.pop()[:8],
            f"a hash of its own; {other.name} holds it too",
        )
        raise SheetInvalid([fault])


def _with_organisation(sheet: Sheet, organisation: Organisation) -> Sheet:
    entries = {**sheet.organisations, organisation.name: organisation}
    return attrs.evolve(sheet, organisations=entries)
