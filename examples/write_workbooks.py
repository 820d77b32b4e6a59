"""Writes the workbook of each example from its CSV files."""

from __future__ import annotations

from pathlib import Path

from teaseldyke.configuration import read_sheet, write_sheet

EXAMPLES = Path(__file__).parent


def main() -> None:
    """Write ``sheet.xlsx`` beside the CSV files of every example."""
    for directory in sorted(path for path in EXAMPLES.iterdir() if path.is_dir()):
        workbook = directory / "sheet.xlsx"
        write_sheet(read_sheet(directory), workbook)
        print(workbook.relative_to(EXAMPLES))


if __name__ == "__main__":
    main()
