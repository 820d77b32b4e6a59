"""Fair shares of organisations in what the engines produce.

Load pattern: one organisation sends many times its usual (`hot_tenant`) while the
others stay as they are. Replayed in ``tests/test_shares.py``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum

import attrs

from .servers import CapacityQuota

USAGE_TIME_S = 4.0  # the window in which the operator settles shares
CLAIM_S = 0.3  # of production; until the instances know what the others took
CLAIM_REST_PART = 0.2  # of it, for what waits beyond; takes what has no other use
OVER_CLAIM_PART = 0.05  # of the fair share; what who has it all may claim beyond
UNDER_PART = 0.6  # of the fair share; unfair is less than half, and beliefs are late


class Standing(Enum):
    """What an organisation got against its fair share, while not all can have all."""

    UNDER = "under"
    FAIR = "fair"
    OVER = "over"


@attrs.define
class DecayingSum:
    """Sum that forgets with a time constant."""

    time_s: float = USAGE_TIME_S
    value: float = 0.0
    _updated_at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at a moment."""
        self.value = self.at(now_s) + amount
        self._updated_at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the sum at a moment."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        if elapsed_s == 0.0:
            return self.value
        return self.value * math.exp(-elapsed_s / self.time_s)


def water_level(demands: Mapping[str, float], capacity: float) -> float:
    """Return the max-min share: what an organisation gets that asks for more.

    Infinite while all demands together fit.

    Examples
    --------
    >>> water_level({"a": 10.0, "b": 50.0, "c": 60.0}, 90.0)
    40.0
    >>> water_level({"a": 10.0}, 90.0)
    inf
    """
    if sum(demands.values()) <= capacity:
        return math.inf
    left = capacity
    asking = sorted(demands.values())
    for index, demand in enumerate(asking):
        share = left / (len(asking) - index)
        if demand > share:
            return share
        left -= demand
    return math.inf


def turn_level(
    waiting: Mapping[str, float], usage: Mapping[str, float], tokens: float
) -> float:
    """Return the usage up to which organisations have their turn next.

    Tokens go to whoever has the least usage until what waits of it is served.
    Infinite if all that waits is served.

    Parameters
    ----------
    waiting, usage : mapping
        Tokens by organisation.
    tokens : float
        What is given next.

    Examples
    --------
    >>> turn_level({"a": 50.0, "b": 50.0}, {"a": 0.0, "b": 30.0}, 40.0)
    35.0
    >>> turn_level({"a": 10.0, "b": 50.0}, {"a": 0.0, "b": 30.0}, 40.0)
    60.0
    >>> turn_level({"a": 10.0}, {"a": 0.0}, 40.0)
    inf
    """
    if sum(waiting.values()) <= tokens:
        return math.inf
    # At a rising level, each organisation is served from its usage up to the end of
    # what waits of it.
    steps: list[tuple[float, int]] = []
    for name, queued in waiting.items():
        steps.append((usage[name], 1))
        steps.append((usage[name] + queued, -1))
    steps.sort()
    given, served, level = 0.0, 0, 0.0
    for at, change in steps:
        rise = served * (at - level)
        if served and given + rise >= tokens:
            return level + (tokens - given) / served
        given += rise
        level = at
        served += change
    return math.inf


@attrs.define
class FairShares:
    """Usage of each organisation over the whole fleet against its fair share.

    Parameters
    ----------
    tokens_per_s : float
        What the engines produce together.

    Attributes
    ----------
    capacity_tokens : float
        What was shared out when shares were last worked out.
    given_tokens : float
        What the fleet had given lately by then.
    """

    tokens_per_s: float = 0.0
    peer_usage: dict[str, float] = attrs.field(factory=dict)
    peer_queued: dict[str, float] = attrs.field(factory=dict)
    capacity_tokens: float = attrs.field(default=0.0, init=False)
    given_tokens: float = attrs.field(default=0.0, init=False)
    _own: dict[str, DecayingSum] = attrs.field(factory=dict, init=False)
    _level: float = attrs.field(default=math.inf, init=False)
    _demands: dict[str, float] = attrs.field(factory=dict, init=False)
    _turn_level: float = attrs.field(default=math.inf, init=False)
    _rest_part: float = attrs.field(default=1.0, init=False)
    _claims: float = attrs.field(default=0.0, init=False)
    _others_wait: bool = attrs.field(default=False, init=False)

    @property
    def level_tokens(self) -> int | None:
        """What an organisation gets that asks for more; `None` if all fits."""
        return None if self._level == math.inf else int(self._level)

    @property
    def demand_tokens(self) -> float:
        """What all organisations together got lately or wait for."""
        return sum(self._demands.values())

    def charge(self, organisation: str, tokens: float, now_s: float) -> None:
        """Count tokens that an organisation was given."""
        self._own.setdefault(organisation, DecayingSum()).add(tokens, now_s)

    def own_usage(self, now_s: float) -> dict[str, float]:
        """Return what this instance gave each organisation lately."""
        return {name: usage.at(now_s) for name, usage in self._own.items()}

    def usage(self, organisation: str, now_s: float) -> float:
        """Return what the fleet gave an organisation lately."""
        own = self._own.get(organisation)
        foreign = self.peer_usage.get(organisation, 0.0)
        return foreign + (own.at(now_s) if own is not None else 0.0)

    def recompute(self, waiting: Mapping[str, float], now_s: float) -> None:
        """Work out the fair share from usage and from what waits.

        What is shared is what was given lately if that exceeds the stated production:
        parts of prompts that engines keep are given without being produced again.
        """
        names = {*self._own, *self.peer_usage, *waiting, *self.peer_queued}
        usage = {name: self.usage(name, now_s) for name in names}
        queued = dict(self.peer_queued)
        for name, tokens in waiting.items():
            queued[name] = queued.get(name, 0.0) + tokens
        demands = {name: used + queued.get(name, 0.0) for name, used in usage.items()}
        stated = self.tokens_per_s * USAGE_TIME_S
        given = sum(usage.values())
        self._demands = demands
        self.given_tokens = given
        self.capacity_tokens = max(stated, given)
        self._level = water_level(demands, self.capacity_tokens)
        self._settle_claims(queued, usage)
        self._others_wait = any(
            tokens > 0.0 and usage[name] <= self._level
            for name, tokens in queued.items()
        )

    def _settle_claims(
        self, queued: Mapping[str, float], usage: Mapping[str, float]
    ) -> None:
        """Work out how much of what waits of each organisation has its turn next."""
        next_tokens = self.capacity_tokens * CLAIM_S / USAGE_TIME_S
        self._turn_level = turn_level(queued, usage, next_tokens)
        in_turn_tokens = rest_tokens = 0.0
        for name, tokens in queued.items():
            in_turn, rest = self._claims_of(tokens, usage[name])
            in_turn_tokens += in_turn
            rest_tokens += rest
        self._rest_part = 1.0
        if rest_tokens > 0.0:
            self._rest_part = min(1.0, CLAIM_REST_PART * next_tokens / rest_tokens)
        self._claims = in_turn_tokens + self._rest_part * rest_tokens

    def _claims_of(self, queued: float, usage: float) -> tuple[float, float]:
        """Return what has its turn of what waits, and what may claim the rest.

        Beyond its turn, an organisation claims up to what it lacks of its share.
        """
        in_turn = min(queued, max(0.0, self._turn_level - usage))
        beyond = queued - in_turn
        if self._level == math.inf:
            return in_turn, beyond
        lacking = max(self._level - usage, OVER_CLAIM_PART * self._level)
        return in_turn, min(beyond, lacking)

    def quota(
        self,
        organisation: str,
        own_tokens: float,
        requests: int,
        engines: int,
        now_s: float,
    ) -> CapacityQuota:
        """Return the part of an engine's free room that an organisation may take here.

        It is the part of what has its turn next, by the organisations' usage, that
        waits here. An organisation thus gets as much whether its requests wait at one
        instance or at all.

        Parameters
        ----------
        own_tokens : float
            What waits here of the organisation.
        requests : int
            How many requests that is; few of them compete for few engines, while what
            waits elsewhere waits for all.
        engines : int
            How many there are.
        """
        everywhere = own_tokens + self.peer_queued.get(organisation, 0.0)
        if everywhere <= 0.0:
            return CapacityQuota(organisation, 1.0)
        usage = self.usage(organisation, now_s)
        in_turn, rest = self._claims_of(everywhere, usage)
        own = (in_turn + self._rest_part * rest) * own_tokens / everywhere
        competing = max(0.0, self._claims - own) * min(1.0, requests / max(1, engines))
        part = own / (own + competing) if competing > 0.0 else 1.0
        return CapacityQuota(organisation, part)

    def is_over(self, organisation: str, now_s: float) -> bool:
        """Return whether an organisation has more than its fair share."""
        if self._level == math.inf:
            return False
        return self.usage(organisation, now_s) > self._level

    def standing(self, organisation: str, now_s: float) -> Standing:
        """Return where an organisation stands; over only while others wait."""
        if self._level == math.inf:
            return Standing.FAIR
        usage = self.usage(organisation, now_s)
        asked = self._demands.get(organisation, 0.0)
        if usage < UNDER_PART * min(self._level, asked):
            return Standing.UNDER
        if usage > self._level and self._others_wait:
            return Standing.OVER
        return Standing.FAIR

    def peer_tokens_ahead(self, organisation: str, now_s: float) -> float:
        """Return what waits elsewhere and goes before an organisation's requests."""
        own_turn = self.turn(organisation, now_s)
        return sum(
            tokens
            for name, tokens in self.peer_queued.items()
            if self.turn(name, now_s) <= own_turn
        )

    def turn(self, organisation: str, now_s: float) -> tuple[bool, float]:
        """Return the order of organisations: the least goes first."""
        return self.is_over(organisation, now_s), self.usage(organisation, now_s)
