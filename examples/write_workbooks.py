"""Writes the workbook of each example from its CSV files."""

from __future__ import annotations

from pathlib import Path

from teaseldyke.configuration import read_sheet, write_sheet

EXAMPLES = Path(__file__).parent


def main() -> None:
    """Write ``sheet.xlsx`` beside every directory ``sheet``."""
    for directory in sorted(EXAMPLES.glob("*/sheet")):
        workbook = directory.with_suffix(".xlsx")
        write_sheet(read_sheet(directory), workbook)
        print(workbook.relative_to(EXAMPLES))


if __name__ == "__main__":
    main()
