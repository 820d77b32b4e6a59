"""Table that the demonstration prints, and the outcomes that must hold."""

from __future__ import annotations

import attrs

from teaseldyke.replay import CallResult, ReplayResult, quantile

UTILISATION_MIN = 0.9  # busy slots of the engines during the flood
WAIT_P99_MAX_S = 5.0  # of the organisations that do not flood


@attrs.define
class SlotUsage:
    """Samples of busy slots over time.

    Parameters
    ----------
    slots : int
        Slots of all engines together.
    samples : list of (float, int)
        Time since the start and busy slots.
    """

    slots: int
    samples: list[tuple[float, int]] = attrs.field(factory=list)

    def sample(self, at_s: float, running: int) -> None:
        """Add a sample."""
        self.samples.append((at_s, running))

    def between(self, from_s: float, to_s: float) -> list[tuple[float, int]]:
        """Return the samples of a time interval."""
        return [sample for sample in self.samples if from_s <= sample[0] < to_s]

    @property
    def mean(self) -> float:
        """Mean fraction of busy slots."""
        if not self.samples:
            return 0.0
        busy = sum(running for _, running in self.samples)
        return busy / (len(self.samples) * self.slots)


@attrs.frozen
class Outcome:
    """One stated outcome and whether it holds."""

    text: str
    value: float
    holds: bool

    def describe(self) -> str:
        """Return the outcome as one line."""
        state = "holds" if self.holds else "BROKEN"
        return f"{state:<7} {self.value:8.3f}  {self.text}"


def print_table(replayed: ReplayResult, shares: dict[str, float]) -> None:
    """Print one line for each organisation, the largest share first."""
    print(
        f"{'organisation':<24}{'share':>6}{'requests':>9}{'answered':>9}"
        f"{'refused':>8}{'service':>9}{'wait p50':>9}{'wait p99':>9}"
    )
    for name in sorted(shares, key=lambda name: (-shares[name], name)):
        results = [r for r in replayed.results if r.arrival.organisation == name]
        print(_format_line(name, shares[name], results))


def _format_line(name: str, share: float, results: list[CallResult]) -> str:
    answered = [result for result in results if result.answered]
    waits = [result.first_byte_s for result in answered] or [0.0]
    service = sum(sum(result.cost_by_second.values()) for result in results)
    return (
        f"{name:<24}{share:>6g}{len(results):>9}{len(answered):>9}"
        f"{len(results) - len(answered):>8}{service:>9.0f}"
        f"{quantile(waits, 0.5):>8.2f}s{quantile(waits, 0.99):>8.2f}s"
    )


def check_outcomes(replayed: ReplayResult, usage: SlotUsage) -> list[Outcome]:
    """Return the outcomes that must hold."""
    flooding = _flooding_organisation(replayed.results)
    others = [r for r in replayed.results if r.arrival.organisation != flooding]
    refused = sum(not result.answered for result in others)
    waits = [result.first_byte_s for result in others if result.answered]
    crossed = sum(r.answered and not r.own_answer for r in replayed.results)
    cut = sum(result.cut for result in replayed.results)
    grants = sum(bool(r.arrival.idempotency_key) for r in replayed.results)
    harms = replayed.harms
    assert harms is not None
    waiting_s = quantile(waits, 0.99)
    return [
        Outcome("requests refused, but for the flooding one", refused, refused == 0),
        Outcome(
            f"s waiting p99, but for the flooding one, at most {WAIT_P99_MAX_S:g}",
            waiting_s,
            waiting_s <= WAIT_P99_MAX_S,
        ),
        Outcome(
            f"of the engines' slots busy under the flood, at least {UTILISATION_MIN:g}",
            usage.mean,
            usage.mean >= UTILISATION_MIN,
        ),
        Outcome(f"of {grants} grants issued twice", harms.doubled, not harms.doubled),
        Outcome("grants acknowledged but not issued", harms.lost, not harms.lost),
        Outcome("untrue refusals", harms.false_refusals, not harms.false_refusals),
        Outcome("answers of somebody else", crossed, not crossed),
        Outcome("answers cut", cut, not cut),
    ]


def _flooding_organisation(results: list[CallResult]) -> str:
    counts: dict[str, int] = {}
    for result in results:
        name = result.arrival.organisation
        counts[name] = counts.get(name, 0) + 1
    return max(counts, key=lambda name: counts[name])
