"""Load, health and cache state of backend servers, as one instance knows them.

Load patterns: engines that fail a fraction of their requests while otherwise healthy
(`srv_grey`), run slowly (`srv_slow`), are cold after a start (`cold_return`), crash
and leave their address to another server (`srv_crash`), are full and ask for a pause,
say that they leave before the store does, or state a limit on requests (capped).
Replayed in ``tests/test_servers.py`` and ``tests/test_limited_choice.py``.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from zlib import crc32

import attrs

from teaseldyke.types import AnnouncedServer

from .silence import ServerActivity
from .stated_limit import StatedLimit
from .window_budget import ColdRateLimit
from .work import Work

CACHED_PART_TTL_S = 20.0  # unused prompt parts are then likely to be evicted
CACHED_PARTS_MAX = 400  # prompt parts for each engine; bounds the router's memory
FAILURE_SMOOTHING = 0.25  # weight of the newest outcome in the failure rate
FAILURE_RATE_MAX = 0.4  # above it a server is ejected; healthy services reach 0.14
EJECTION_TIME_S = 2.0  # one request then probes the server
REPLACED_EJECTION_S = 5.0  # until the list entry of a replaced server expires
# Longer than any caller waits; a wrong value must not leave an engine idle for good.
PAUSE_MAX_S = 120.0
RATE_SMOOTHING = 0.1  # weight of the newest observation in the prefill rate
LATENCY_SMOOTHING = 0.1  # weight of the newest observation in the latency
INITIAL_LATENCY_S = 0.05  # before any response
LONGEST_LATENCY_DECAY = 0.98  # for each response; one slow phase is soon forgotten


@attrs.define
class Load:
    """Requests at a backend server.

    Parameters
    ----------
    pending_tokens : float
        Prompt tokens with their prefill pending.
    running : int
        Requests in flight.
    memory_tokens : float
        Tokens that these requests occupy in memory when they end.
    """

    pending_tokens: float = 0.0
    running: int = 0
    memory_tokens: float = 0.0


@attrs.define
class RoundSends:
    """Requests that this instance sent to a backend server in the current round.

    A round lasts until the other instances know of these sends. Within it, each
    instance uses fractions of the same free slots for the organisations whose requests
    are queued there; over all instances the fractions add up to one.

    Attributes
    ----------
    rounding : float
        Random number from 0 to 1 for randomised rounding: a fraction of a slot is used
        by as many instances, on average, as make up one slot.
    requests : int
        Requests sent.
    tokens : float
        Prompt tokens of these requests that need prefill.
    """

    rounding: float = 0.0
    requests: int = 0
    tokens: float = 0.0
    _by_organisation: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, organisation: str, uncached_tokens: float) -> None:
        """Count a sent request."""
        self.requests += 1
        self.tokens += uncached_tokens
        requests, tokens = self.of(organisation)
        self._by_organisation[organisation] = requests + 1, tokens + uncached_tokens

    def of(self, organisation: str) -> tuple[int, float]:
        """Return the requests and tokens sent for an organisation."""
        return self._by_organisation.get(organisation, (0, 0.0))

    def rounding_of(self, organisation: str) -> float:
        """Return the random number that rounds an organisation's quota.

        It differs between organisations, or all would take a slot at the same time.
        """
        return (self.rounding + crc32(organisation.encode()) / 2**32) % 1.0


@attrs.frozen
class CapacityQuota:
    """Fraction of an engine's free capacity that an organisation may use here.

    Parameters
    ----------
    organisation : str
        Organisation with queued requests.
    fraction : float
        Of the capacity in a round, from 0 to 1; 1 if no other requests compete.
    fleet_fraction : float
        Fraction that it may use here of the free capacity of all engines together.
    """

    organisation: str = ""
    fraction: float = 1.0
    fleet_fraction: float = 1.0


FULL_QUOTA = CapacityQuota()


@attrs.define(eq=False)
class ServerState:
    """Load, health and cached prompt parts of a backend server.

    Parameters
    ----------
    server : AnnouncedServer
        Its latest announcement.
    cold_until_s : float
        End of the time in which it accepts only the cold rate.
    cold_rate_limit : ColdRateLimit
        Limits what this instance sends until then.

    Attributes
    ----------
    round_sends : RoundSends
        Sends of this instance that are not known to the other instances yet.
    backlog_tokens : float
        Prompt tokens of requests queued for this server in the fleet, estimated as this
        instance's multiplied by the number of instances.
    paused_until_s : float
        End of the pause that the server asked for when it refused a request.
    limit : StatedLimit
        Requests a second that the server states it takes.
    backlog_requests : int
        Requests queued for this server at this instance, as of the last scan.
    longest_latency_s : float
        Longest latency of a plain server lately; 0 before any response.
    said_leaving : bool
        Whether an answer of the server stated that it leaves. Holds until the server
        starts anew, whatever its entry in the store says.
    activity : ServerActivity
        When requests of this instance got bytes from it.
    """

    server: AnnouncedServer
    cold_until_s: float
    cold_rate_limit: ColdRateLimit
    own_load: Load = attrs.field(factory=Load)
    peer_load: Load = attrs.field(factory=Load)
    rate_tokens_per_s: float = 0.0
    latency_s: float = INITIAL_LATENCY_S
    longest_latency_s: float = 0.0
    failure_rate: float = 0.0
    ejected_until_s: float = 0.0
    probing: bool = False
    full_until_s: float = 0.0
    paused_until_s: float = 0.0
    said_leaving: bool = False
    activity: ServerActivity = attrs.field(factory=ServerActivity)
    backlog_tokens: float = 0.0
    backlog_requests: int = 0
    limit: StatedLimit = attrs.field(factory=StatedLimit)
    round_sends: RoundSends = attrs.field(factory=RoundSends)
    cached_parts: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    @property
    def pending_tokens(self) -> float:
        """Prompt tokens of the whole fleet with their prefill pending."""
        return self.own_load.pending_tokens + self.peer_load.pending_tokens

    @property
    def running(self) -> int:
        """Requests of the whole fleet in flight."""
        return self.own_load.running + self.peer_load.running

    @property
    def memory_tokens(self) -> float:
        """Tokens that the requests of the whole fleet occupy when they end."""
        return self.own_load.memory_tokens + self.peer_load.memory_tokens

    def has_free_slot(self, slots_max: float, quota: CapacityQuota) -> bool:
        """Return whether a request may use a slot.

        Parameters
        ----------
        slots_max : float
            Requests that the whole fleet may have in flight at the server.
        quota : CapacityQuota
            Fraction that the request's organisation may use in a round.
        """
        free = slots_max - self.running
        if quota.fraction >= 1.0:
            return free >= 1.0
        sends = self.round_sends
        requests, _ = sends.of(quota.organisation)
        quota_slots = (free + sends.requests) * quota.fraction
        return free > 0.0 and requests + 1 <= quota_slots + sends.rounding_of(
            quota.organisation
        )

    def has_prefill_capacity(
        self, limit_tokens: float, uncached_tokens: float, quota: CapacityQuota
    ) -> bool:
        """Return whether the server has capacity for a prompt's prefill.

        Parameters
        ----------
        limit_tokens : float
            Prompt tokens of the whole fleet that may be queued; the last prompt may
            exceed the limit.
        uncached_tokens : float
            Tokens of the prompt that need prefill.
        quota : CapacityQuota
            Fraction that the request's organisation may use in a round.
        """
        free_tokens = limit_tokens - self.pending_tokens
        if quota.fraction >= 1.0 or free_tokens < 0.0:
            return free_tokens >= 0.0
        sends = self.round_sends
        _, tokens = sends.of(quota.organisation)
        rounding = sends.rounding_of(quota.organisation)
        needed_tokens = tokens + (1.0 - rounding) * uncached_tokens
        return needed_tokens <= (free_tokens + sends.tokens) * quota.fraction

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold and limited to its stated rate."""
        return now_s < self.cold_until_s and self.cold_rate_limit.rate_per_s > 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server is ejected, or a probe of it is in flight."""
        return now_s < self.ejected_until_s or self.probing

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether it has neither asked for a pause nor said that it leaves."""
        return now_s >= self.paused_until_s and not self.said_leaving

    def clear_backlog(self) -> None:
        """Forget the requests queued for the server, before they are counted anew."""
        self.backlog_tokens = 0.0
        self.backlog_requests = 0

    def served_rate(self, request_tokens: float) -> float:
        """Return the prompt tokens a second that it can serve, its limit included.

        Parameters
        ----------
        request_tokens : float
            Mean prompt tokens of requests for its service, until some were sent within
            its limit.
        """
        if self.limit.per_s is None:
            return self.rate_tokens_per_s
        request_tokens = self.limit.mean_prompt_tokens or request_tokens
        return min(self.rate_tokens_per_s, self.limit.per_s * request_tokens)

    def cached_tokens(self, work: Work, has_affinity: bool, now_s: float) -> int:
        """Return the prompt tokens that the engine is expected to have cached.

        Parameters
        ----------
        has_affinity : bool
            Whether the other instances send this prefix here too, so that it is
            likely to be cached.
        """
        tokens = 0
        last = len(work.parts) - 1
        for index, (part, size_tokens) in enumerate(work.parts):
            used_at_s = self.cached_parts.get(part)
            known = used_at_s is not None and now_s - used_at_s < CACHED_PART_TTL_S
            if not known and not (has_affinity and index < last):
                break
            tokens += size_tokens
        return min(tokens, max(0, work.prompt_tokens - 1))

    def record_prompt(self, work: Work, now_s: float) -> None:
        """Record that the engine caches the parts of a prompt."""
        for part, _ in work.parts:
            self.cached_parts[part] = now_s
            self.cached_parts.move_to_end(part)
        while len(self.cached_parts) > CACHED_PARTS_MAX:
            self.cached_parts.popitem(last=False)

    def record_outcome(self, failed: bool, now_s: float) -> bool:
        """Count the end of a request; return whether the server is now ejected."""
        self.probing = False
        self.failure_rate += FAILURE_SMOOTHING * (float(failed) - self.failure_rate)
        if not failed or self.failure_rate < FAILURE_RATE_MAX:
            return False
        self.ejected_until_s = now_s + EJECTION_TIME_S
        return True

    def mark_replaced(self, now_s: float) -> None:
        """Eject the server because another one answers at its address.

        That one refuses all requests at once and would look like the least loaded.
        """
        self.ejected_until_s = now_s + REPLACED_EJECTION_S

    def mark_full(self, until_s: float) -> None:
        """Record until when the server, which refused a request, counts as full."""
        self.full_until_s = max(self.full_until_s, until_s)

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record for how long the server wants no requests from this instance."""
        until_s = now_s + min(pause_s, PAUSE_MAX_S)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def record_rate(self, tokens_per_s: float) -> None:
        """Update the prefill rate with an observation."""
        if self.rate_tokens_per_s <= 0.0:
            self.rate_tokens_per_s = tokens_per_s
            return
        difference = tokens_per_s - self.rate_tokens_per_s
        self.rate_tokens_per_s += RATE_SMOOTHING * difference

    def record_latency(self, latency_s: float) -> None:
        """Update the latencies with a time from a send to the whole response."""
        decayed_s = LONGEST_LATENCY_DECAY * self.longest_latency_s
        self.longest_latency_s = max(latency_s, decayed_s)
        self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s)


def usable(states: Iterable[ServerState], now_s: float) -> list[ServerState]:
    """Return the servers that are not ejected, or all if more than half are.

    If most fail, the cause lies elsewhere, and the others would be overloaded.
    """
    all_states = list(states)
    healthy = [state for state in all_states if not state.is_ejected(now_s)]
    return healthy if 2 * len(healthy) >= len(all_states) else all_states


def next_accepting_in_s(states: Sequence[ServerState], now_s: float) -> float:
    """Return the time until a server accepts requests again.

    0 if one does now or none is known, infinite if all said that they leave.
    """
    if not states:
        return 0.0
    return min(
        (
            max(0.0, state.paused_until_s - now_s)
            for state in states
            if not state.said_leaving
        ),
        default=math.inf,
    )
