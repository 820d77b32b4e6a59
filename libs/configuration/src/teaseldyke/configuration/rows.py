"""Parsing of a sheet's pages, with a check of every cell."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs

from .cells import cell_text, describe_column, parse_cell
from .columns import Page
from .errors import SheetFault


@attrs.frozen
class RawPage:
    """A page as read from a file.

    Parameters
    ----------
    page : Page
        Definition of the page.
    file : str
        File name used in faults.
    rows : sequence of sequence of object
        Cells, the header first.
    """

    page: Page
    file: str
    rows: Sequence[Sequence[object]]


@attrs.frozen
class ParsedRow:
    """A row whose cells are valid, checked one by one.

    Parameters
    ----------
    number : int
        Row number as in a spreadsheet.
    values : dict
        Values by column name.
    """

    number: int
    values: dict[str, Any]


@attrs.frozen
class ParsedPage:
    """Valid rows of a page, checked one by one.

    Parameters
    ----------
    page : Page
        Definition of the page.
    file : str
        File name used in faults.
    rows : tuple of ParsedRow
        Rows without a fault.
    names : frozenset of str
        First cells of all rows, faulty ones included, so that a reference to a faulty
        row is not reported as another fault.
    """

    page: Page
    file: str
    rows: tuple[ParsedRow, ...] = ()
    names: frozenset[str] = frozenset()

    def fault(self, row: ParsedRow, column: str, allowed: str) -> SheetFault:
        """Return a fault of one cell of this page."""
        value = cell_text(row.values.get(column))
        return SheetFault(self.file, row.number, column, value, allowed)


def parse_page(raw: RawPage, faults: list[SheetFault]) -> ParsedPage:
    """Check the header and every cell of a page; append to ``faults``."""
    headers = [cell_text(cell) for cell in raw.rows[0]] if raw.rows else []
    if not _check_headers(raw, headers, faults):
        return ParsedPage(raw.page, raw.file)
    parsed = []
    names = set()
    first_column = headers.index(raw.page.columns[0].name)
    for number, cells in enumerate(raw.rows[1:], start=2):
        texts = [cell_text(cell) for cell in cells]
        if not any(texts):
            continue
        if first_column < len(texts):
            names.add(texts[first_column])
        values = _parse_row(raw, headers, number, texts, faults)
        if values is not None:
            parsed.append(ParsedRow(number, values))
    page = ParsedPage(raw.page, raw.file, tuple(parsed), frozenset(names))
    _check_duplicates(page, faults)
    return page


def _check_headers(raw: RawPage, headers: list[str], faults: list[SheetFault]) -> bool:
    names = [column.name for column in raw.page.columns]
    allowed = "the headers " + ", ".join(names)
    faults_before = len(faults)
    for i, header in enumerate(headers):
        if header in names and header not in headers[:i]:
            continue
        if not header:
            continue
        faults.append(SheetFault(raw.file, 1, header, header, allowed))
    for column in raw.page.columns:
        if column.default is not None or column.name in headers:
            continue
        faults.append(SheetFault(raw.file, 1, column.name, "", allowed))
    return len(faults) == faults_before


def _parse_row(
    raw: RawPage,
    headers: list[str],
    number: int,
    texts: list[str],
    faults: list[SheetFault],
) -> dict[str, Any] | None:
    faults_before = len(faults)
    for header, text in zip(headers + [""] * len(texts), texts, strict=False):
        if header or not text:
            continue
        faults.append(
            SheetFault(raw.file, number, "", text, "no cell without a header")
        )
    cells = dict(zip(headers, texts, strict=False))
    values = {}
    for column in raw.page.columns:
        text = cells.get(column.name, "")
        if text.startswith("="):
            allowed = "a value, not a formula"
            faults.append(SheetFault(raw.file, number, column.name, text, allowed))
            continue
        try:
            values[column.name] = parse_cell(column, text)
        except ValueError:
            allowed = describe_column(column)
            faults.append(SheetFault(raw.file, number, column.name, text, allowed))
    return values if len(faults) == faults_before else None


def _check_duplicates(page: ParsedPage, faults: list[SheetFault]) -> None:
    first_rows: dict[tuple[Any, ...], int] = {}
    for row in page.rows:
        key = tuple(row.values[name] for name in page.page.key)
        first = first_rows.setdefault(key, row.number)
        if first == row.number:
            continue
        allowed = f"no duplicate of row {first}"
        faults.append(page.fault(row, page.page.key[-1], allowed))
