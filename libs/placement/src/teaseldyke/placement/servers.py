"""What a router believes of each backend server.

Load patterns: engines that fail part of their requests while healthy (`srv_grey`),
run slowly (`srv_slow`), are cold after a start (`cold_return`), or crash and leave
their address to another (`srv_crash`). Replayed in
``tests/test_servers.py``.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from zlib import crc32

import attrs

from teaseldyke.types import AnnouncedServer

from .window_budget import ColdRateLimit
from .work import Work

PART_LIFE_S = 20.0  # an unused part is then likely to have yielded its memory
PARTS_MAX = 400  # parts remembered of one engine; bounds the memory of a router
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failures
FAILURE_RATE_MAX = 0.4  # above it a server is left out; sound services err at 0.14
EJECTION_S = 2.0  # then one request tries the server again
REPLACED_S = 5.0  # until the entry of a server that is gone vanishes
RATE_WEIGHT = 0.1  # of the newest observation in the measured rate
LATENCY_WEIGHT = 0.1  # of the newest observation in the measured latency
LATENCY_START_S = 0.05  # before any answer


@attrs.define
class Load:
    """Requests at a backend server.

    Parameters
    ----------
    pending_tokens : float
        Prompt tokens that are still to be read.
    running : int
        Requests sent and not ended.
    memory_tokens : float
        Tokens that these requests hold at their end.
    """

    pending_tokens: float = 0.0
    running: int = 0
    memory_tokens: float = 0.0


@attrs.define
class RoundSends:
    """What this instance sent to a backend server in the current round.

    A round lasts until the other instances know of these sends. In it, organisations
    take parts of the same free places at the instances where their requests wait,
    which add up to the whole.

    Attributes
    ----------
    rounding : float
        Drawn from 0 to 1; a part of a place is taken by as many instances, on
        average, as make it a whole one.
    requests : int
        Requests sent.
    tokens : float
        Prompt tokens of theirs that the server must read.
    """

    rounding: float = 0.0
    requests: int = 0
    tokens: float = 0.0
    _by_organisation: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, organisation: str, uncached_tokens: float) -> None:
        """Count a send."""
        self.requests += 1
        self.tokens += uncached_tokens
        requests, tokens = self.of(organisation)
        self._by_organisation[organisation] = requests + 1, tokens + uncached_tokens

    def of(self, organisation: str) -> tuple[int, float]:
        """Return the requests and tokens sent for an organisation."""
        return self._by_organisation.get(organisation, (0, 0.0))

    def rounding_of(self, organisation: str) -> float:
        """Return the number by which an organisation's part is rounded.

        Organisations have different ones, or all would take a place at once.
        """
        return (self.rounding + crc32(organisation.encode()) / 2**32) % 1.0


@attrs.frozen
class CapacityQuota:
    """Part of the free room at an engine that an organisation may take here.

    Parameters
    ----------
    organisation : str
        Whose requests wait.
    fraction : float
        Of the room in a round, from 0 to 1; 1 if nobody else competes for it.
    """

    organisation: str = ""
    fraction: float = 1.0


FULL_QUOTA = CapacityQuota()


@attrs.define(eq=False)
class ServerState:
    """A backend server, with what is known of its load and health.

    Parameters
    ----------
    server : AnnouncedServer
        Its newest announcement.
    cold_until_s : float
        Until when it bears little.
    cold_rate_limit : ColdRateLimit
        What this instance may send meanwhile.

    Attributes
    ----------
    round_sends : RoundSends
        Sends of this instance that the others don't know of yet.
    backlog_tokens : float
        Prompt tokens of requests here that wait for this server rather than go
        elsewhere, with an even part for the other instances.
    """

    server: AnnouncedServer
    cold_until_s: float
    cold_rate_limit: ColdRateLimit
    own_load: Load = attrs.field(factory=Load)
    peer_load: Load = attrs.field(factory=Load)
    rate_tokens_per_s: float = 0.0
    latency_s: float = LATENCY_START_S
    failure_rate: float = 0.0
    ejected_until_s: float = 0.0
    probing: bool = False
    full_until_s: float = 0.0
    backlog_tokens: float = 0.0
    round_sends: RoundSends = attrs.field(factory=RoundSends)
    cached_parts: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    @property
    def pending_tokens(self) -> float:
        """Prompt tokens of the whole fleet that are still to be read."""
        return self.own_load.pending_tokens + self.peer_load.pending_tokens

    @property
    def running(self) -> int:
        """Requests of the whole fleet."""
        return self.own_load.running + self.peer_load.running

    @property
    def memory_tokens(self) -> float:
        """Tokens that the requests of the whole fleet hold at their end."""
        return self.own_load.memory_tokens + self.peer_load.memory_tokens

    def has_free_slot(self, places: float, quota: CapacityQuota) -> bool:
        """Return whether a request may take a place.

        Parameters
        ----------
        places : float
            Requests that the whole fleet may have at the server.
        quota : CapacityQuota
            What the request's organisation may take in a round.
        """
        free = places - self.running
        if quota.fraction >= 1.0:
            return free >= 1.0
        sends = self.round_sends
        requests, _ = sends.of(quota.organisation)
        part = (free + sends.requests) * quota.fraction
        return free > 0.0 and requests + 1 <= part + sends.rounding_of(
            quota.organisation
        )

    def has_prefill_capacity(
        self, limit_tokens: float, uncached_tokens: float, quota: CapacityQuota
    ) -> bool:
        """Return whether a prompt may be sent.

        Parameters
        ----------
        limit_tokens : float
            Prompt tokens of the whole fleet that may be queued; the last prompt may
            exceed them.
        uncached_tokens : float
            What the server must read of the prompt.
        quota : CapacityQuota
            What the request's organisation may take in a round.
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
        """Return whether the server is cold and bears only a stated rate."""
        return now_s < self.cold_until_s and self.cold_rate_limit.rate_per_s > 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether failures keep the server out of use."""
        return now_s < self.ejected_until_s or self.probing

    def cached_tokens(self, work: Work, has_affinity: bool, now_s: float) -> int:
        """Return the prompt tokens that the engine need not read again.

        Parameters
        ----------
        has_affinity : bool
            Whether the other instances send this subject here too, so that its
            shared parts are likely to be there.
        """
        tokens = 0
        last = len(work.parts) - 1
        for index, (part, size_tokens) in enumerate(work.parts):
            used_at_s = self.cached_parts.get(part)
            known = used_at_s is not None and now_s - used_at_s < PART_LIFE_S
            if not known and not (has_affinity and index < last):
                break
            tokens += size_tokens
        return min(tokens, max(0, work.prompt_tokens - 1))

    def record_prompt(self, work: Work, now_s: float) -> None:
        """Remember that the engine reads a prompt."""
        for part, _ in work.parts:
            self.cached_parts[part] = now_s
            self.cached_parts.move_to_end(part)
        while len(self.cached_parts) > PARTS_MAX:
            self.cached_parts.popitem(last=False)

    def record_outcome(self, failed: bool, now_s: float) -> bool:
        """Count the end of a request; return whether the server is now left out."""
        self.probing = False
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)
        if not failed or self.failure_rate < FAILURE_RATE_MAX:
            return False
        self.ejected_until_s = now_s + EJECTION_S
        return True

    def mark_replaced(self, now_s: float) -> None:
        """Remember that another server answers at the address.

        It turns each request away at once and would look like the emptiest of all.
        """
        self.ejected_until_s = now_s + REPLACED_S

    def mark_full(self, until_s: float) -> None:
        """Remember that the server turned a request away for want of room."""
        self.full_until_s = max(self.full_until_s, until_s)

    def record_rate(self, tokens_per_s: float) -> None:
        """Count an observed rate of reading prompts."""
        if self.rate_tokens_per_s <= 0.0:
            self.rate_tokens_per_s = tokens_per_s
            return
        difference = tokens_per_s - self.rate_tokens_per_s
        self.rate_tokens_per_s += RATE_WEIGHT * difference

    def record_latency(self, latency_s: float) -> None:
        """Count an observed time from a send to the whole answer."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)


def usable(states: Iterable[ServerState], now_s: float) -> list[ServerState]:
    """Return the servers that failures don't keep out, or all if over half are out.

    When most fail, the cause lies elsewhere, and the rest would be overrun.
    """
    everything = list(states)
    kept = [state for state in everything if not state.is_ejected(now_s)]
    return kept if 2 * len(kept) >= len(everything) else everything
