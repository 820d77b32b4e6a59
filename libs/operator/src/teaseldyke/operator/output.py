"""Output of rows as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Literal, TextIO

import attrs

OutputForm = Literal["table", "json"]
Row = Mapping[str, object]


@attrs.frozen
class Output:
    """Destination and format of a command's output.

    Parameters
    ----------
    form : {"table", "json"}
        Format: a table for people or JSON for programs.
    stream : file
        Stream to print to.
    """

    form: OutputForm
    stream: TextIO

    def rows(self, rows: Sequence[Row]) -> None:
        """Print rows; all have the columns of the first one."""
        if self.form == "json":
            print(json.dumps(list(rows), default=list), file=self.stream)
            return
        for line in format_table(rows):
            print(line, file=self.stream)

    def note(self, text: str) -> None:
        """Print a line for people; it is omitted from JSON output."""
        if self.form == "table":
            print(text, file=self.stream)


def format_table(rows: Sequence[Row]) -> list[str]:
    """Return the lines of a table with aligned columns.

    Examples
    --------
    >>> format_table([{"router": "r1", "version": 4}, {"router": "r2"}])
    ['router  version', 'r1      4', 'r2      -']
    """
    if not rows:
        return ["(none)"]
    names = list(rows[0])
    lines = [names] + [[_cell_text(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]


def _cell_text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (list, tuple, set, frozenset)):
        return ",".join(sorted(str(item) for item in value)) or "-"
    return str(value) or "-"
