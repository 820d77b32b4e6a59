"""Differences between two sheets, for storage, transfer and display."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal

import attrs

from teaseldyke.types import BackendServer, Organisation, Service

from .cells import cell_text
from .sheet import Sheet

Verb = Literal["add", "remove", "change"]


@attrs.frozen
class SheetDifference:
    """Changes that turn a sheet into the next one.

    Parameters
    ----------
    organisations, services, backend_servers : tuple
        Added and changed entries.
    organisations_gone, services_gone, backend_servers_gone : tuple of str
        Names of removed entries.
    failure_domains : tuple of str
        All failure domains of the new sheet.
    """

    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
    organisations_gone: tuple[str, ...] = ()
    services_gone: tuple[str, ...] = ()
    backend_servers_gone: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of entries that differ."""
        return (
            len(self.organisations)
            + len(self.services)
            + len(self.backend_servers)
            + len(self.organisations_gone)
            + len(self.services_gone)
            + len(self.backend_servers_gone)
        )


@attrs.frozen
class DifferenceLine:
    """One line of a difference as shown to an operator.

    Parameters
    ----------
    verb : {"add", "remove", "change"}
        Kind of difference.
    page : str
        Page of the sheet.
    name : str
        Name of the entry.
    detail : str
        Fields with their old and new values.
    """

    verb: Verb
    page: str
    name: str
    detail: str


def difference(old: Sheet, new: Sheet) -> SheetDifference:
    """Return the difference that turns ``old`` into ``new``."""
    return SheetDifference(
        organisations=_changed(old.organisations, new.organisations),
        services=_changed(old.services, new.services),
        backend_servers=_changed(old.backend_servers, new.backend_servers),
        organisations_gone=_removed_names(old.organisations, new.organisations),
        services_gone=_removed_names(old.services, new.services),
        backend_servers_gone=_removed_names(old.backend_servers, new.backend_servers),
        failure_domains=new.failure_domains,
    )


def apply_difference(old: Sheet, change: SheetDifference) -> Sheet:
    """Return ``old`` with a difference applied.

    Examples
    --------
    >>> old = Sheet(failure_domains=("zone-a",))
    >>> new = Sheet(failure_domains=("zone-a", "zone-b"))
    >>> apply_difference(old, difference(old, new)) == new
    True
    """
    return Sheet(
        organisations=_apply(
            old.organisations, change.organisations, change.organisations_gone
        ),
        services=_apply(old.services, change.services, change.services_gone),
        backend_servers=_apply(
            old.backend_servers, change.backend_servers, change.backend_servers_gone
        ),
        failure_domains=change.failure_domains,
    )


def diff(old: Sheet, new: Sheet) -> list[DifferenceLine]:
    """Return the differences between two sheets, as lines for an operator."""
    lines = []
    for page in ("organisations", "services", "backend_servers"):
        lines.extend(_lines(page, getattr(old, page), getattr(new, page)))
    for name in sorted(set(old.failure_domains) - set(new.failure_domains)):
        lines.append(DifferenceLine("remove", "failure_domains", name, ""))
    for name in sorted(set(new.failure_domains) - set(old.failure_domains)):
        lines.append(DifferenceLine("add", "failure_domains", name, ""))
    return lines


def _changed(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[Any, ...]:
    return tuple(entry for name, entry in new.items() if old.get(name) != entry)


def _removed_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def _apply(
    old: Mapping[str, Any], changed: tuple[Any, ...], removed: tuple[str, ...]
) -> dict[str, Any]:
    entries = dict(old)
    for name in removed:
        entries.pop(name, None)
    for entry in changed:
        entries[entry.name] = entry
    return entries


def _lines(
    page: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[DifferenceLine]:
    lines = []
    for name in sorted({*old, *new}):
        if name not in new:
            lines.append(DifferenceLine("remove", page, name, ""))
            continue
        if name not in old:
            lines.append(DifferenceLine("add", page, name, _fields(new[name])))
            continue
        if old[name] != new[name]:
            detail = _field_changes(old[name], new[name])
            lines.append(DifferenceLine("change", page, name, detail))
    return lines


def _fields(entry: Any) -> str:
    parts = []
    for field in attrs.fields(type(entry)):
        if field.name == "name":
            continue
        parts.append(f"{field.name}={_show(getattr(entry, field.name))}")
    return " ".join(parts)


def _field_changes(old: Any, new: Any) -> str:
    parts = []
    for field in attrs.fields(type(new)):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            parts.append(f"{field.name}: {_show(before)} -> {_show(after)}")
    return "; ".join(parts)


def _show(value: Any) -> str:
    if not isinstance(value, tuple):
        return cell_text(value) or "-"
    return ",".join(_show_item(item) for item in value) or "-"


def _show_item(item: Any) -> str:
    if isinstance(item, str):
        return item if len(item) < 64 else f"{item[:8]}..."
    verb = "idempotent" if item.idempotent else "non-idempotent"
    return f"{item.method} {item.path_prefix} {verb}"
