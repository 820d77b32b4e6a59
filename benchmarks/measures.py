"""Measured values with their targets, as a table and as a JSON file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Literal

import attrs


@attrs.frozen
class Measure:
    """One measured value.

    Parameters
    ----------
    name, unit : str
        Name and unit of the measure.
    value : float
        Measured value.
    target : float, optional
        Bound to meet; a measure without one is given for comparison only.
    better : {"lower", "higher"}
        Whether the target is an upper or a lower bound.
    """

    name: str
    unit: str
    value: float
    target: float | None = None
    better: Literal["lower", "higher"] = "lower"

    @property
    def holds(self) -> bool | None:
        """Whether the target is met; ``None`` without a target.

        Examples
        --------
        >>> Measure("latency", "ms", 1.5, target=2.0).holds
        True
        """
        if self.target is None:
            return None
        if self.better == "lower":
            return self.value <= self.target
        return self.value >= self.target


def write_measures(measures: list[Measure], path: Path) -> None:
    """Write measures as a JSON list."""
    path.parent.mkdir(parents=True, exist_ok=True)
    entries = [
        {
            "name": measure.name,
            "unit": measure.unit,
            "target": measure.target,
            "value": round(measure.value, 4),
            "holds": measure.holds,
        }
        for measure in measures
    ]
    path.write_text(json.dumps(entries, indent=2) + "\n")


def format_table(measures: list[Measure]) -> str:
    """Return measures as an aligned table."""
    rows = [("measure", "value", "target", "holds", "unit")]
    for measure in measures:
        rows.append(
            (
                measure.name,
                f"{measure.value:.2f}",
                _target(measure),
                {None: "", True: "yes", False: "NO"}[measure.holds],
                measure.unit,
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _target(measure: Measure) -> str:
    if measure.target is None:
        return ""
    sign = "<=" if measure.better == "lower" else ">="
    return f"{sign} {measure.target:g}"
