"""Sheets in files: a workbook, or a directory of CSV files."""

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
    """A sheet as a file holds it.

    Parameters
    ----------
    sheet : Sheet
        What it says.
    base_version : int or None
        Version that it was exported from, if the file tells.
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
    """Read a sheet and the version that it was exported from; as `read_sheet`."""
    place = Path(path)
    faults: list[SheetFault] = []
    if place.is_dir():
        pages = _read_directory(place, faults)
    elif place.suffix == ".xlsx" and place.is_file():
        pages = _read_workbook(place, faults)
    else:
        raise SheetInvalid([SheetFault(str(place), 0, "", place.name, _ALLOWED_FILE)])
    sheet = sheet_from_pages(pages, faults)
    return SheetFile(sheet, _base_version(pages))


def write_sheet(
    sheet: Sheet, path: str | os.PathLike[str], base_version: int | None = None
) -> None:
    """Write a sheet as a workbook (``.xlsx``) or a directory of CSV files.

    Parameters
    ----------
    sheet : Sheet
        What to write.
    path : path-like
        Workbook, or directory that is made when missing.
    base_version : int, optional
        Version that the sheet was exported from.
    """
    place = Path(path)
    pages = pages_of(sheet, base_version)
    if place.suffix == ".xlsx":
        _write_workbook(pages, place)
        return
    place.mkdir(parents=True, exist_ok=True)
    for raw in pages:
        with (place / raw.file).open("w", encoding="utf-8", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            for row in raw.rows:
                writer.writerow([cell_text(cell) for cell in row])


def _read_directory(place: Path, faults: list[SheetFault]) -> list[RawPage]:
    pages = []
    for path in sorted(place.glob("*.csv")):
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
    _check_missing({path.stem for path in place.glob("*.csv")}, str(place), faults)
    return pages


def _read_workbook(place: Path, faults: list[SheetFault]) -> list[RawPage]:
    # Imported late: it takes 21 MB, which a router never needs.
    import openpyxl
    from openpyxl.utils.exceptions import InvalidFileException

    try:
        book = openpyxl.load_workbook(place, read_only=True)
    except (OSError, InvalidFileException, zipfile.BadZipFile, KeyError) as exc:
        raise SheetInvalid(
            [SheetFault(place.name, 0, "", str(exc), _ALLOWED_FILE)]
        ) from exc
    pages = []
    for title in book.sheetnames:
        file = f"{place.name}[{title}]"
        if title not in PAGES:
            allowed = "the pages " + ", ".join(PAGES)
            faults.append(SheetFault(file, 0, "", title, allowed))
            continue
        rows = list(book[title].iter_rows(values_only=True))
        pages.append(RawPage(PAGES[title], file, rows))
    _check_missing(set(book.sheetnames), place.name, faults)
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


def _write_workbook(pages: list[RawPage], place: Path) -> None:
    import openpyxl

    book = openpyxl.Workbook()
    book.remove(book.active)
    for raw in pages:
        page = book.create_sheet(raw.page.name)
        for row in raw.rows:
            page.append([_workbook_cell(cell) for cell in row])
        page.freeze_panes = "A2"
    place.parent.mkdir(parents=True, exist_ok=True)
    book.save(place)


def _workbook_cell(cell: object) -> object:
    """Return a number that a workbook keeps exactly as such, all else as text."""
    if isinstance(cell, bool) or not isinstance(cell, (int, float)):
        return cell_text(cell)
    if float(f"{cell:.{WORKBOOK_DIGITS}g}") != cell:
        return cell_text(cell)
    return cell
