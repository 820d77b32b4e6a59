"""Changes that operators request, and their effect on a snapshot."""

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

SUMMARY_LINES = 20  # of a sheet's difference in the history; also known names listed


@attrs.frozen
class ApplySheet:
    """Replaces the sheet.

    Parameters
    ----------
    sheet : Sheet
        Complete new sheet, validated.
    base_version : int
        Version that it was derived from; a later change of the sheet is a conflict.
    """

    sheet: Sheet
    base_version: int


@attrs.frozen
class SetSwitch:
    """Takes something out of service, or brings it back.

    Parameters
    ----------
    kind : str
        Failure domain, instance, backend server or organisation.
    name : str
        Its name.
    out : bool
        Whether to take it out of service (an organisation: disable it).
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
        Name of the organisation.
    key_hash : str
        SHA-256 of the new key, in hexadecimal.
    keep_old : bool
        Whether the newest of the old keys stays valid beside the new one.
    """

    organisation: str
    key_hash: str
    keep_old: bool = False


Change = ApplySheet | SetSwitch | CreateOrganisation | ReplaceKey


class NameUnknown(SettingsError):
    """A change refers to a name that is not in the configuration."""

    code = "name_unknown"
    status = 404


class NameTaken(SettingsError):
    """A change would create an entry whose name already exists."""

    code = "name_taken"
    status = 409


@attrs.frozen
class ChangeEffect:
    """Effect of a change on a snapshot.

    Parameters
    ----------
    kind : str
        Kind of change, for the history.
    summary : str
        One line; for a sheet, the first lines of its difference joined.
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
    """Return a hash that distinguishes a repeated change from a reused change id.

    The base version is not hashed, since a repeated request may be based on a newer
    version.
    """
    if isinstance(change, ApplySheet):
        data = encode_sheet(change.sheet).sha256.encode()
    elif isinstance(change, SetSwitch):
        data = msgspec.json.encode(attrs.evolve(change, base_version=0))
    else:
        data = msgspec.json.encode(change)
    return hashlib.sha256(type(change).__name__.encode() + data).hexdigest()


@singledispatch
def effect_of(change: Change, snapshot: Snapshot) -> ChangeEffect:
    """Return the effect of a change; applying an equal sheet counts as a change.

    Raises
    ------
    NameUnknown, NameTaken, SheetInvalid
        If the change cannot be applied to the snapshot.
    """
    raise TypeError(f"unknown kind of change: {change!r}")


@effect_of.register
def _(change: ApplySheet, snapshot: Snapshot) -> ChangeEffect:
    lines = diff(snapshot.sheet, change.sheet)
    shown = [f"{line.verb} {line.page} {line.name}" for line in lines[:SUMMARY_LINES]]
    if len(lines) > len(shown):
        shown.append(f"and {len(lines) - len(shown)} more")
    return ChangeEffect(
        "sheet", "; ".join(shown) or "no difference", sheet=change.sheet
    )


@effect_of.register
def _(change: SetSwitch, snapshot: Snapshot) -> ChangeEffect:
    _check_switch_name(change, snapshot)
    verb = "out" if change.out else "in"
    if change.kind == "organisation":
        verb = "disabled" if change.out else "enabled"
    return ChangeEffect("switch", f"{change.kind} {change.name} {verb}", switch=change)


@effect_of.register
def _(change: CreateOrganisation, snapshot: Snapshot) -> ChangeEffect:
    organisation = change.organisation
    if organisation.name in snapshot.sheet.organisations:
        raise NameTaken(f"organisation {organisation.name!r} already exists")
    _check_organisation(organisation, snapshot.sheet)
    sheet = _with_organisation(snapshot.sheet, organisation)
    return ChangeEffect(
        "organisation", f"organisation {organisation.name} created", sheet
    )


@effect_of.register
def _(change: ReplaceKey, snapshot: Snapshot) -> ChangeEffect:
    old = snapshot.sheet.organisations.get(change.organisation)
    if old is None:
        raise NameUnknown(f"organisation {change.organisation!r} does not exist")
    old_hashes = old.key_hashes[:1] if change.keep_old else ()
    new = attrs.evolve(old, key_hashes=(change.key_hash, *old_hashes))
    _check_organisation(new, snapshot.sheet)
    sheet = _with_organisation(snapshot.sheet, new)
    return ChangeEffect("key", f"key of organisation {old.name} replaced", sheet)


_SWITCH_NAMES: dict[SwitchKind, Callable[[Sheet], object]] = {
    "failure-domain": lambda sheet: sheet.failure_domains,
    "backend-server": lambda sheet: sheet.backend_servers,
    "organisation": lambda sheet: sheet.organisations,
}


def _check_switch_name(change: SetSwitch, snapshot: Snapshot) -> None:
    names_of = _SWITCH_NAMES.get(change.kind)
    if names_of is None or not change.out:
        return  # instances are not in the sheet; unknown names may be switched back in
    names = list(names_of(snapshot.sheet))  # type: ignore[call-overload]
    if change.name in names:
        return
    known = ", ".join(sorted(names)[:SUMMARY_LINES])
    raise NameUnknown(f"{change.kind} {change.name!r} does not exist; known: {known}")


def _check_organisation(organisation: Organisation, sheet: Sheet) -> None:
    """Check one organisation against a sheet that is already validated."""
    check(Sheet({organisation.name: organisation}, sheet.services, {}, ()))
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
            f"a unique hash; {other.name} holds it too",
        )
        raise SheetInvalid([fault])


def _with_organisation(sheet: Sheet, organisation: Organisation) -> Sheet:
    entries = {**sheet.organisations, organisation.name: organisation}
    return attrs.evolve(sheet, organisations=entries)
