"""What became of a pattern's requests, as a table and as plots."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from teaseldyke.placement import Work

from .load import Arrival, best_worth

if TYPE_CHECKING:
    from .fleet import FleetSpec

WINDOW_S = 6  # of seconds over which shares are held to be fair


@attrs.define(eq=False)
class Result:
    """One request over all its attempts.

    Attributes
    ----------
    first_at_s, ended_at_s : float or None
        When its caller got the first event and the whole answer.
    refusals : int
        How often it was told to come back.
    given : list of tuple
        Moments and tokens of its sends.
    """

    arrival: Arrival
    first_at_s: float | None = None
    ended_at_s: float | None = None
    refusals: int = 0
    given: list[tuple[float, float]] = attrs.field(factory=list)

    def note_given(self, now_s: float, work: Work) -> None:
        """Note a send."""
        self.given.append((now_s, work.cost_tokens))

    @property
    def earned(self) -> float:
        """Worth of the answer: full if it began in time, less if later."""
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
    """Results of a pattern.

    Parameters
    ----------
    spec : FleetSpec
        The fleet that it was played on.
    arrivals : list of Arrival
        What was asked.
    results : list of Result
        One for each arrival.
    reread_tokens : int
        Shared tokens read though some engine had read them.
    """

    spec: FleetSpec
    arrivals: list[Arrival]
    results: list[Result]
    reread_tokens: int

    @property
    def worth(self) -> float:
        """Earned part of the worth owed."""
        return self.worth_by(lambda result: "all")["all"]

    @property
    def best(self) -> float:
        """Part of the worth that the engines could earn at best, as reckoned."""

        def engine_s(work: Work) -> float:
            unshared = attrs.evolve(
                work, prompt_tokens=work.prompt_tokens - work.shared_tokens
            )
            return self.spec.engine.busy_s(unshared)

        return best_worth(self.arrivals, engine_s, self.spec.engines)

    def worth_by(self, key: Key) -> dict[str, float]:
        """Return the earned part for each value of a key."""
        earned: dict[str, float] = {}
        owed: dict[str, float] = {}
        for result in self.results:
            name = key(result)
            earned[name] = earned.get(name, 0.0) + result.earned
            owed[name] = owed.get(name, 0.0) + result.arrival.worth
        return {name: earned[name] / owed[name] for name in sorted(owed)}

    def by_second(self) -> list[float]:
        """Return the earned part for each second of arrival."""
        parts = self.worth_by(lambda r: f"{int(r.arrival.work.arrived_at_s):04d}")
        return list(parts.values())

    def least_share(self) -> float:
        """Return the least part that an organisation got in six seconds.

        It is of what it asked for or of what the best served got, whichever is less.
        """
        least = 1.0
        names = {result.arrival.organisation for result in self.results}
        last_s = int(max(result.arrival.work.arrived_at_s for result in self.results))
        for start_s in range(last_s - WINDOW_S + 1):
            asked = dict.fromkeys(names, 0.0)
            given = dict.fromkeys(names, 0.0)
            for result in self.results:
                work = result.arrival.work
                name = result.arrival.organisation
                if start_s <= work.arrived_at_s < start_s + WINDOW_S:
                    asked[name] += work.cost_tokens
                for at_s, tokens in result.given:
                    if start_s <= at_s < start_s + WINDOW_S:
                        given[name] += tokens
            most = max(given.values())
            for name in names:
                owed = min(asked[name], most)
                if owed > 0.0:
                    least = min(least, given[name] / owed)
        return least

    def table(self) -> str:
        """Return the figures as text."""
        lines = [
            f"worth {self.worth:.3f} of {self.best:.3f} at best (reckoned)",
            f"least share of an organisation in {WINDOW_S} s: {self.least_share():.2f}",
            f"refusals {sum(result.refusals for result in self.results)}, "
            f"tokens read again {self.reread_tokens}",
        ]
        for title, key in KEYS.items():
            parts = self.worth_by(key)
            lines.append(
                f"by {title}: "
                + ", ".join(f"{name} {part:.3f}" for name, part in parts.items())
            )
        seconds = " ".join(f"{part:.2f}" for part in self.by_second())
        return "\n".join([*lines, f"by second: {seconds}"])

    def plot(self, path: Path) -> None:
        """Write the worth by second, for each kind and organisation, as a picture."""
        from matplotlib.figure import Figure  # takes a second to load

        figure = Figure(figsize=(9.0, 6.0))
        for row, (title, key) in enumerate(KEYS.items()):
            axes = figure.add_subplot(2, 1, row + 1)
            for name in self.worth_by(key):
                part = self._seconds_of(key, name)
                axes.plot(list(part), list(part.values()), label=name)
            axes.set_title(f"worth by second and {title}")
            axes.set_xlabel("arrival, s")
            axes.set_ylim(0.0, 1.05)
            axes.legend(fontsize="small")
        figure.tight_layout()
        figure.savefig(path)

    def _seconds_of(self, key: Key, name: str) -> dict[int, float]:
        earned: dict[int, float] = {}
        owed: dict[int, float] = {}
        for result in self.results:
            if key(result) != name:
                continue
            second = int(result.arrival.work.arrived_at_s)
            earned[second] = earned.get(second, 0.0) + result.earned
            owed[second] = owed.get(second, 0.0) + result.arrival.worth
        return {second: earned[second] / owed[second] for second in sorted(owed)}
