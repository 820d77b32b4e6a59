"""Measures of a replay, over all requests or a selection of them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from fnmatch import fnmatchcase

import attrs

from .executions import Harms
from .results import CallResult


@attrs.frozen
class Selection:
    """Requests that a measure is computed over.

    Parameters
    ----------
    organisation, service : str
        Name patterns with the wildcards ``*`` and ``?``.
    code : str
        Pattern of the refusals' error codes, likewise.
    from_s, to_s : float
        Range of arrival times; for costs, of the times at which they were received.
    """

    organisation: str = "*"
    service: str = "*"
    code: str = "*"
    from_s: float = 0.0
    to_s: float = math.inf

    def select(self, results: Sequence[CallResult]) -> list[CallResult]:
        """Return the results whose arrivals match the selection."""
        found = []
        for result in results:
            if not self._matches_names(result):
                continue
            if self.from_s <= result.arrival.at_s < self.to_s:
                found.append(result)
        return found

    def cost(self, results: Sequence[CallResult]) -> float:
        """Return the cost that matching callers received in the time range."""
        cost = 0.0
        for result in results:
            if not self._matches_names(result):
                continue
            for second, received in result.cost_by_second.items():
                if self.from_s <= second < self.to_s:
                    cost += received
        return cost

    def _matches_names(self, result: CallResult) -> bool:
        arrival = result.arrival
        if not fnmatchcase(arrival.organisation, self.organisation):
            return False
        return fnmatchcase(arrival.service, self.service)


@attrs.frozen
class ReplayResult:
    """Results of a completed replay.

    Parameters
    ----------
    results : list of CallResult
        One result for each arrival.
    harms : Harms or None
        ``None`` if the executions at the backend servers were not read.
    """

    results: list[CallResult]
    harms: Harms | None = None


Measure = Callable[[ReplayResult, Selection], float | None]


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that at least ``fraction`` of the values don't exceed.

    Examples
    --------
    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    index = max(0, math.ceil(fraction * len(ordered)) - 1)
    return ordered[index]


def _requests(replay: ReplayResult, selection: Selection) -> float:
    return len(selection.select(replay.results))


def _answered(replay: ReplayResult, selection: Selection) -> float:
    return sum(result.answered for result in selection.select(replay.results))


def _answered_part(replay: ReplayResult, selection: Selection) -> float | None:
    requests = _requests(replay, selection)
    return _answered(replay, selection) / requests if requests else None


def _refused(replay: ReplayResult, selection: Selection) -> float:
    count = 0
    for result in selection.select(replay.results):
        if result.answered:
            continue
        count += fnmatchcase(result.final.code, selection.code)
    return count


def _unknown(replay: ReplayResult, selection: Selection) -> float:
    results = selection.select(replay.results)
    return sum(result.final.executed == "unknown" for result in results)


def _latency_quantile(fraction: float) -> Measure:
    def measure(replay: ReplayResult, selection: Selection) -> float | None:
        results = selection.select(replay.results)
        latencies = [result.first_byte_s for result in results if result.answered]
        return quantile(latencies, fraction) if latencies else None

    return measure


def _cost(replay: ReplayResult, selection: Selection) -> float:
    return selection.cost(replay.results)


def _cost_part(replay: ReplayResult, selection: Selection) -> float | None:
    total = attrs.evolve(selection, organisation="*").cost(replay.results)
    return selection.cost(replay.results) / total if total else None


def _crossed(replay: ReplayResult, selection: Selection) -> float:
    results = selection.select(replay.results)
    return sum(result.answered and not result.own_answer for result in results)


def _cut(replay: ReplayResult, selection: Selection) -> float:
    return sum(result.cut for result in selection.select(replay.results))


def _harm_count(name: str) -> Measure:
    def measure(replay: ReplayResult, selection: Selection) -> float | None:
        if replay.harms is None:
            return None
        return float(getattr(replay.harms, name))

    return measure


MEASURES: dict[str, Measure] = {
    "answered": _answered,
    "answered_part": _answered_part,
    "cost": _cost,
    "cost_part": _cost_part,
    "crossed": _crossed,
    "cut": _cut,
    "doubled": _harm_count("doubled"),
    "false_refusals": _harm_count("false_refusals"),
    "lost": _harm_count("lost"),
    "refused": _refused,
    "requests": _requests,
    "unknown": _unknown,
    "waiting_p50_s": _latency_quantile(0.5),
    "waiting_p99_s": _latency_quantile(0.99),
}
