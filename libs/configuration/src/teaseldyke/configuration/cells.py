"""Conversion of a sheet's cells to values and back."""

from __future__ import annotations

import ipaddress
import math
import re
from functools import singledispatch
from typing import Any

from .columns import Column

_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}


@singledispatch
def cell_text(value: object) -> str:
    """Return the cell text of a value, from a workbook or from a sheet.

    Examples
    --------
    >>> cell_text(2.0), cell_text(True), cell_text(None), cell_text(("a", "b"))
    ('2', 'yes', '', 'a b')
    """
    return str(value)


@cell_text.register
def _(value: None) -> str:
    return ""


@cell_text.register
def _(value: str) -> str:
    return value.strip()


@cell_text.register
def _(value: bool) -> str:
    return "yes" if value else "no"


@cell_text.register
def _(value: float) -> str:
    return str(int(value)) if value.is_integer() else repr(value)


@cell_text.register
def _(value: tuple) -> str:  # type: ignore[type-arg]
    return " ".join(value)


def parse_cell(column: Column, text: str) -> Any:
    """Parse the text of a cell.

    Raises
    ------
    ValueError
        If the text is not allowed in the column.
    """
    if not text and column.default is not None:
        text = column.default
    if column.kind == "boolean":
        return _parse_boolean(text)
    if column.kind == "integer":
        return int(_within(column, int(text) if _is_integer(text) else math.nan))
    if column.kind == "number":
        return _within(column, float(text) if _is_number(text) else math.nan)
    if column.kind == "ip":
        return str(ipaddress.ip_address(text))
    if column.kind == "texts":
        return tuple(_parse_text(column, item) for item in text.split())
    return _parse_text(column, text)


def describe_column(column: Column) -> str:
    """Describe the values that a column allows.

    Examples
    --------
    >>> describe_column(Column("port", "TCP port.", "integer", low=1, high=65535))
    'an integer from 1 to 65535'
    """
    if column.choices:
        return "one of " + ", ".join(column.choices)
    if column.page is not None:
        return f"a name from page {column.page}"
    if column.kind == "texts":
        return f"texts separated by spaces, each matching {column.pattern}"
    if column.kind == "boolean":
        return "yes or no"
    if column.kind == "ip":
        return "an IP number"
    if column.kind in ("integer", "number"):
        word = "an integer" if column.kind == "integer" else "a number"
        return f"{word} from {_number(column.low)} to {_number(column.high)}"
    return f"a text that matches {column.pattern}"


def _number(bound: float | None) -> str:
    assert bound is not None
    return cell_text(float(bound))


def _is_integer(text: str) -> bool:
    return re.fullmatch(r"-?[0-9]{1,18}", text) is not None


def _is_number(text: str) -> bool:
    return re.fullmatch(r"-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]{1,3})?", text) is not None


def _within(column: Column, number: float) -> float:
    assert column.low is not None
    assert column.high is not None
    if not column.low <= number <= column.high:  # also rejects NaN
        raise ValueError(number)
    return number


def _parse_boolean(text: str) -> bool:
    value = _BOOLEANS.get(text.lower())
    if value is None:
        raise ValueError(text)
    return value


def _parse_text(column: Column, text: str) -> str:
    if not text:
        raise ValueError(text)
    if column.choices and text not in column.choices:
        raise ValueError(text)
    if column.pattern is not None and re.fullmatch(column.pattern, text) is None:
        raise ValueError(text)
    return text
