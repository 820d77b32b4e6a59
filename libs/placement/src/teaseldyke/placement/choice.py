"""Choice of a backend server for one request.

Load patterns: mixed prompt lengths, prompts with a shared prefix, bursts that arrive
at all instances at once, many engines whose load each instance knows with a lag, and
engines that state a limit on requests a second.
Replayed in ``tests/test_choice.py``.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

import attrs

from teaseldyke.types import ServiceDescription

from .servers import FULL_QUOTA, CapacityQuota, ServerState, usable
from .shares import Standing
from .stream_version import may_copy_memory
from .work import Work

PREFILL_QUEUE_MAX_S = 0.2  # prefill queued at an engine; the rest queues here
OVER_SHARE_PREFILL_QUEUE_MAX_S = 0.1  # for organisations over their fair share
OVER_SHARE_SLOT_FRACTION_MAX = 0.9  # lower, to leave capacity to others
OVER_SHARE_MEMORY_FRACTION_MAX = 0.85
SLOT_HOLD_S = 2.0  # time that a request occupies a slot of a loaded engine
AFFINITY_CUTOFF_S = 0.1  # before the latency target; a start takes about that long
SLOT_FRACTION_MAX = 0.95  # sends of other instances become known late
MEMORY_FRACTION_MAX = 0.9  # preempted requests repeat their prefill
AFFINITY_QUEUE_FRACTION = 0.4  # of the time left, queued at the engine with the prefix
RECOMPUTE_PENALTY_S = 1e-3  # for each prompt token that is not cached
COPY_PENALTY_FACTOR = 1.0  # of the recompute penalty; copies displace other prefixes
COPY_SETUP_S = 0.005  # before engines copy cached memory
LATE_PENALTY_S = 4e-4  # for each token of the request's cost
SLACK_FRACTION = 0.8  # of the time left; expected times are off by about a fifth
FULL_DELAY_S = 0.2  # until an engine without a free slot or memory has one
RUNNING_DELAY_S = 0.002  # added to the first token by each running request
FIRST_TOKEN_S = 0.05  # from the last prompt token to the first event
PLAIN_LOAD_SLOWDOWN = 0.2  # of its latency, by which a full plain server is slower
UNSAMPLED_POOL_MAX = 24  # engines compared one by one, in about 0.1 ms
AFFINITY_ENGINES = 2  # always compared, in an order that all instances share
SAMPLE_SIZE = 12  # others from a larger pool; nearly as good as the whole pool
WEIGHT_FACTOR = 0x9E3779B97F4A7C15  # odd; spreads digests that differ in few bits
WEIGHT_MASK = 2**64 - 1  # weights of 8 bytes
CROSS_DOMAIN_DELAY_S = 0.002  # round trip to another failure domain
# For a request without work at an engine that states a limit on requests; one of mean
# cost or more pays nothing, so that the limit goes to the largest requests.
LIMIT_PENALTY_S = 1.0
PLAIN_QUEUE_FACTOR = 2.0  # requests at a plain server, in multiples of its slots


@attrs.define
class Choice:
    """Result of a choice.

    Parameters
    ----------
    state : ServerState or None
        Server to send to; ``None`` when the request must queue.
    uncached_tokens : float
        Prompt tokens in the engine's prefill.
    first_s : float
        Expected time to the first event.
    copy_from : ServerState or None
        Engine that is likely to have the shared prefix cached, if the chosen one
        does not.
    awaited_server : ServerState or None
        Server that the request queues for, if there is one.
    reason : str
        Why no server was chosen, for logs.
    """

    state: ServerState | None
    uncached_tokens: float = 0.0
    first_s: float = 0.0
    copy_from: ServerState | None = None
    awaited_server: ServerState | None = None
    reason: str = ""


@lru_cache(maxsize=16384)
def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key, the same in every router."""
    return (_digest(key) ^ _digest(name)) * WEIGHT_FACTOR & WEIGHT_MASK


@lru_cache(maxsize=16384)
def _affinity_indices(key: str, names: tuple[str, ...]) -> tuple[int, ...]:
    """Return the indices of the names with the highest weights, in falling order."""
    weights = [rendezvous_weight(key, name) for name in names]
    return tuple(
        heapq.nlargest(AFFINITY_ENGINES, range(len(names)), key=weights.__getitem__)
    )


def shortlist(
    states: Sequence[ServerState],
    affinity_engines: Sequence[ServerState],
    sample: Callable[[Sequence[ServerState], int], list[ServerState]] = random.sample,
) -> list[ServerState]:
    """Return the engines to compare.

    These are all engines of a small pool; of a larger one, the engines with affinity
    and a random sample. Samples differ between instances, so that a burst does not go
    to the single engine that all of them see as the least loaded.
    """
    if len(states) <= UNSAMPLED_POOL_MAX:
        return list(states)
    compared = [state for state in affinity_engines if state in states]
    compared += [
        state for state in sample(states, SAMPLE_SIZE) if state not in compared
    ]
    return compared


@attrs.frozen
class EngineLimits:
    """Limits up to which an engine gets requests of an organisation.

    Parameters
    ----------
    slots_max : float
        Largest number of requests in flight, as a multiple of the engine's slots.
    memory_fraction_max : float
        Of the engine's memory.
    prefill_queue_max_s : float
        Queued prefill.
    """

    slots_max: float
    memory_fraction_max: float
    prefill_queue_max_s: float

    @classmethod
    def of(cls, standing: Standing, lag_s: float) -> EngineLimits:
        """Return the limits for an organisation of a standing.

        They are raised by what an engine completes while others don't know of a send.
        """
        if standing is Standing.OVER:
            return cls(
                OVER_SHARE_SLOT_FRACTION_MAX + lag_s / SLOT_HOLD_S,
                OVER_SHARE_MEMORY_FRACTION_MAX,
                OVER_SHARE_PREFILL_QUEUE_MAX_S,
            )
        return cls(
            SLOT_FRACTION_MAX + lag_s / SLOT_HOLD_S,
            MEMORY_FRACTION_MAX,
            PREFILL_QUEUE_MAX_S,
        )

    def has_slot(self, state: ServerState, quota: CapacityQuota, now_s: float) -> bool:
        """Return whether an engine has a slot left."""
        slots_max = self.slots_max * state.server.slots
        return now_s >= state.full_until_s and state.has_free_slot(slots_max, quota)


def choose_engine(
    states: Iterable[ServerState],
    service: ServiceDescription,
    work: Work,
    now_s: float,
    *,
    standing: Standing = Standing.FAIR,
    quota: CapacityQuota = FULL_QUOTA,
    lag_s: float = 0.0,
    avoid: frozenset[str] = frozenset(),
    may_use_cold: Callable[[ServerState], bool] = lambda state: True,
    mean_cost_tokens: float = 0.0,
) -> Choice:
    """Return the engine with the lowest cost for the request.

    The cost is the expected time to the first event, plus penalties for prompt tokens
    that are not cached and for missing the latency target. A request may queue longer
    at an engine that has its shared prefix cached, as long as it is expected to meet
    the target. If the engine with the lowest cost has no free capacity, the request
    queues: another engine would repeat the prefill of the prefix when load is highest.

    Parameters
    ----------
    states : iterable of ServerState
        Engines of the service that may get the request.
    standing : Standing
        Whether the organisation is under or over its fair share.
    quota : CapacityQuota
        Fraction of an engine's free capacity that the organisation may use at this
        instance; all instances see the same capacity and learn of its use with a lag.
    lag_s : float
        Time until the other instances know of a send. The limits are raised by what
        an engine completes in this time, so that it does not idle until the next
        round.
    avoid : frozenset of str
        Ids of engines that this request was already sent to.
    may_use_cold : callable
        Returns whether this instance may send to a cold engine now.
    mean_cost_tokens : float
        Mean cost of the requests for the service; 0 if it isn't known.
    """
    candidates = [
        state
        for state in states
        if state.server.id not in avoid
        and state.accepts_requests(now_s)
        and not state.limit.is_closed
    ]
    if not candidates:
        return Choice(None, reason="no engine")
    names = tuple([state.server.id for state in candidates])
    affinity_engines = [
        candidates[index] for index in _affinity_indices(work.prefix_key, names)
    ]
    affinity_engine = affinity_engines[0]
    over_share = standing is Standing.OVER
    limits = EngineLimits.of(standing, lag_s)
    source = None
    if service.memory_link_bytes_per_s > 0.0 and not affinity_engine.is_ejected(now_s):
        source = affinity_engine
    slack_s = max(0.0, work.on_time_until_s - now_s)
    # An organisation under its share waits for one engine only while the request
    # can still meet the latency target.
    ignores_affinity = standing is Standing.UNDER and slack_s <= AFFINITY_CUTOFF_S
    recompute_penalty_s = 0.0 if ignores_affinity else RECOMPUTE_PENALTY_S
    best = Choice(None, reason="engines full")
    best_cost_s = math.inf
    limit_penalty_s = _limit_penalty_s(work.cost_tokens, mean_cost_tokens)
    shared_tokens, work_memory_tokens = work.shared_tokens, work.memory_tokens
    for state in shortlist(usable(candidates, now_s), affinity_engines):
        rate = max(state.rate_tokens_per_s, 1.0)
        if state.is_cold(now_s) and not may_use_cold(state):
            continue
        memory_tokens = state.memory_tokens + work_memory_tokens
        is_full = not limits.has_slot(state, quota, now_s) or (
            state.running > 0
            and memory_tokens > limits.memory_fraction_max * service.memory_tokens
        )
        cached = state.cached_tokens(work, state is affinity_engine, now_s)
        limit_s = limits.prefill_queue_max_s
        if cached >= shared_tokens > 0 and not over_share:
            limit_s = max(limit_s, AFFINITY_QUEUE_FRACTION * slack_s)
        copied = 0
        if source is not None and may_copy_memory(source, state):
            copied = max(0, shared_tokens - cached)
        uncached = float(work.prompt_tokens - cached - copied)
        limit_wait_s = state.limit.wait_s(state.backlog_requests, now_s)
        must_wait = (
            is_full
            or limit_wait_s > 0.0
            or not state.has_prefill_capacity((limit_s + lag_s) * rate, uncached, quota)
        )
        first_s = (state.pending_tokens + uncached) / rate + FIRST_TOKEN_S
        first_s += RUNNING_DELAY_S * state.running + state.backlog_tokens / rate
        first_s += limit_wait_s
        if is_full:
            first_s += FULL_DELAY_S
        if copied:
            first_s += COPY_SETUP_S
            first_s += copied * service.token_bytes / service.memory_link_bytes_per_s
        cost_s = first_s + recompute_penalty_s * (
            uncached + COPY_PENALTY_FACTOR * copied
        )
        if state.limit.is_in_force:
            cost_s += limit_penalty_s * state.limit.scarcity(now_s)
        if first_s > SLACK_FRACTION * slack_s:
            cost_s += LATE_PENALTY_S * work.cost_tokens
        if cost_s >= best_cost_s:
            continue
        best_cost_s = cost_s
        if must_wait or state.backlog_tokens > 0.0:
            reason = "waits for the engine that costs least"
            if limit_wait_s > 0.0:
                reason = "waits for the stated limit of an engine"
            best = Choice(None, uncached, first_s, awaited_server=state, reason=reason)
            continue
        best = Choice(state, uncached, first_s, source if copied else None)
    return best


def _limit_penalty_s(cost_tokens: float, mean_cost_tokens: float) -> float:
    """Return the penalty for using up a request of an engine's stated limit."""
    if mean_cost_tokens <= 0.0:
        return 0.0
    return LIMIT_PENALTY_S * max(0.0, 1.0 - cost_tokens / mean_cost_tokens)


def choose_plain(
    states: Iterable[ServerState],
    now_s: float,
    *,
    failure_domain: str,
    avoid: frozenset[str] = frozenset(),
    may_use_cold: Callable[[ServerState], bool] = lambda state: True,
) -> Choice:
    """Return the plain server with the shortest expected latency.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance; its servers are preferred on a tie.
    """
    candidates = [
        state
        for state in states
        if state.server.id not in avoid and state.accepts_requests(now_s)
    ]
    if not candidates:
        return Choice(None, reason="no server")
    best = Choice(None, reason="servers full")
    for state in usable(candidates, now_s):
        if now_s < state.full_until_s:
            continue
        slots = max(1, state.server.slots)
        if state.running + 1 > PLAIN_QUEUE_FACTOR * slots:
            continue
        if state.is_cold(now_s) and not may_use_cold(state):
            continue
        if not state.limit.allows_send(now_s):
            best.reason = "waits for the stated limit of a server"
            continue
        rounds = max(1.0, (state.running + 1) / slots)
        load_slowdown = PLAIN_LOAD_SLOWDOWN * state.running / slots
        first_s = state.latency_s * (rounds + load_slowdown)
        if state.server.failure_domain != failure_domain:
            first_s += CROSS_DOMAIN_DELAY_S
        if best.state is None or first_s < best.first_s:
            best = Choice(state, 0.0, first_s)
    return best
