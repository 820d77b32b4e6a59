"""Outcome of a simulated load pattern, as a table and as plots."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from teaseldyke.placement import Work

from .fairness_rule import REQUESTS_NOT_COUNTED, WINDOW_S, Shortfall, shortfalls
from .load import Arrival, worth_upper_bound

if TYPE_CHECKING:
    from .fleet import FleetSpec


@attrs.define(eq=False)
class Result:
    """Result of one request over all its attempts.

    Attributes
    ----------
    first_at_s, ended_at_s : float or None
        Times at which the caller received the first event and the complete answer.
    refusals : int
        Number of refusals.
    sends : list of tuple
        Time and cost in tokens of each send to an engine.
    refused_at_s : list of float
        Times of the refusals.
    """

    arrival: Arrival
    first_at_s: float | None = None
    ended_at_s: float | None = None
    refusals: int = 0
    sends: list[tuple[float, float]] = attrs.field(factory=list)
    refused_at_s: list[float] = attrs.field(factory=list)

    def record_refusal(self, now_s: float) -> None:
        """Record a refusal."""
        self.refusals += 1
        self.refused_at_s.append(now_s)

    def record_send(self, now_s: float, work: Work) -> None:
        """Record a send to an engine."""
        self.sends.append((now_s, work.cost_tokens))

    def unserved_seconds(self) -> set[int]:
        """Return the seconds in which it was refused or waited past its target."""
        seconds = {int(at_s) for at_s in self.refused_at_s}
        work = self.arrival.work
        answered_at_s = work.caller_timeout_at_s
        if self.first_at_s is not None:
            answered_at_s = self.first_at_s
        elif self.refused_at_s:
            answered_at_s = self.refused_at_s[0]
        if answered_at_s > work.on_time_until_s:
            seconds |= set(range(int(work.on_time_until_s), int(answered_at_s) + 1))
        return seconds

    @property
    def earned(self) -> float:
        """Worth of a complete answer, ``late_worth`` if it began late; else 0."""
        if self.ended_at_s is None or self.first_at_s is None:
            return 0.0
        on_time = self.first_at_s <= self.arrival.work.on_time_until_s
        return self.arrival.worth if on_time else self.arrival.late_worth


Key = Callable[[Result], str]


def _kind(result: Result) -> str:
    return result.arrival.kind.name


def _organisation(result: Result) -> str:
    return result.arrival.organisation


KEYS: dict[str, Key] = {"kind": _kind, "organisation": _organisation}


@attrs.frozen
class Outcome:
    """Outcome of a simulated load pattern.

    Parameters
    ----------
    spec : FleetSpec
        Simulated fleet.
    arrivals : list of Arrival
        All requests.
    results : list of Result
        One for each arrival.
    reread_tokens : int
        Shared tokens prefilled again although some engine had prefilled them before.
    crashes : int
        Engines that crashed under a prompt.
    limit_excess : float
        Most requests of an engine in a window, against those that its limit allows.
    limit_used : float
        Used part of all stated limits.
    """

    spec: FleetSpec
    arrivals: list[Arrival]
    results: list[Result]
    reread_tokens: int
    crashes: int = 0
    limit_excess: float = 0.0
    limit_used: float = 0.0

    @property
    def worth(self) -> float:
        """Fraction of the offered worth that was earned."""
        return self.worth_by(lambda result: "all")["all"]

    @property
    def best(self) -> float:
        """Computed upper bound of `worth`; see `worth_upper_bound`."""

        def engine_s(work: Work) -> float:
            unshared = attrs.evolve(
                work, prompt_tokens=work.prompt_tokens - work.shared_tokens
            )
            return self.spec.engine.busy_s(unshared)

        return worth_upper_bound(self.arrivals, engine_s, self.spec.engines)

    def worth_by(self, key: Key) -> dict[str, float]:
        """Return the earned fraction for each value of a key."""
        earned: dict[str, float] = {}
        offered: dict[str, float] = {}
        for result in self.results:
            name = key(result)
            earned[name] = earned.get(name, 0.0) + result.earned
            offered[name] = offered.get(name, 0.0) + result.arrival.worth
        return {name: earned[name] / offered[name] for name in sorted(offered)}

    def by_second(self) -> list[float]:
        """Return the earned fraction for each second of arrival."""
        fractions = self.worth_by(lambda r: f"{int(r.arrival.work.arrived_at_s):04d}")
        return list(fractions.values())

    def least_share(self, organisation: str | None = None) -> float:
        """Return the smallest share that an organisation got in any six seconds.

        The share is what it got, divided by the lesser of what it requested and what
        the organisation with the largest throughput got in the same window.

        Parameters
        ----------
        organisation : str or None
            The one to look at; any if it is ``None``.
        """
        least = 1.0
        names = {result.arrival.organisation for result in self.results}
        last_s = int(max(result.arrival.work.arrived_at_s for result in self.results))
        for start_s in range(last_s - WINDOW_S + 1):
            requested = dict.fromkeys(names, 0.0)
            sent = dict.fromkeys(names, 0.0)
            for result in self.results:
                work = result.arrival.work
                name = result.arrival.organisation
                if start_s <= work.arrived_at_s < start_s + WINDOW_S:
                    requested[name] += work.cost_tokens
                for at_s, tokens in result.sends:
                    if start_s <= at_s < start_s + WINDOW_S:
                        sent[name] += tokens
            most = max(sent.values())
            for name in names if organisation is None else [organisation]:
                due = min(requested[name], most)
                if due > 0.0:
                    least = min(least, sent[name] / due)
        return least

    def unfair_windows(self) -> list[Shortfall]:
        """Return the windows in which an organisation that always lacked got little.

        Little is less than half of its due, which is the lesser of what it requested
        and what the organisation with the largest throughput got, second by second,
        less some of the largest requests.
        """
        names = {result.arrival.organisation for result in self.results}
        seconds = 1 + int(max(r.arrival.work.arrived_at_s for r in self.results))
        requested = {name: [0.0] * seconds for name in names}
        sent = {name: [0.0] * seconds for name in names}
        unserved: dict[str, set[int]] = {name: set() for name in names}
        for result in self.results:
            work, name = result.arrival.work, result.arrival.organisation
            requested[name][int(work.arrived_at_s)] += work.cost_tokens
            unserved[name] |= result.unserved_seconds()
            for at_s, tokens in result.sends:
                if at_s < seconds:
                    sent[name][int(at_s)] += tokens
        largest_tokens = max(r.arrival.work.cost_tokens for r in self.results)
        not_counted = REQUESTS_NOT_COUNTED * largest_tokens
        return shortfalls(requested, sent, unserved, not_counted)

    def table(self) -> str:
        """Return the figures of the outcome as text."""
        lines = [
            f"worth {self.worth:.3f} of {self.best:.3f} at best (reckoned)",
            f"least share of an organisation in {WINDOW_S} s: {self.least_share():.2f}",
            f"refusals {sum(result.refusals for result in self.results)}, "
            f"tokens read again {self.reread_tokens}, "
            f"engines crashed by prompts {self.crashes}",
        ]
        if self.limit_used:
            lines.append(
                f"stated limits: {self.limit_used:.2f} used, "
                f"busiest window {self.limit_excess:.2f} of what is allowed"
            )
        for title, key in KEYS.items():
            fractions = self.worth_by(key)
            lines.append(
                f"by {title}: "
                + ", ".join(f"{name} {value:.3f}" for name, value in fractions.items())
            )
        seconds = " ".join(f"{value:.2f}" for value in self.by_second())
        return "\n".join([*lines, f"by second: {seconds}"])

    def plot(self, path: Path) -> None:
        """Plot the earned fraction by second, for each kind and organisation."""
        from matplotlib.figure import Figure  # takes a second to load

        figure = Figure(figsize=(9.0, 6.0))
        for row, (title, key) in enumerate(KEYS.items()):
            axes = figure.add_subplot(2, 1, row + 1)
            for name in self.worth_by(key):
                fractions = self._by_second_of(key, name)
                axes.plot(list(fractions), list(fractions.values()), label=name)
            axes.set_title(f"worth by second and {title}")
            axes.set_xlabel("arrival, s")
            axes.set_ylim(0.0, 1.05)
            axes.legend(fontsize="small")
        figure.tight_layout()
        figure.savefig(path)

    def _by_second_of(self, key: Key, name: str) -> dict[int, float]:
        earned: dict[int, float] = {}
        offered: dict[int, float] = {}
        for result in self.results:
            if key(result) != name:
                continue
            second = int(result.arrival.work.arrived_at_s)
            earned[second] = earned.get(second, 0.0) + result.earned
            offered[second] = offered.get(second, 0.0) + result.arrival.worth
        return {second: earned[second] / offered[second] for second in sorted(offered)}
