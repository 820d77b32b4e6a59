"""Queue of requests and the order in which they are scheduled.

Load patterns: one large organisation among small ones, a burst in which some requests
miss their latency target, and broken streams that are resumed beside new ones. Replayed
in ``tests/test_waiting.py`` and ``tests/test_resumption.py``.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from typing import Generic, TypeVar

import attrs

from .choice import Choice
from .servers import RoundSends, ServerState
from .shares import FairShares
from .work import Work

T = TypeVar("T")
FIRST_EVENT_MIN_S = 0.1  # shortest time from a send to the first event
SUMS_TTL_S = 0.05  # requests that become late meanwhile count as on time
LATE_FIRST_INTERVAL = 8  # passes; one starts with late requests, so none starves


@attrs.frozen
class AwaitedServer:
    """Backend server that a request waits for, with its load at the last attempt."""

    state: ServerState
    uncached_tokens: float
    running: int
    pending_tokens: float
    round_sends: RoundSends

    @classmethod
    def from_choice(cls, choice: Choice) -> AwaitedServer | None:
        """Return the awaited server of a choice that found no capacity."""
        state = choice.awaited_server
        if state is None:
            return None
        return cls(
            state,
            choice.uncached_tokens,
            state.running,
            state.pending_tokens,
            state.round_sends,
        )

    def count_in_backlog(self, instances: int) -> None:
        """Add the request, multiplied by the instances, to the server's backlog."""
        self.state.backlog_tokens += instances * self.uncached_tokens
        self.state.backlog_requests += 1

    @property
    def may_have_capacity(self) -> bool:
        """Whether capacity may have become free since the last attempt."""
        return (
            self.state.round_sends is not self.round_sends
            or self.state.running < self.running
            or self.state.pending_tokens < self.pending_tokens
        )


@attrs.define(eq=False)
class QueuedRequest(Generic[T]):
    """A queued request and the caller's object that belongs to it.

    Attributes
    ----------
    awaited_server : AwaitedServer or None
        Server that the request waits for, if the last attempt found such a server.
    """

    work: Work
    payload: T
    awaited_server: AwaitedServer | None = None

    def blocked_on(self, states: Container[ServerState]) -> AwaitedServer | None:
        """Return the awaited server unless a new attempt may find capacity.

        Attempts to choose a server are costly and limited in number, so requests that
        wait for a full server must not use them up.

        Parameters
        ----------
        states : container of ServerState
            Servers that may get requests.
        """
        awaited_server = self.awaited_server
        if (
            awaited_server is None
            or awaited_server.state not in states
            or awaited_server.may_have_capacity
        ):
            return None
        return awaited_server


@attrs.define
class _Sums:
    """Tokens of one organisation's queued requests."""

    cost: float = 0.0
    prompt: float = 0.0
    on_time_prompt: float = 0.0
    begun_prompt: float = 0.0

    def add(self, work: Work, now_s: float, sign: float = 1.0) -> None:
        """Add a request, or subtract it with a sign of -1."""
        self.cost += sign * work.cost_tokens
        self.prompt += sign * work.prompt_tokens
        if work.begun:
            self.begun_prompt += sign * work.prompt_tokens
        if work.begun or not is_late(work, now_s):
            self.on_time_prompt += sign * work.prompt_tokens


@attrs.define
class RequestQueue(Generic[T]):
    """Queued requests of one service at this instance.

    Organisations that are not over their fair share go first, in order of usage.
    Within an organisation and priority, streams that have begun go first, then requests
    that can still meet their latency target by that target, then resubmitted ones, then
    late ones.
    """

    _requests: dict[str, list[QueuedRequest[T]]] = attrs.field(factory=dict, init=False)
    _passes: int = attrs.field(default=0, init=False)
    # Each arrival reads the sums; recomputing them takes time proportional to the
    # length of the queue.
    _sums: dict[str, _Sums] = attrs.field(factory=dict, init=False)
    _sums_updated_at_s: float = attrs.field(default=-math.inf, init=False)

    def __len__(self) -> int:
        return sum(len(requests) for requests in self._requests.values())

    def add(self, request: QueuedRequest[T]) -> None:
        """Add a request to the queue."""
        name = request.work.organisation
        self._requests.setdefault(name, []).append(request)
        self._sums.setdefault(name, _Sums()).add(request.work, self._sums_updated_at_s)

    def remove(self, request: QueuedRequest[T]) -> None:
        """Remove a request; does nothing if it is not queued."""
        requests = self._requests.get(request.work.organisation, [])
        if request not in requests:
            return
        requests.remove(request)
        name = request.work.organisation
        if not requests:
            del self._requests[name]
            self._sums.pop(name, None)
            return
        self._sums[name].add(request.work, self._sums_updated_at_s, -1.0)

    def backlog_of(self, organisation: str) -> tuple[int, float]:
        """Return the number of queued requests of an organisation and their cost."""
        sums = self._sums.get(organisation)
        if sums is None:
            return 0, 0.0
        return len(self._requests[organisation]), sums.cost

    def queued_tokens(self) -> dict[str, float]:
        """Return the cost of the queued requests, by organisation."""
        return {name: sums.cost for name, sums in self._sums.items()}

    def tokens_ahead(self, work: Work, fair_shares: FairShares, now_s: float) -> float:
        """Return the prompt tokens that the fleet schedules before a new request.

        Late requests go after one that can still meet its target, and all of the same
        organisation after a stream that has begun, except for other such streams.
        Requests queued at other instances are known by organisation only; their
        composition is assumed to be that of the requests queued here.
        """
        self._refresh_sums(now_s)
        ahead_tokens = own_tokens = 0.0
        own_key = fair_shares.scheduling_key(work.organisation, now_s)
        for name, sums in self._sums.items():
            if fair_shares.scheduling_key(name, now_s) > own_key:
                continue
            own_tokens += sums.cost
            if work.begun and name == work.organisation:
                ahead_tokens += sums.begun_prompt
                continue
            ahead_tokens += sums.prompt if work.resubmitted else sums.on_time_prompt
        if ahead_tokens <= 0.0:
            return 0.0
        peer_tokens = fair_shares.peer_tokens_ahead(work.organisation, now_s)
        return ahead_tokens * (own_tokens + peer_tokens) / own_tokens

    def prefill_wait_s(
        self,
        work: Work,
        fair_shares: FairShares,
        now_s: float,
        rate_tokens_per_s: float,
        own_rate_tokens_per_s: float,
    ) -> float:
        """Return the expected time until a new request is sent.

        Requests of other organisations go to any server; streams that have begun, which
        a stream of the same organisation waits behind, may need the same ones.

        Parameters
        ----------
        rate_tokens_per_s : float
            Prefill rate of the service's servers.
        own_rate_tokens_per_s : float
            That of the servers that may serve the request.
        """
        ahead_tokens = self.tokens_ahead(work, fair_shares, now_s)
        own_tokens = 0.0
        if work.begun and work.organisation in self._sums:
            own_tokens = min(ahead_tokens, self._sums[work.organisation].begun_prompt)
        others_wait_s = (ahead_tokens - own_tokens) / rate_tokens_per_s
        return others_wait_s + own_tokens / own_rate_tokens_per_s

    def requests_ahead(
        self, organisation: str, fair_shares: FairShares, now_s: float
    ) -> int:
        """Return the requests queued here of organisations that go before or are it."""
        own_key = fair_shares.scheduling_key(organisation, now_s)
        return sum(
            len(requests)
            for name, requests in self._requests.items()
            if fair_shares.scheduling_key(name, now_s) <= own_key
        )

    def _refresh_sums(self, now_s: float) -> None:
        if abs(now_s - self._sums_updated_at_s) < SUMS_TTL_S:
            return
        self._sums_updated_at_s = now_s
        self._sums = {}
        for name, requests in self._requests.items():
            sums = self._sums[name] = _Sums()
            for request in requests:
                sums.add(request.work, now_s)

    def in_order(
        self, fair_shares: FairShares, now_s: float
    ) -> Iterator[QueuedRequest[T]]:
        """Yield the requests in the order in which to schedule them."""
        self._passes += 1
        late_first = self._passes % LATE_FIRST_INTERVAL == 0
        names = sorted(
            self._requests, key=lambda name: fair_shares.scheduling_key(name, now_s)
        )
        for name in names:
            requests = sorted(
                self._requests[name],
                key=lambda request: _rank(request.work, now_s, late_first),
            )
            yield from requests


def is_late(work: Work, now_s: float) -> bool:
    """Return whether a request can no longer meet its latency target."""
    return now_s + FIRST_EVENT_MIN_S > work.on_time_until_s


def _rank(work: Work, now_s: float, late_first: bool) -> tuple[int, int, float]:
    if work.begun:
        return work.priority, -1, work.on_time_until_s
    if not is_late(work, now_s):
        return work.priority, 1, work.on_time_until_s
    if work.resubmitted:
        return work.priority, 0 if late_first else 2, work.on_time_until_s
    return work.priority, 0 if late_first else 3, work.on_time_until_s
