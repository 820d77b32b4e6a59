"""Expected outcomes of a replay, and their check."""

from __future__ import annotations

from typing import Literal

import attrs

from teaseldyke.settings import spec

from .measures import MEASURES, ReplayResult, Selection

MeasureName = Literal[
    "answered",
    "answered_part",
    "cost",
    "cost_part",
    "crossed",
    "cut",
    "doubled",
    "false_refusals",
    "lost",
    "refused",
    "requests",
    "unknown",
    "waiting_p50_s",
    "waiting_p99_s",
]


@attrs.frozen
class Bound:
    """Bounds of one measure.

    A measure without a value, for lack of data, does not hold.
    """

    measure: MeasureName = attrs.field(metadata=spec("Figure."))
    organisation: str = attrs.field(
        default="*", metadata=spec("Pattern of organisations, with * and ?.")
    )
    service: str = attrs.field(default="*", metadata=spec("Pattern of services."))
    code: str = attrs.field(
        default="*", metadata=spec("Pattern of error codes, for the measure refused.")
    )
    from_s: float = attrs.field(default=0.0, metadata=spec("Start of the time range."))
    to_s: float | None = attrs.field(
        default=None, metadata=spec("End of the time range.")
    )
    min: float | None = attrs.field(default=None, metadata=spec("Smallest value."))
    max: float | None = attrs.field(default=None, metadata=spec("Largest value."))

    def __attrs_post_init__(self) -> None:
        if self.min is None and self.max is None:
            raise ValueError("a bound needs min or max")

    def check(self, replay: ReplayResult) -> BoundResult:
        """Compute the measure and compare it with the bound."""
        value = MEASURES[self.measure](replay, self._selection())
        return BoundResult(self, value, self._holds(value))

    def _selection(self) -> Selection:
        selection = Selection(self.organisation, self.service, self.code, self.from_s)
        if self.to_s is None:
            return selection
        return attrs.evolve(selection, to_s=self.to_s)

    def _holds(self, value: float | None) -> bool:
        if value is None:
            return False
        if self.min is not None and value < self.min:
            return False
        return self.max is None or value <= self.max


@attrs.frozen
class BoundResult:
    """A bound, its measured value in one replay, and whether it holds."""

    bound: Bound
    value: float | None
    holds: bool

    def describe(self) -> str:
        """Return one line of the printed table.

        Examples
        --------
        >>> BoundResult(Bound("doubled", max=0), 0.0, True).describe()
        'holds   doubled = 0 (at most 0)'
        """
        bound = self.bound
        parts = []
        if bound.min is not None:
            parts.append(f"at least {bound.min:g}")
        if bound.max is not None:
            parts.append(f"at most {bound.max:g}")
        names = []
        for name in ("organisation", "service", "code"):
            if getattr(bound, name) != "*":
                names.append(f" {name}={getattr(bound, name)}")
        if bound.from_s or bound.to_s is not None:
            end = "end" if bound.to_s is None else f"{bound.to_s:g} s"
            names.append(f" from {bound.from_s:g} s to {end}")
        value = "not measured" if self.value is None else f"{self.value:.4g}"
        verdict = "holds  " if self.holds else "BROKEN "
        where = "".join(names)
        return f"{verdict} {bound.measure}{where} = {value} ({', '.join(parts)})"


@attrs.frozen
class Expectations:
    """The outcomes file: all bounds that a replay must meet."""

    bounds: list[Bound] = attrs.field(metadata=spec("Measures and their bounds."))
