"""Named load patterns, and the requests that a seed generates from them."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from random import Random

import attrs

from teaseldyke.placement import RequestIdentity, Work

OUTPUT_TOKEN_WEIGHT = 10.0  # price of an output token, in prompt tokens
FIXED_WORTH_RATIO = 0.3  # part of a request's worth that is independent of its size
WORTH_FACTOR_MAX = 4.0  # upper bound, as a multiple of the kind's worth
RUN_S = 20.0  # simulated time in which requests arrive
RATE_FACTOR_MAX = 20.0  # upper bound of a pattern's factor on the base load
# Start and end of a pattern's deviation from the base load.
DISTURBANCE_S = (6.0, 14.0)
LARGE_FLEET_FLOOD_S = 4.0  # start of the floods in the patterns for large fleets
CRASHING_PART = "crashing"  # crashes each engine that begins to answer a prompt with it
CRASHING_TOKENS = 500


@attrs.frozen
class Kind:
    """A kind of request.

    Parameters
    ----------
    per_s : float
        Requests a second and engine under the base load.
    shared_tokens, own_tokens, output_tokens : float
        Mean sizes. The shared tokens are a prefix that all requests of a subject
        have in common.
    spread : float
        Standard deviation of the logarithm of ``own_tokens``.
    subjects : int
        Number of distinct shared prefixes.
    aim_s, deadline_s : float
        Target time to the first event, and time until the caller disconnects.
    worth, late_worth : float
        Worth of a request of mean size that is answered on time, and late.
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
        """Size of a request of mean length, in weighted tokens."""
        prompt_tokens = self.shared_tokens + self.own_tokens
        return prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens


KINDS = (
    Kind("dossier", 2.4, 5400, 6600.0, 380.0, 0.9, 200, 0.4, 10.0, 4.9, 1.5),
    Kind("query", 1.9, 200, 630.0, 290.0, 0.7, 200, 0.5, 10.0, 1.7, 0.51),
    Kind("tag", 5.4, 570, 1800.0, 23.0, 0.8, 300, 0.8, 2.5, 0.25, 0.075),
)


def produced_tokens_per_s(busy_s: Callable[[Work], float]) -> float:
    """Return the throughput of a saturated engine under the base mix of kinds.

    Parameters
    ----------
    busy_s : callable
        Engine time that a request takes.
    """
    tokens = seconds = 0.0
    for kind in KINDS:
        prompt_tokens = int(kind.shared_tokens + kind.own_tokens)
        output_tokens = int(kind.output_tokens)
        work = Work("", 0.0, 0.0, 0.0, 0.0, prompt_tokens, output_tokens)
        tokens += kind.per_s * work.cost_tokens
        seconds += kind.per_s * busy_s(work)
    return tokens / seconds


ORGANISATION_SHARES = {
    "large": 0.4,
    "middle": 0.25,
    "small-a": 0.2,
    "small-b": 0.1,
    "small-c": 0.05,
}


@attrs.frozen
class Arrival:
    """A request that a caller sends; ``is_crashing`` if it crashes engines."""

    kind: Kind
    organisation: str
    work: Work
    worth: float
    late_worth: float
    is_crashing: bool = False


@attrs.frozen
class Loss:
    """Failure of a share of the engines, which restart cold at ``back_at_s``.

    Unless it is announced, the engines stay listed and refuse connections, so that
    each instance finds out by its own sends.
    """

    at_s: float
    share: float
    back_at_s: float
    is_announced: bool = True


@attrs.frozen
class StatedLimits:
    """Limits on requests that a share of the engines states during the disturbance.

    Parameters
    ----------
    share : float
        Share of the engines.
    per_s : float
        Requests a second that each of them takes from all instances.
    """

    share: float
    per_s: float


# Two large organisations beside many that request less than an equal part.
MANY_SMALL_SHARES = {
    "wide": 0.1,
    "narrow": 0.1,
    **{f"small-{number}": 0.0125 for number in range(24)},
}

Rate = Callable[[Kind, str, float], float]


@attrs.frozen
class Pattern:
    """A named load pattern.

    Parameters
    ----------
    rate : callable
        Factor on the base load of a kind and organisation at a given time.
    hot_part : float
        Fraction of the first kind's requests that share one subject.
    hot_organisation : str
        Organisation that sends these requests; empty for all.
    loss : Loss or None
        Failure of engines.
    narrow_organisation : str
        Organisation whose callers all connect to one instance; empty if the callers
        of every organisation are spread over all instances.
    crashing_share : float
        Fraction of the first kind's requests that crash engines. They earn nothing.
    crashing_requests : int
        Number of distinct requests among them, which come again; 0 if all are
        different and share a part of their prompts.
    limits : StatedLimits or None
        Limits that engines state.
    organisation_shares : mapping of str to float
        Share of each organisation in the base load.
    duration_s : float
        Time in which requests arrive.
    """

    name: str
    rate: Rate
    hot_part: float = 0.0
    hot_organisation: str = ""
    loss: Loss | None = None
    narrow_organisation: str = ""
    crashing_share: float = 0.0
    crashing_requests: int = 0
    limits: StatedLimits | None = None
    organisation_shares: Mapping[str, float] = attrs.field(
        factory=ORGANISATION_SHARES.copy
    )
    duration_s: float = RUN_S


def _is_disturbed(at_s: float) -> bool:
    return DISTURBANCE_S[0] <= at_s < DISTURBANCE_S[1]


def _scaled(factor: float, kind: str = "", organisation: str = "") -> Rate:
    def rate(requested: Kind, sender: str, at_s: float) -> float:
        matches = kind in ("", requested.name) and organisation in ("", sender)
        return factor if matches and _is_disturbed(at_s) else 1.0

    return rate


def _flood_and_hot_prompt(requested: Kind, sender: str, at_s: float) -> float:
    """Return a flood by one organisation and a surge of another's hot prompt."""
    if not _is_disturbed(at_s):
        return 1.0
    if sender == "large" and requested.name == "query":
        return 20.0
    return 4.0 if sender == "middle" and requested.name == "dossier" else 1.0


def _two_floods(_requested: Kind, sender: str, at_s: float) -> float:
    """Return floods by two organisations, each above half of the engines' capacity."""
    if not _is_disturbed(at_s):
        return 1.0
    return {"large": 4.0, "middle": 6.0}.get(sender, 1.0)


def _two_floods_among_many(_requested: Kind, sender: str, at_s: float) -> float:
    """Return floods by two organisations, both above their fair share."""
    if at_s < LARGE_FLEET_FLOOD_S:
        return 1.0
    return {"narrow": 8.0, "wide": 4.0}.get(sender, 1.0)


def _alternating_lengths(requested: Kind, _sender: str, at_s: float) -> float:
    """Return long prompts and long outputs in alternation, every two seconds."""
    if not _is_disturbed(at_s) or requested.name == "tag":
        return 1.0
    return 2.5 if (int(at_s / 2.0) % 2 == 0) is (requested.name == "dossier") else 0.5


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("steady", _scaled(1.0)),
        Pattern("burst", _scaled(2.0)),
        Pattern("large-tenant", _scaled(6.0, organisation="large")),
        Pattern("hot-part", _scaled(1.3), hot_part=0.5),
        Pattern(
            "held-engine",
            _flood_and_hot_prompt,
            hot_part=0.9,
            hot_organisation="middle",
        ),
        Pattern("engine-loss", _scaled(1.2), loss=Loss(6.0, 0.25, 60.0)),
        Pattern("cold-return", _scaled(1.2), loss=Loss(6.0, 0.25, 9.0)),
        Pattern("mixed-lengths", _alternating_lengths),
        Pattern("narrow-entry", _two_floods, narrow_organisation="middle"),
        Pattern(
            "narrow-entry-loss",
            _two_floods,
            loss=Loss(9.0, 0.25, 11.0),
            narrow_organisation="middle",
        ),
        Pattern("crashing-part", _scaled(1.0), crashing_share=0.05),
        Pattern(
            "crashing-requests",
            _scaled(1.0),
            crashing_share=0.1,
            crashing_requests=2,
        ),
        Pattern(
            "crashing-requests-amid-loss",
            _scaled(1.0),
            loss=Loss(8.0, 0.25, 10.0),
            crashing_share=0.1,
            crashing_requests=2,
        ),
        Pattern("stated-limits", _scaled(1.0), limits=StatedLimits(0.67, 5.0)),
        Pattern("stated-limits-of-all", _scaled(1.0), limits=StatedLimits(1.0, 6.0)),
    )
}

# Patterns for fleets of dozens of instances; a play takes some 20 s.
LARGE_FLEET_PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern(
            "narrow-entry-among-many",
            _two_floods_among_many,
            loss=Loss(6.5, 0.2, 11.0, is_announced=False),
            narrow_organisation="narrow",
            organisation_shares=MANY_SMALL_SHARES,
            duration_s=14.0,
        ),
    )
}


def generate_arrivals(
    pattern: Pattern, seed: int, engines: int, duration_s: float | None = None
) -> list[Arrival]:
    """Return the requests of a pattern, sorted by time of arrival.

    The arrivals of each kind and organisation are an inhomogeneous Poisson process,
    generated by thinning.
    """
    random = Random(f"{pattern.name}-{seed}")
    if duration_s is None:
        duration_s = pattern.duration_s
    arrivals = []
    for kind in KINDS:
        for organisation, share in pattern.organisation_shares.items():
            base_per_s = kind.per_s * engines * share
            max_per_s = RATE_FACTOR_MAX * base_per_s
            at_s = random.expovariate(max_per_s)
            while at_s < duration_s:
                factor = pattern.rate(kind, organisation, at_s)
                if random.random() * max_per_s < factor * base_per_s:
                    arrivals.append(
                        _draw_arrival(random, pattern, kind, organisation, at_s)
                    )
                at_s += random.expovariate(max_per_s)
    return sorted(arrivals, key=lambda arrival: arrival.work.arrived_at_s)


def _draw_arrival(
    random: Random, pattern: Pattern, kind: Kind, organisation: str, at_s: float
) -> Arrival:
    subject = int(kind.subjects * random.random() ** 1.5)
    is_hot = kind is KINDS[0] and _is_disturbed(at_s)
    is_hot &= pattern.hot_organisation in ("", organisation)
    if random.random() < pattern.hot_part and is_hot:
        subject = 0
    own = kind.own_tokens * random.lognormvariate(-(kind.spread**2) / 2.0, kind.spread)
    own_tokens = max(1, int(own))
    output_tokens = max(1, int(random.expovariate(1.0 / kind.output_tokens)))
    parts: tuple[tuple[str, int], ...] = (
        (f"{kind.name}-{organisation}-{subject}", kind.shared_tokens),
        (f"own-{random.getrandbits(48):x}", own_tokens),
    )
    prompt_tokens = kind.shared_tokens + own_tokens
    is_crashing = (
        pattern.crashing_share > 0.0 and kind is KINDS[0] and _is_disturbed(at_s)
    )
    is_crashing = is_crashing and random.random() < pattern.crashing_share
    if is_crashing and pattern.crashing_requests:
        number = random.randrange(pattern.crashing_requests)
        organisation = "middle"
        subject_part = (f"{kind.name}-{organisation}-0", kind.shared_tokens)
        parts = subject_part, (f"own-crashing-{number}", own_tokens)
    elif is_crashing:
        parts = parts[0], (CRASHING_PART, CRASHING_TOKENS), parts[1]
        prompt_tokens += CRASHING_TOKENS
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
        identity=RequestIdentity(
            organisation, "POST", "model", f"/{kind.name}", parts[-1][0].encode()
        ),
    )
    size = (prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens) / kind.mean_size
    factor = min(WORTH_FACTOR_MAX, FIXED_WORTH_RATIO + (1.0 - FIXED_WORTH_RATIO) * size)
    if is_crashing:
        factor = 0.0
    return Arrival(
        kind,
        organisation,
        work,
        factor * kind.worth,
        factor * kind.late_worth,
        is_crashing,
    )


def worth_upper_bound(
    arrivals: list[Arrival], engine_s: Callable[[Work], float], engines: int
) -> float:
    """Return an upper bound of the fraction of the offered worth that can be earned.

    In each window of four seconds the engine time goes to the requests with the
    highest worth per second of it. Queueing and repeated prefill are neglected.
    """
    window_s = 4.0
    windows: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        windows.setdefault(int(arrival.work.arrived_at_s / window_s), []).append(
            arrival
        )
    earned = offered = 0.0
    for in_window in windows.values():
        left_s = engines * window_s
        in_window = [arrival for arrival in in_window if arrival.worth > 0.0]
        in_window.sort(key=lambda arrival: engine_s(arrival.work) / arrival.worth)
        for arrival in in_window:
            offered += arrival.worth
            needed_s = engine_s(arrival.work)
            fraction = 1.0 if needed_s <= left_s else max(0.0, left_s / needed_s)
            earned += fraction * arrival.worth
            left_s = max(0.0, left_s - needed_s)
    return earned / offered if offered else math.nan
