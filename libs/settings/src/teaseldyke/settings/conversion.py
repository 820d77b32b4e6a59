"""Conversion of parsed YAML into attrs classes; reports all faults, not the first."""

from __future__ import annotations

import re
import types
import typing
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Literal, Union

import attrs

from .address import Address
from .fields import FieldSpec, spec_of

_INVALID = object()
_NO_SPEC = FieldSpec()


@attrs.frozen
class Fault:
    """One setting whose value is missing or not allowed.

    Parameters
    ----------
    path : str
        Path of the setting in the file, as in ``peers[2].control``.
    found : str
        Value found.
    allowed : str
        Description of the values allowed.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"


def convert_mapping(
    value: object, cls: type[Any], path: str, faults: list[Fault]
) -> Any:
    """Convert a mapping into an instance of ``cls``; faults are appended to ``faults``.

    Returns
    -------
    object
        An instance of ``cls``; a placeholder, not to be used, if a fault was appended.
    """
    if not isinstance(value, dict):
        faults.append(Fault(path or ".", repr(value), "a mapping"))
        return _INVALID
    fields = {field.name: field for field in attrs.fields(cls)}
    hints = typing.get_type_hints(cls)
    faults_before = len(faults)
    for key in value:
        if key in fields:
            continue
        known = ", ".join(sorted(fields))
        faults.append(Fault(_join(path, str(key)), "an unknown key", known))
    arguments = {}
    for name, field in fields.items():
        field_path = _join(path, name)
        if name not in value:
            if field.default is attrs.NOTHING:
                allowed = describe_type(hints[name], spec_of(field))
                faults.append(Fault(field_path, "nothing", allowed))
            continue
        arguments[name] = _convert(
            value[name], hints[name], spec_of(field), field_path, faults
        )
    if len(faults) > faults_before:
        return _INVALID
    try:
        return cls(**arguments)
    except (TypeError, ValueError) as exc:
        faults.append(Fault(path or ".", repr(value), str(exc)))
        return _INVALID


def describe_type(hint: Any, spec: FieldSpec = _NO_SPEC) -> str:
    """Describe the values that a type and the bounds of its field allow.

    Examples
    --------
    >>> describe_type(int, FieldSpec(low=1, high=9))
    'an integer from 1 to 9'
    >>> describe_type(list[Address])
    "a list of IP number and port, as in '127.0.0.1:8080'"
    """
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (Union, types.UnionType):
        inner = [item for item in arguments if item is not type(None)]
        return f"{describe_type(inner[0], spec)}, or null"
    if origin is Literal:
        return "one of " + ", ".join(repr(item) for item in arguments)
    if origin in (list, tuple):
        return f"a list of {describe_type(arguments[0], spec)}"
    if origin is dict:
        return f"a mapping of names to {describe_type(arguments[1], spec)}"
    if hint is Address:
        return "IP number and port, as in '127.0.0.1:8080'"
    if hint is datetime:
        return "a date and time, as in 2026-01-31T06:00:00Z"
    if attrs.has(hint):
        return "a mapping of " + ", ".join(f.name for f in attrs.fields(hint))
    type_names = {
        int: "an integer",
        float: "a number",
        bool: "true or false",
        Path: "a path",
    }
    type_name = type_names.get(hint, "a string")
    if spec.pattern is not None:
        type_name += f" that matches {spec.pattern}"
    return type_name + _describe_bounds(spec)


def _describe_bounds(spec: FieldSpec) -> str:
    if spec.low is not None and spec.high is not None:
        return f" from {_number(spec.low)} to {_number(spec.high)}"
    if spec.low is not None:
        return f" from {_number(spec.low)}"
    if spec.high is not None:
        return f" up to {_number(spec.high)}"
    return ""


def _number(bound: float) -> str:
    return str(int(bound)) if bound == int(bound) else repr(bound)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _convert(
    value: object, hint: Any, spec: FieldSpec, path: str, faults: list[Fault]
) -> Any:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (Union, types.UnionType):
        if value is None:
            return None
        inner = next(item for item in arguments if item is not type(None))
        return _convert(value, inner, spec, path, faults)
    if origin in (list, tuple):
        if not isinstance(value, list):
            faults.append(Fault(path, repr(value), describe_type(hint, spec)))
            return _INVALID
        items = [
            _convert(item, arguments[0], spec, f"{path}[{i}]", faults)
            for i, item in enumerate(value)
        ]
        return items if origin is list else tuple(items)
    if origin is dict:
        if not isinstance(value, dict):
            faults.append(Fault(path, repr(value), describe_type(hint, spec)))
            return _INVALID
        return {
            str(key): _convert(item, arguments[1], spec, f"{path}.{key}", faults)
            for key, item in value.items()
        }
    if attrs.has(hint) and hint is not Address:
        return convert_mapping(value, hint, path, faults)
    converted = _convert_scalar(value, hint, spec)
    if converted is _INVALID:
        faults.append(Fault(path, repr(value), describe_type(hint, spec)))
    return converted


def _convert_scalar(value: object, hint: Any, spec: FieldSpec) -> Any:
    if hint is Any:
        return value
    if typing.get_origin(hint) is Literal:
        return value if value in typing.get_args(hint) else _INVALID
    if hint is bool:
        return value if isinstance(value, bool) else _INVALID
    if hint in (int, float):
        return _convert_number(value, hint, spec)
    if hint is datetime:
        return _convert_datetime(value)
    if not isinstance(value, str):
        return _INVALID
    if hint is Address:
        try:
            return Address.parse(value)
        except ValueError:
            return _INVALID
    if spec.pattern is not None and re.fullmatch(spec.pattern, value) is None:
        return _INVALID
    return Path(value) if hint is Path else value


def _convert_number(value: object, hint: Any, spec: FieldSpec) -> Any:
    allowed = (int,) if hint is int else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        return _INVALID
    number = hint(value)
    if number != number:  # NaN passes every comparison with a bound
        return _INVALID
    if spec.low is not None and number < spec.low:
        return _INVALID
    if spec.high is not None and number > spec.high:
        return _INVALID
    return number


def _convert_datetime(value: object) -> Any:
    if isinstance(value, str):
        try:
            value = datetime.fromisoformat(value)
        except ValueError:
            return _INVALID
    if not isinstance(value, datetime):
        return _INVALID
    return value if value.tzinfo is not None else value.replace(tzinfo=UTC)
