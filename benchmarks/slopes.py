"""Slopes: costs per additional unit (request, router, entry), from linear fits."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path

import attrs


@attrs.frozen
class Slope:
    """Measured cost per additional unit.

    Parameters
    ----------
    name, unit : str
        What was measured; the unit of the cost includes what it is counted per.
    value : float
        Measured value.
    """

    name: str
    unit: str
    value: float


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through points.

    Examples
    --------
    >>> fit([(0, 1.0), (1, 3.0), (2, 5.0)])
    (2.0, 1.0)
    """
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    slope = covariance / variance
    return slope, mean_y - slope * mean_x


def write_slopes(slopes: Sequence[Slope], command: str, path: Path) -> None:
    """Write slopes as a JSON list, each with the command that measures it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    entries = [
        {
            "name": slope.name,
            "unit": slope.unit,
            "value": float(f"{slope.value:.4g}"),
            "command": command,
        }
        for slope in slopes
    ]
    path.write_text(json.dumps(entries, indent=2) + "\n")


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return slopes as an aligned table."""
    width = max(len(slope.name) for slope in slopes)
    lines = []
    for slope in slopes:
        lines.append(f"{slope.name:<{width}}  {slope.value:>12.4g}  {slope.unit}")
    return "\n".join(lines)
