"""Requests of named load patterns, drawn from a seed."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import attrs

from teaseldyke.placement import Work

OUTPUT_TOKEN_WEIGHT = 10.0  # of a generated token in a request's size, as users pay it
BASE_WORTH = 0.3  # part of the worth that doesn't depend on the size
WORTH_MAX = 4.0  # times the worth of the kind
DAY_S = 20.0
RATE_MAX = 20.0  # largest factor of a pattern on a calm load
TROUBLE_S = (6.0, 14.0)  # from when to when a pattern shows


@attrs.frozen
class Kind:
    """A kind of request.

    Parameters
    ----------
    per_s : float
        Requests a second of a calm load at one engine.
    shared_tokens, own_tokens, output_tokens : float
        Means; shared ones are the same for all requests of a subject.
    spread : float
        Standard deviation of the own tokens' logarithm.
    subjects : int
        Prompts that requests share.
    aim_s, deadline_s : float
        Until the first event, and until the caller leaves.
    worth, late_worth : float
        Of a request of mean size.
    """

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: float
    output_tokens: float
    spread: float
    subjects: int
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float

    @property
    def mean_size(self) -> float:
        """Size of a mean request."""
        prompt_tokens = self.shared_tokens + self.own_tokens
        return prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens


KINDS = (
    Kind("dossier", 2.4, 5400, 6600.0, 380.0, 0.9, 200, 0.4, 10.0, 4.9, 1.5),
    Kind("query", 1.9, 200, 630.0, 290.0, 0.7, 200, 0.5, 10.0, 1.7, 0.51),
    Kind("tag", 5.4, 570, 1800.0, 23.0, 0.8, 300, 0.8, 2.5, 0.25, 0.075),
)


def produced_tokens_per_s(busy_s: Callable[[Work], float]) -> float:
    """Return what a fully busy engine produces of the calm mix of kinds.

    Parameters
    ----------
    busy_s : callable
        Engine time of a request.
    """
    tokens = seconds = 0.0
    for kind in KINDS:
        prompt_tokens = int(kind.shared_tokens + kind.own_tokens)
        output_tokens = int(kind.output_tokens)
        work = Work("", 0.0, 0.0, 0.0, 0.0, prompt_tokens, output_tokens)
        tokens += kind.per_s * work.cost_tokens
        seconds += kind.per_s * busy_s(work)
    return tokens / seconds


SHARES = {"large": 0.4, "middle": 0.25, "small-a": 0.2, "small-b": 0.1, "small-c": 0.05}


@attrs.frozen
class Arrival:
    """A request as its caller sends it."""

    kind: Kind
    organisation: str
    work: Work
    worth: float
    late_worth: float


@attrs.frozen
class Loss:
    """Engines that are lost, and come back cold."""

    at_s: float
    share: float
    back_at_s: float


Rate = Callable[[Kind, str, float], float]


@attrs.frozen
class Pattern:
    """A named load.

    Parameters
    ----------
    rate : callable
        Factor on the calm load of a kind and organisation at a moment.
    hot_part : float
        Part of the first kind's requests that ask for one subject.
    hot_organisation : str
        Whose requests these are; empty for all.
    loss : Loss or None
        Engines that are lost.
    narrow_organisation : str
        Whose callers all stand at one instance; empty if everybody's stand at all.
    """

    name: str
    rate: Rate
    hot_part: float = 0.0
    hot_organisation: str = ""
    loss: Loss | None = None
    narrow_organisation: str = ""


def _in_trouble(at_s: float) -> bool:
    return TROUBLE_S[0] <= at_s < TROUBLE_S[1]


def _times(factor: float, kind: str = "", organisation: str = "") -> Rate:
    def rate(asked: Kind, by: str, at_s: float) -> float:
        matches = kind in ("", asked.name) and organisation in ("", by)
        return factor if matches and _in_trouble(at_s) else 1.0

    return rate


def _held(asked: Kind, by: str, at_s: float) -> float:
    """Return a flood of one organisation and more of another's hot prompt."""
    if not _in_trouble(at_s):
        return 1.0
    if by == "large" and asked.name == "query":
        return 20.0
    return 4.0 if by == "middle" and asked.name == "dossier" else 1.0


def _wide_and_narrow(_asked: Kind, by: str, at_s: float) -> float:
    """Return floods of two organisations, each of more than half of the engines."""
    if not _in_trouble(at_s):
        return 1.0
    return {"large": 4.0, "middle": 6.0}.get(by, 1.0)


def _mixed(asked: Kind, _by: str, at_s: float) -> float:
    """Return long prompts and long answers by turns."""
    if not _in_trouble(at_s) or asked.name == "tag":
        return 1.0
    return 2.5 if (int(at_s / 2.0) % 2 == 0) is (asked.name == "dossier") else 0.5


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("steady", _times(1.0)),
        Pattern("burst", _times(2.0)),
        Pattern("large-tenant", _times(6.0, organisation="large")),
        Pattern("hot-part", _times(1.3), hot_part=0.5),
        Pattern("held-engine", _held, hot_part=0.9, hot_organisation="middle"),
        Pattern("engine-loss", _times(1.2), loss=Loss(6.0, 0.25, 60.0)),
        Pattern("cold-return", _times(1.2), loss=Loss(6.0, 0.25, 9.0)),
        Pattern("mixed-lengths", _mixed),
        Pattern("narrow-entry", _wide_and_narrow, narrow_organisation="middle"),
        Pattern(
            "narrow-entry-loss",
            _wide_and_narrow,
            loss=Loss(9.0, 0.25, 11.0),
            narrow_organisation="middle",
        ),
    )
}


def arrivals_of(
    pattern: Pattern, seed: int, engines: int, duration_s: float = DAY_S
) -> list[Arrival]:
    """Return a pattern's requests in the order of their arrival."""
    random = Random(f"{pattern.name}-{seed}")
    arrivals = []
    for kind in KINDS:
        for organisation, share in SHARES.items():
            calm_per_s = kind.per_s * engines * share
            most_per_s = RATE_MAX * calm_per_s
            at_s = random.expovariate(most_per_s)
            while at_s < duration_s:
                factor = pattern.rate(kind, organisation, at_s)
                if random.random() * most_per_s < factor * calm_per_s:
                    arrivals.append(_draw(random, pattern, kind, organisation, at_s))
                at_s += random.expovariate(most_per_s)
    return sorted(arrivals, key=lambda arrival: arrival.work.arrived_at_s)


def _draw(
    random: Random, pattern: Pattern, kind: Kind, organisation: str, at_s: float
) -> Arrival:
    subject = int(kind.subjects * random.random() ** 1.5)
    is_hot = kind is KINDS[0] and _in_trouble(at_s)
    is_hot &= pattern.hot_organisation in ("", organisation)
    if random.random() < pattern.hot_part and is_hot:
        subject = 0
    own = kind.own_tokens * random.lognormvariate(-(kind.spread**2) / 2.0, kind.spread)
    own_tokens = max(1, int(own))
    output_tokens = max(1, int(random.expovariate(1.0 / kind.output_tokens)))
    parts = (
        (f"{kind.name}-{organisation}-{subject}", kind.shared_tokens),
        (f"own-{random.getrandbits(48):x}", own_tokens),
    )
    prompt_tokens = kind.shared_tokens + own_tokens
    work = Work(
        organisation,
        at_s,
        at_s + kind.aim_s,
        at_s + max(2.0, 4.0 * kind.aim_s),
        at_s + kind.deadline_s,
        prompt_tokens,
        output_tokens,
        parts,
        priority=1,
    )
    size = (prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens) / kind.mean_size
    factor = min(WORTH_MAX, BASE_WORTH + (1.0 - BASE_WORTH) * size)
    return Arrival(
        kind, organisation, work, factor * kind.worth, factor * kind.late_worth
    )


def best_worth(
    arrivals: list[Arrival], engine_s: Callable[[Work], float], engines: int
) -> float:
    """Return an upper bound of the part of the worth that can be earned.

    In each window of four seconds the engines' time goes to the requests that are
    worth most for it; no request waits, and none is read twice.
    """
    window_s = 4.0
    windows: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        windows.setdefault(int(arrival.work.arrived_at_s / window_s), []).append(
            arrival
        )
    earned = owed = 0.0
    for asked in windows.values():
        left_s = engines * window_s
        asked.sort(key=lambda arrival: engine_s(arrival.work) / arrival.worth)
        for arrival in asked:
            owed += arrival.worth
            needed_s = engine_s(arrival.work)
            part = 1.0 if needed_s <= left_s else max(0.0, left_s / needed_s)
            earned += part * arrival.worth
            left_s = max(0.0, left_s - needed_s)
    return earned / owed if owed else math.nan
