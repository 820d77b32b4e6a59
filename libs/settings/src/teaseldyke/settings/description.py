"""List of all settings, for the documentation."""

from __future__ import annotations

import typing
from typing import Any

import attrs

from .address import Address
from .conversion import describe_type
from .fields import spec_of


@attrs.frozen
class SettingDescription:
    """One setting, as a line of the settings page shows it.

    Parameters
    ----------
    path : str
        Path of the setting in the file, as in ``limits.body_bytes``.
    allowed : str
        Description of the values allowed.
    default : str
        Value if the file does not contain the setting, or ``"required"``.
    doc : str
        Meaning of the setting.
    """

    path: str
    allowed: str
    default: str
    doc: str


def describe(cls: type[Any], prefix: str = "") -> list[SettingDescription]:
    """List all settings of an attrs class, nested ones after their parent.

    Examples
    --------
    >>> from teaseldyke.settings import RouterSettings
    >>> describe(RouterSettings)[0].default
    'required'
    """
    hints = typing.get_type_hints(cls)
    found = []
    for field in attrs.fields(cls):
        hint = hints[field.name]
        spec = spec_of(field)
        path = f"{prefix}{field.name}"
        default = _describe_default(field)
        found.append(
            SettingDescription(path, describe_type(hint, spec), default, spec.doc)
        )
        item = _nested_class(hint)
        if item is None:
            continue
        suffix = "." if item is hint else "[]."
        found.extend(describe(item, path + suffix))
    return found


def _nested_class(hint: Any) -> Any:
    for candidate in (hint, *typing.get_args(hint)):
        if attrs.has(candidate) and candidate is not Address:
            return candidate
    return None


def _describe_default(field: attrs.Attribute[Any]) -> str:
    default: Any = field.default
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()
    if default is None:
        return "null"
    if isinstance(default, bool):
        return str(default).lower()
    if attrs.has(type(default)) and not isinstance(default, Address):
        return "see below"
    if isinstance(default, float):
        return f"{default:g}"
    return str(default)
