"""Figures of a replay, over all requests or a part of them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from fnmatch import fnmatchcase

import attrs

from .executions import Harms
from .results import CallResult


@attrs.frozen
class Selection:
    """Which requests a figure is taken over.

    Parameters
    ----------
    organisation, service : str
        Names, with ``*`` and ``?`` as in file names.
    code : str
        Code of refusals, likewise.
    from_s, to_s : float
        Times of arrival; for cost, times at which it was received.
    """

    organisation: str = "*"
    service: str = "*"
    code: str = "*"
    from_s: float = 0.0
    to_s: float = math.inf

    def select(self, results: Sequence[CallResult]) -> list[CallResult]:
        """Return the results of arrivals that belong to the selection."""
        found = []
        for result in results:
            if not self._names(result):
                continue
            if self.from_s <= result.arrival.at_s < self.to_s:
                found.append(result)
        return found

    def cost(self, results: Sequence[CallResult]) -> float:
        """Return the cost received by the selection's callers in its time."""
        cost = 0.0
        for result in results:
            if not self._names(result):
                continue
            for second, part in result.cost_by_second.items():
                if self.from_s <= second < self.to_s:
                    cost += part
        return cost

    def _names(self, result: CallResult) -> bool:
        arrival = result.arrival
        if not fnmatchcase(arrival.organisation, self.organisation):
            return False
        return fnmatchcase(arrival.service, self.service)


@attrs.frozen
class ReplayResult:
    """A replay that has ended.

    Parameters
    ----------
    results : list of CallResult
        One for each arrival.
    harms : Harms or None
        ``None`` when no backend servers were named.
    """

    results: list[CallResult]
    harms: Harms | None = None


Measure = Callable[[ReplayResult, Selection], float | None]


def quantile(values: Sequence[float], part: float) -> float:
    """Return the smallest value that at least ``part`` of the values don't exceed.

    Examples
    --------
    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    index = max(0, math.ceil(part * len(ordered)) - 1)
    return ordered[index]


def _requests(replayed: ReplayResult, selection: Selection) -> float:
    return len(selection.select(replayed.results))


def _answered(replayed: ReplayResult, selection: Selection) -> float:
    return sum(result.answered for result in selection.select(replayed.results))


def _answered_part(replayed: ReplayResult, selection: Selection) -> float | None:
    requests = _requests(replayed, selection)
    return _answered(replayed, selection) / requests if requests else None


def _refused(replayed: ReplayResult, selection: Selection) -> float:
    count = 0
    for result in selection.select(replayed.results):
        if result.answered:
            continue
        count += fnmatchcase(result.final.code, selection.code)
    return count


def _unknown(replayed: ReplayResult, selection: Selection) -> float:
    results = selection.select(replayed.results)
    return sum(result.final.executed == "unknown" for result in results)


def _waiting(part: float) -> Measure:
    def measure(replayed: ReplayResult, selection: Selection) -> float | None:
        results = selection.select(replayed.results)
        waits = [result.first_byte_s for result in results if result.answered]
        return quantile(waits, part) if waits else None

    return measure


def _cost(replayed: ReplayResult, selection: Selection) -> float:
    return selection.cost(replayed.results)


def _cost_part(replayed: ReplayResult, selection: Selection) -> float | None:
    whole = attrs.evolve(selection, organisation="*").cost(replayed.results)
    return selection.cost(replayed.results) / whole if whole else None


def _crossed(replayed: ReplayResult, selection: Selection) -> float:
    results = selection.select(replayed.results)
    return sum(result.answered and not result.own_answer for result in results)


def _cut(replayed: ReplayResult, selection: Selection) -> float:
    return sum(result.cut for result in selection.select(replayed.results))


def _harm(name: str) -> Measure:
    def measure(replayed: ReplayResult, selection: Selection) -> float | None:
        if replayed.harms is None:
            return None
        return float(getattr(replayed.harms, name))

    return measure


MEASURES: dict[str, Measure] = {
    "answered": _answered,
    "answered_part": _answered_part,
    "cost": _cost,
    "cost_part": _cost_part,
    "crossed": _crossed,
    "cut": _cut,
    "doubled": _harm("doubled"),
    "false_refusals": _harm("false_refusals"),
    "lost": _harm("lost"),
    "refused": _refused,
    "requests": _requests,
    "unknown": _unknown,
    "waiting_p50_s": _waiting(0.5),
    "waiting_p99_s": _waiting(0.99),
}
