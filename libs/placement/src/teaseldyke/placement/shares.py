"""Max-min fair shares of organisations in the engines' token throughput.

Load patterns: one organisation sends many times its usual load (`hot_tenant`) while the
load of the others stays the same, and changes of which organisations are backlogged or
of the capacity. Replayed in ``tests/test_shares.py``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum

import attrs

from .servers import CapacityQuota

USAGE_TIME_CONSTANT_S = 4.0  # window in which the operator measures shares
CLAIM_WINDOW_S = 0.3  # of throughput; until instances know the others' sends
EXCESS_CLAIM_FRACTION = 0.2  # of it, for excess claims; uses otherwise idle capacity
OVER_SHARE_CLAIM_FRACTION = 0.05  # of the fair share; claim of those that have it all
UNDER_SHARE_FRACTION = 0.6  # of the share; half is unfair, and usage is known late
# Of an equal part of the capacity; largest gap of a backlogged organisation to the mean
# position. Usage is known late, so that smaller gaps would say nothing.
GAP_MAX_S = 0.5


class Standing(Enum):
    """Usage of an organisation relative to its share while demand exceeds capacity."""

    UNDER = "under"
    FAIR = "fair"
    OVER = "over"


@attrs.define
class DecayingSum:
    """Sum that decays exponentially with a time constant."""

    time_constant_s: float = USAGE_TIME_CONSTANT_S
    value: float = 0.0
    _updated_at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self.value = self.at(now_s) + amount
        self._updated_at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the decayed sum."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        if elapsed_s == 0.0:
            return self.value
        return self.value * math.exp(-elapsed_s / self.time_constant_s)


def water_level(demands: Mapping[str, float], capacity: float) -> float:
    """Return the max-min fair share, which caps the larger demands.

    Infinite if the sum of the demands does not exceed the capacity.

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
    sorted_demands = sorted(demands.values())
    for index, demand in enumerate(sorted_demands):
        share = left / (len(sorted_demands) - index)
        if demand > share:
            return share
        left -= demand
    return math.inf


def next_service_level(
    queued: Mapping[str, float], usage: Mapping[str, float], tokens: float
) -> float:
    """Return the usage up to which organisations are served with the next tokens.

    Tokens go to the organisation with the lowest usage until its queued requests are
    served. Infinite if all queued requests are served.

    Parameters
    ----------
    queued, usage : mapping
        Tokens by organisation.
    tokens : float
        Capacity to distribute.

    Examples
    --------
    >>> next_service_level({"a": 50.0, "b": 50.0}, {"a": 0.0, "b": 30.0}, 40.0)
    35.0
    >>> next_service_level({"a": 10.0, "b": 50.0}, {"a": 0.0, "b": 30.0}, 40.0)
    60.0
    >>> next_service_level({"a": 10.0}, {"a": 0.0}, 40.0)
    inf
    """
    if sum(queued.values()) <= tokens:
        return math.inf
    # As the level rises, each organisation is served from its usage up to the sum of
    # its usage and its queued tokens.
    steps: list[tuple[float, int]] = []
    for name, queued_tokens in queued.items():
        steps.append((usage[name], 1))
        steps.append((usage[name] + queued_tokens, -1))
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
        Stated throughput of all engines together.

    Attributes
    ----------
    peer_usage, peer_queued : dict of str to float
        Recent usage and cost of queued requests at the other instances, by
        organisation.
    capacity_tokens : float
        Capacity that the last computation of the shares distributed.
    given_tokens : float
        Recent usage of all organisations in that computation.
    """

    tokens_per_s: float = 0.0
    peer_usage: dict[str, float] = attrs.field(factory=dict)
    peer_queued: dict[str, float] = attrs.field(factory=dict)
    capacity_tokens: float = attrs.field(default=0.0, init=False)
    given_tokens: float = attrs.field(default=0.0, init=False)
    _own: dict[str, DecayingSum] = attrs.field(factory=dict, init=False)
    _level: float = attrs.field(default=math.inf, init=False)
    _demands: dict[str, float] = attrs.field(factory=dict, init=False)
    _corrections: dict[str, DecayingSum] = attrs.field(factory=dict, init=False)
    _mean_position: float = attrs.field(default=math.inf, init=False)
    _next_service_level: float = attrs.field(default=math.inf, init=False)
    _excess_claim_fraction: float = attrs.field(default=1.0, init=False)
    _total_claims: float = attrs.field(default=0.0, init=False)
    _backlogged: frozenset[str] = attrs.field(default=frozenset(), init=False)

    @property
    def level_tokens(self) -> int | None:
        """Fair share that caps larger demands; `None` if all demands fit."""
        return None if self._level == math.inf else int(self._level)

    @property
    def mean_position_tokens(self) -> int | None:
        """Mean position of the backlogged organisations; `None` if there are none."""
        if self._mean_position == math.inf:
            return None
        return int(self._mean_position)

    @property
    def demand_tokens(self) -> float:
        """Recent usage and queued tokens of all organisations together."""
        return sum(self._demands.values())

    def charge(self, organisation: str, tokens: float, now_s: float) -> None:
        """Add the cost of a sent request to an organisation's usage."""
        self._own.setdefault(organisation, DecayingSum()).add(tokens, now_s)

    def own_usage(self, now_s: float) -> dict[str, float]:
        """Return the recent usage at this instance, by organisation."""
        return {name: usage.at(now_s) for name, usage in self._own.items()}

    def usage(self, organisation: str, now_s: float) -> float:
        """Return the recent usage of an organisation in the whole fleet."""
        own = self._own.get(organisation)
        peer_usage_tokens = self.peer_usage.get(organisation, 0.0)
        return peer_usage_tokens + (own.at(now_s) if own is not None else 0.0)

    def position(self, organisation: str, now_s: float) -> float:
        """Return the usage of an organisation as corrected for the service order.

        That of backlogged organisations stays close to their mean, so that neither
        capacity that was idle otherwise is held against those that used it, nor
        those that become backlogged get all capacity until they have caught up.
        """
        correction = self._corrections.get(organisation)
        usage = self.usage(organisation, now_s)
        return usage + (correction.at(now_s) if correction is not None else 0.0)

    def recompute(self, own_queued: Mapping[str, float], now_s: float) -> None:
        """Recompute the fair share from usage and queued requests.

        The capacity is the recent usage if that exceeds the stated throughput: usage
        includes prompt tokens that engines have cached and need not prefill.
        """
        names = {*self._own, *self.peer_usage, *own_queued, *self.peer_queued}
        usage = {name: self.usage(name, now_s) for name in names}
        queued = dict(self.peer_queued)
        for name, tokens in own_queued.items():
            queued[name] = queued.get(name, 0.0) + tokens
        demands = {name: used + queued.get(name, 0.0) for name, used in usage.items()}
        stated = self.tokens_per_s * USAGE_TIME_CONSTANT_S
        given = sum(usage.values())
        self._demands = demands
        self.given_tokens = given
        self.capacity_tokens = max(stated, given)
        self._level = water_level(demands, self.capacity_tokens)
        positions = self._recompute_positions(queued, now_s)
        self._recompute_claims(queued, positions, usage)
        self._backlogged = frozenset(positions)

    def _recompute_positions(
        self, queued: Mapping[str, float], now_s: float
    ) -> dict[str, float]:
        """Return the positions of the backlogged organisations, now close together."""
        positions = {
            name: self.position(name, now_s)
            for name, tokens in queued.items()
            if tokens > 0.0
        }
        self._corrections = {
            name: correction
            for name, correction in self._corrections.items()
            if name in positions or abs(correction.at(now_s)) >= 1.0
        }
        if not positions:
            self._mean_position = math.inf
            return positions
        mean = sum(positions.values()) / len(positions)
        rate = self.capacity_tokens / USAGE_TIME_CONSTANT_S / len(positions)
        gap_max = GAP_MAX_S * rate
        for name, position in positions.items():
            bounded = min(max(position, mean - gap_max), mean + gap_max)
            if bounded == position:
                continue
            correction = self._corrections.setdefault(name, DecayingSum())
            correction.add(bounded - position, now_s)
            positions[name] = bounded
        self._mean_position = sum(positions.values()) / len(positions)
        return positions

    def _recompute_claims(
        self,
        queued: Mapping[str, float],
        positions: Mapping[str, float],
        usage: Mapping[str, float],
    ) -> None:
        """Recompute the claims of all organisations on the next free capacity."""
        queued = {name: queued[name] for name in positions}
        next_tokens = self.capacity_tokens * CLAIM_WINDOW_S / USAGE_TIME_CONSTANT_S
        self._next_service_level = next_service_level(queued, positions, next_tokens)
        primary_tokens = excess_tokens = 0.0
        for name, tokens in queued.items():
            primary_claim, excess_claim = self._claims_of(
                tokens, positions[name], usage[name]
            )
            primary_tokens += primary_claim
            excess_tokens += excess_claim
        self._excess_claim_fraction = 1.0
        if excess_tokens > 0.0:
            self._excess_claim_fraction = min(
                1.0, EXCESS_CLAIM_FRACTION * next_tokens / excess_tokens
            )
        self._total_claims = (
            primary_tokens + self._excess_claim_fraction * excess_tokens
        )

    def _claims_of(
        self, queued: float, position: float, usage: float
    ) -> tuple[float, float]:
        """Return the primary and the excess claim for an organisation's queued tokens.

        The primary claim is for the tokens that are served next in order of position.
        Beyond it, an organisation claims up to its deficit against its fair share.
        """
        primary_claim = min(queued, max(0.0, self._next_service_level - position))
        beyond = queued - primary_claim
        if self._level == math.inf:
            return primary_claim, beyond
        deficit = max(self._level - usage, OVER_SHARE_CLAIM_FRACTION * self._level)
        return primary_claim, min(beyond, deficit)

    def quota(
        self,
        organisation: str,
        own_tokens: float,
        requests: int,
        engines: int,
        now_s: float,
    ) -> CapacityQuota:
        """Return the fraction of free capacity that an organisation may use here.

        It is this instance's fraction of all claims on the next free capacity, so an
        organisation gets the same whether its requests are queued at one instance or
        at all of them.

        Parameters
        ----------
        own_tokens : float
            Cost of the organisation's requests queued at this instance.
        requests : int
            Number of these requests; a few compete for a few engines only, whereas
            requests queued elsewhere compete for all of them.
        engines : int
            Engines of the service.
        """
        total_tokens = own_tokens + self.peer_queued.get(organisation, 0.0)
        if total_tokens <= 0.0:
            return CapacityQuota(organisation, 1.0)
        primary_claim, excess_claim = self._claims_of(
            total_tokens,
            self.position(organisation, now_s),
            self.usage(organisation, now_s),
        )
        own = (
            (primary_claim + self._excess_claim_fraction * excess_claim)
            * own_tokens
            / total_tokens
        )
        others = max(0.0, self._total_claims - own)
        competing = others * min(1.0, requests / max(1, engines))
        return CapacityQuota(
            organisation, _fraction(own, competing), _fraction(own, others)
        )

    def is_over(self, organisation: str, now_s: float) -> bool:
        """Return whether an organisation is above its share and ahead of the others.

        Its position alone doesn't tell: it is that relative to others backlogged now.
        """
        if self.usage(organisation, now_s) <= self._level:
            return False
        return self.position(organisation, now_s) > self._mean_position

    def is_below_level(self, organisation: str, now_s: float) -> bool:
        """Return whether an organisation has used less than its fair share."""
        return self.usage(organisation, now_s) < self._level

    def standing(self, organisation: str, now_s: float) -> Standing:
        """Return the standing; `OVER` only while others have queued requests."""
        if self._level == math.inf:
            return Standing.FAIR
        usage = self.usage(organisation, now_s)
        demand = self._demands.get(organisation, 0.0)
        if usage < UNDER_SHARE_FRACTION * min(self._level, demand):
            return Standing.UNDER
        if self._backlogged - {organisation} and self.is_over(organisation, now_s):
            return Standing.OVER
        return Standing.FAIR

    def peer_tokens_ahead(self, organisation: str, now_s: float) -> float:
        """Return the tokens queued at peers that precede an organisation's requests."""
        own_key = self.scheduling_key(organisation, now_s)
        return sum(
            tokens
            for name, tokens in self.peer_queued.items()
            if self.scheduling_key(name, now_s) <= own_key
        )

    def scheduling_key(self, organisation: str, now_s: float) -> float:
        """Return the sort key of an organisation; the smallest is served first."""
        return self.position(organisation, now_s)


def _fraction(own: float, others: float) -> float:
    return own / (own + others) if others > 0.0 else 1.0
