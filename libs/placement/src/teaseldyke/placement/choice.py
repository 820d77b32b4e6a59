"""Choice of a backend server for one request.

Load patterns: long prompts beside short ones, prompts that share parts, bursts that
every instance sees at once, many engines of which each instance knows the load late.
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
from .work import Work

QUEUE_MAX_S = 0.2  # prompt reading queued at an engine; beyond it, work waits here
OVER_SHARE_QUEUE_MAX_S = 0.1  # the same, for organisations over their fair share
OVER_SHARE_SLOT_MARGIN = 0.9  # the same for the margins below: room for who waits
OVER_SHARE_MEMORY_MARGIN = 0.85
PLACE_HELD_S = 2.0  # a request holds its place at a loaded engine for about that
LAST_WAIT_S = 0.1  # before the end of being on time; a start takes about that
SLOT_MARGIN = 0.95  # part of the slots that is filled; other instances' sends are late
MEMORY_MARGIN = 0.9  # part of the engine's memory; preempted requests are read again
HOME_QUEUE_PART = 0.4  # of the time left to be on time, queued where the prompt is kept
REREAD_S = 1e-3  # a shared token that is read again, in seconds of waiting
COPY_PART = 1.0  # of reading a token again; a copy takes memory from other prompts
COPY_SETUP_S = 0.005  # before engines copy memory, some ms
LATE_S = 4e-4  # being late, for each token of the request's cost
ON_TIME_PART = 0.8  # of the time left; expectations err by about a fifth
FULL_WAIT_S = 0.2  # until an engine without a free slot or memory has one
RUNNING_S = 0.002  # added to the first token by each running request
FIRST_TOKEN_S = 0.05  # from the last prompt token to the first event
PLAIN_LOAD_PART = 0.2  # of its latency, by which a full plain server is slower
WHOLE_POOL_MAX = 24  # engines compared one by one; a choice then takes about 0.1 ms
HOMES = 2  # engines compared always, in the order that all instances share
SAMPLE = 12  # others drawn from a larger pool; nearly as good as the whole
WEIGHT_FACTOR = 0x9E3779B97F4A7C15  # odd; spreads digests that differ in few bits
WEIGHT_MASK = 2**64 - 1  # weights of 8 bytes
FAR_S = 0.002  # added by another failure domain; a round trip takes about that
PLAIN_QUEUE_FACTOR = 2.0  # requests at a plain server, in multiples of its slots


@attrs.define
class Choice:
    """Result of a choice.

    Parameters
    ----------
    state : ServerState or None
        Where to send; ``None`` when the request must wait.
    uncached_tokens : float
        Prompt tokens that the engine will read.
    first_s : float
        Expected time to the first event.
    copy_from : ServerState or None
        Engine that is likely to keep the shared parts of the prompt, if the chosen
        one doesn't.
    awaited_server : ServerState or None
        Which server the request waits for, if it does.
    reason : str
        Why nothing was found, for logs.
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
def _homes(key: str, names: tuple[str, ...]) -> tuple[int, ...]:
    """Return the places of the names that weigh most for a key, the first the most."""
    weights = [rendezvous_weight(key, name) for name in names]
    return tuple(heapq.nlargest(HOMES, range(len(names)), key=weights.__getitem__))


def shortlist(
    states: Sequence[ServerState],
    homes: Sequence[ServerState],
    draw: Callable[[Sequence[ServerState], int], list[ServerState]] = random.sample,
) -> list[ServerState]:
    """Return the engines to compare: all of a small pool, else homes and a sample.

    Each instance draws anew, so a burst doesn't meet at the one engine that all of
    them believe to be the emptiest.
    """
    if len(states) <= WHOLE_POOL_MAX:
        return list(states)
    compared = [state for state in homes if state in states]
    compared += [state for state in draw(states, SAMPLE) if state not in compared]
    return compared


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
) -> Choice:
    """Return the engine that costs the request least.

    Costs are the expected time to the first event, shared parts of the prompt that
    are read again, and an answer that comes late. A request may queue longer at an
    engine that keeps its prompt, as long as it is still expected to be on time. Where
    the engine that costs least has no room, the request waits: at the worst load,
    sending it elsewhere would have its prompt read twice.

    Parameters
    ----------
    states : iterable of ServerState
        Engines of the service that may get work.
    standing : Standing
        Where the organisation stands against its fair share.
    quota : CapacityQuota
        Part of an engine's free room that the organisation may take here; all
        instances see the same room, and learn late who took it.
    lag_s : float
        Until they know of a send. An engine gets as much more as it works off
        meanwhile, or it would idle until the next round.
    avoid : frozenset of str
        Ids of engines that this request was sent to before.
    may_use_cold : callable
        Whether this instance may send to a cold engine now.
    """
    candidates = [state for state in states if state.server.id not in avoid]
    if not candidates:
        return Choice(None, reason="no engine")
    names = tuple([state.server.id for state in candidates])
    homes = [candidates[place] for place in _homes(work.prefix_key, names)]
    home = homes[0]
    over_share = standing is Standing.OVER
    queue_max_s = OVER_SHARE_QUEUE_MAX_S if over_share else QUEUE_MAX_S
    slot_margin = OVER_SHARE_SLOT_MARGIN if over_share else SLOT_MARGIN
    memory_margin = OVER_SHARE_MEMORY_MARGIN if over_share else MEMORY_MARGIN
    source = None
    if service.memory_link_bytes_per_s > 0.0 and not home.is_ejected(now_s):
        source = home
    slack_s = max(0.0, work.on_time_until_s - now_s)
    # Who has too little doesn't wait for one engine longer than it can be on time.
    waits_no_more = standing is Standing.UNDER and slack_s <= LAST_WAIT_S
    reread_s = 0.0 if waits_no_more else REREAD_S
    best = Choice(None, reason="engines full")
    best_cost_s = math.inf
    shared_tokens, work_memory_tokens = work.shared_tokens, work.memory_tokens
    for state in shortlist(usable(candidates, now_s), homes):
        rate = max(state.rate_tokens_per_s, 1.0)
        if state.is_cold(now_s) and not may_use_cold(state):
            continue
        memory_tokens = state.memory_tokens + work_memory_tokens
        is_full = (
            now_s < state.full_until_s
            or not state.has_free_slot(
                (slot_margin + lag_s / PLACE_HELD_S) * state.server.slots, quota
            )
            or (
                state.running > 0
                and memory_tokens > memory_margin * service.memory_tokens
            )
        )
        cached = state.cached_tokens(work, state is home, now_s)
        limit_s = queue_max_s
        if cached >= shared_tokens > 0 and not over_share:
            limit_s = max(limit_s, HOME_QUEUE_PART * slack_s)
        copied = 0
        if source is not None and source is not state:
            copied = max(0, shared_tokens - cached)
        uncached = float(work.prompt_tokens - cached - copied)
        must_wait = is_full or not state.has_prefill_capacity(
            (limit_s + lag_s) * rate, uncached, quota
        )
        first_s = (state.pending_tokens + uncached) / rate + FIRST_TOKEN_S
        first_s += RUNNING_S * state.running + state.backlog_tokens / rate
        if is_full:
            first_s += FULL_WAIT_S
        if copied:
            first_s += COPY_SETUP_S
            first_s += copied * service.token_bytes / service.memory_link_bytes_per_s
        cost_s = first_s + reread_s * (uncached + COPY_PART * copied)
        if first_s > ON_TIME_PART * slack_s:
            cost_s += LATE_S * work.cost_tokens
        if cost_s >= best_cost_s:
            continue
        best_cost_s = cost_s
        if must_wait or state.backlog_tokens > 0.0:
            best = Choice(
                None,
                uncached,
                first_s,
                awaited_server=state,
                reason="waits for the engine that costs least",
            )
            continue
        best = Choice(state, uncached, first_s, source if copied else None)
    return best


def choose_plain(
    states: Iterable[ServerState],
    now_s: float,
    *,
    failure_domain: str,
    avoid: frozenset[str] = frozenset(),
    may_use_cold: Callable[[ServerState], bool] = lambda state: True,
) -> Choice:
    """Return the plain server with the shortest expected answer.

    Parameters
    ----------
    failure_domain : str
        Where this instance stands; it breaks ties.
    """
    candidates = [state for state in states if state.server.id not in avoid]
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
        rounds = max(1.0, (state.running + 1) / slots)
        load_part = PLAIN_LOAD_PART * state.running / slots
        first_s = state.latency_s * (rounds + load_part)
        if state.server.failure_domain != failure_domain:
            first_s += FAR_S
        if best.state is None or first_s < best.first_s:
            best = Choice(state, 0.0, first_s)
    return best
