"""Reads and writes sheets as a workbook or a directory of CSV files."""

from __future__ import annotations

import csv
import io
import os
import zipfile
from pathlib import Path

import attrs

from .assembly import pages_of, sheet_from_pages
from .cells import cell_text
from .columns import PAGES
from .errors import SheetFault, SheetInvalid
from .rows import RawPage, parse_page
from .sheet import Sheet

WORKBOOK_DIGITS = 15  # significant digits of a number in a workbook

_ALLOWED_FILE = "a directory of CSV files, or a workbook (.xlsx)"


@attrs.frozen
class SheetFile:
    """A sheet as read from a file.

    Parameters
    ----------
    sheet : Sheet
        Content of the file.
    base_version : int or None
        Version that it was exported from, if the file contains it.
    """

    sheet: Sheet
    base_version: int | None = None


def read_sheet(path: str | os.PathLike[str]) -> Sheet:
    """Read a sheet from a workbook or a directory of CSV files.

    Raises
    ------
    SheetInvalid
        With every fault by file, row and column.
    """
    return read_sheet_file(path).sheet


def read_sheet_file(path: str | os.PathLike[str]) -> SheetFile:
    """Read a sheet, as `read_sheet`, and the version that it was exported from."""
    location = Path(path)
    faults: list[SheetFault] = []
    if location.is_dir():
        pages = _read_directory(location, faults)
    elif location.suffix == ".xlsx" and location.is_file():
        pages = _read_workbook(location, faults)
    else:
        raise SheetInvalid(
            [SheetFault(str(location), 0, "", location.name, _ALLOWED_FILE)]
        )
    sheet = sheet_from_pages(pages, faults)
    return SheetFile(sheet, _base_version(pages))


def write_sheet(
    sheet: Sheet, path: str | os.PathLike[str], base_version: int | None = None
) -> None:
    """Write a sheet as a workbook (``.xlsx``) or a directory of CSV files.

    Parameters
    ----------
    sheet : Sheet
        Sheet to write.
    path : path-like
        Workbook, or directory, which is created if missing.
    base_version : int, optional
        Version that the sheet was exported from.
    """
    location = Path(path)
    pages = pages_of(sheet, base_version)
    if location.suffix == ".xlsx":
        _write_workbook(pages, location)
        return
    location.mkdir(parents=True, exist_ok=True)
    for raw in pages:
        with (location / raw.file).open("w", encoding="utf-8", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            for row in raw.rows:
                writer.writerow([cell_text(cell) for cell in row])


def _read_directory(location: Path, faults: list[SheetFault]) -> list[RawPage]:
    pages = []
    for path in sorted(location.glob("*.csv")):
        if path.stem not in PAGES:
            allowed = "the files " + ", ".join(f"{name}.csv" for name in PAGES)
            faults.append(SheetFault(path.name, 0, "", path.name, allowed))
            continue
        try:
            text = path.read_text(encoding="utf-8-sig")
            rows = list(csv.reader(io.StringIO(text, newline=""), strict=True))
        except (UnicodeDecodeError, csv.Error) as exc:
            faults.append(SheetFault(path.name, 0, "", str(exc), "CSV in UTF-8"))
            continue
        pages.append(RawPage(PAGES[path.stem], path.name, rows))
    _check_missing(
        {path.stem for path in location.glob("*.csv")}, str(location), faults
    )
    return pages


def _read_workbook(location: Path, faults: list[SheetFault]) -> list[RawPage]:
    # Imported here, since it takes 21 MB of memory that a router does not need.
    import openpyxl
    from openpyxl.utils.exceptions import InvalidFileException

    try:
        book = openpyxl.load_workbook(location, read_only=True)
    except (OSError, InvalidFileException, zipfile.BadZipFile, KeyError) as exc:
        raise SheetInvalid(
            [SheetFault(location.name, 0, "", str(exc), _ALLOWED_FILE)]
        ) from exc
    pages = []
    for title in book.sheetnames:
        file = f"{location.name}[{title}]"
        if title not in PAGES:
            allowed = "the pages " + ", ".join(PAGES)
            faults.append(SheetFault(file, 0, "", title, allowed))
            continue
        rows = list(book[title].iter_rows(values_only=True))
        pages.append(RawPage(PAGES[title], file, rows))
    _check_missing(set(book.sheetnames), location.name, faults)
    book.close()
    return pages


def _check_missing(found: set[str], file: str, faults: list[SheetFault]) -> None:
    for name, page in PAGES.items():
        if page.optional or name in found:
            continue
        faults.append(SheetFault(file, 0, "", f"no {name}", f"the page {name}"))


def _base_version(pages: list[RawPage]) -> int | None:
    for raw in pages:
        if raw.page.name != "export":
            continue
        rows = parse_page(raw, []).rows
        return int(rows[0].values["base_version"]) if rows else None
    return None


def _write_workbook(pages: list[RawPage], location: Path) -> None:
    import openpyxl

    book = openpyxl.Workbook()
    book.remove(book.active)
    for raw in pages:
        page = book.create_sheet(raw.page.name)
        for row in raw.rows:
            page.append([_workbook_cell(cell) for cell in row])
        page.freeze_panes = "A2"
    location.parent.mkdir(parents=True, exist_ok=True)
    book.save(location)


def _workbook_cell(cell: object) -> object:
    """Return numbers that a workbook stores exactly, and all other values as text."""
    if isinstance(cell, bool) or not isinstance(cell, (int, float)):
        return cell_text(cell)
    if float(f"{cell:.{WORKBOOK_DIGITS}g}") != cell:
        return cell_text(cell)
    return cell
