"""Order in which waiting requests are tried.

Load patterns: one large organisation among small ones, and a burst in which some
requests can no longer be on time. Replayed in ``tests/test_waiting.py``.
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
FIRST_S = 0.1  # from a send to the first event, at least
SUMS_S = 0.05  # in which requests that become late are still counted as on time
LATE_TURN = 8  # one in so many turns goes to late requests, so that none starves


@attrs.frozen
class AwaitedServer:
    """The backend server that a request waits for, as it was when last looked at."""

    state: ServerState
    uncached_tokens: float
    running: int
    pending_tokens: float
    round_sends: RoundSends

    @classmethod
    def from_choice(cls, choice: Choice) -> AwaitedServer | None:
        """Return what a choice that found no place waits for."""
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
        """Count the request, with an even part for each instance, as waiting there."""
        self.state.backlog_tokens += instances * self.uncached_tokens

    @property
    def may_have_capacity(self) -> bool:
        """Whether the server may have a place that it had not."""
        return (
            self.state.round_sends is not self.round_sends
            or self.state.running < self.running
            or self.state.pending_tokens < self.pending_tokens
        )


@attrs.define(eq=False)
class QueuedRequest(Generic[T]):
    """A waiting request and what to wake when its turn comes.

    Attributes
    ----------
    awaited_server : AwaitedServer or None
        What it waits for, if it was looked at and waits for one server.
    """

    work: Work
    payload: T
    awaited_server: AwaitedServer | None = None

    def blocked_on(self, states: Container[ServerState]) -> AwaitedServer | None:
        """Return what the request still waits for, so that no look finds a place.

        Looks are dear and their number is bounded, so requests that wait for a full
        server must not use them up.

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
    """Tokens of one organisation's waiting requests."""

    cost: float = 0.0
    prompt: float = 0.0
    on_time_prompt: float = 0.0

    def add(self, work: Work, now_s: float, sign: float = 1.0) -> None:
        """Count a request, or take it out again with a sign of -1."""
        self.cost += sign * work.cost_tokens
        self.prompt += sign * work.prompt_tokens
        if not is_late(work, now_s):
            self.on_time_prompt += sign * work.prompt_tokens


@attrs.define
class RequestQueue(Generic[T]):
    """Requests of one service that wait in this router.

    Organisations under their fair share go first, then those that got least; within
    an organisation, requests that can still be on time go by the end of that time,
    then those whose caller came back, then late ones.
    """

    _waiters: dict[str, list[QueuedRequest[T]]] = attrs.field(factory=dict, init=False)
    _turns: int = attrs.field(default=0, init=False)
    # Each arrival asks for the sums; adding them up anew would cost the more the more
    # requests wait.
    _sums: dict[str, _Sums] = attrs.field(factory=dict, init=False)
    _summed_at_s: float = attrs.field(default=-math.inf, init=False)

    def __len__(self) -> int:
        return sum(len(waiters) for waiters in self._waiters.values())

    def add(self, waiter: QueuedRequest[T]) -> None:
        """Let a request wait."""
        name = waiter.work.organisation
        self._waiters.setdefault(name, []).append(waiter)
        self._sums.setdefault(name, _Sums()).add(waiter.work, self._summed_at_s)

    def remove(self, waiter: QueuedRequest[T]) -> None:
        """Take a request out; nothing happens if it isn't waiting."""
        waiters = self._waiters.get(waiter.work.organisation, [])
        if waiter not in waiters:
            return
        waiters.remove(waiter)
        name = waiter.work.organisation
        if not waiters:
            del self._waiters[name]
            self._sums.pop(name, None)
            return
        self._sums[name].add(waiter.work, self._summed_at_s, -1.0)

    def backlog_of(self, organisation: str) -> tuple[int, float]:
        """Return how many requests of an organisation wait, and their cost."""
        sums = self._sums.get(organisation)
        if sums is None:
            return 0, 0.0
        return len(self._waiters[organisation]), sums.cost

    def queued_tokens(self) -> dict[str, float]:
        """Return the cost of what waits, by organisation."""
        return {name: sums.cost for name, sums in self._sums.items()}

    def tokens_ahead(self, work: Work, fair_shares: FairShares, now_s: float) -> float:
        """Return the prompt tokens that the fleet would try before a new request.

        Late requests of other callers go after one that can still be on time. What
        waits elsewhere is known by organisation only, so it is taken to be composed
        as what the same organisations have waiting here.
        """
        self._refresh_sums(now_s)
        ahead_tokens = own_tokens = 0.0
        own_key = fair_shares.scheduling_key(work.organisation, now_s)
        for name, sums in self._sums.items():
            if fair_shares.scheduling_key(name, now_s) > own_key:
                continue
            own_tokens += sums.cost
            ahead_tokens += sums.prompt if work.resubmitted else sums.on_time_prompt
        if ahead_tokens <= 0.0:
            return 0.0
        foreign_tokens = fair_shares.peer_tokens_ahead(work.organisation, now_s)
        return ahead_tokens * (own_tokens + foreign_tokens) / own_tokens

    def _refresh_sums(self, now_s: float) -> None:
        if abs(now_s - self._summed_at_s) < SUMS_S:
            return
        self._summed_at_s = now_s
        self._sums = {}
        for name, waiters in self._waiters.items():
            sums = self._sums[name] = _Sums()
            for waiter in waiters:
                sums.add(waiter.work, now_s)

    def in_order(
        self, fair_shares: FairShares, now_s: float
    ) -> Iterator[QueuedRequest[T]]:
        """Yield the requests in the order in which to try them."""
        self._turns += 1
        late_first = self._turns % LATE_TURN == 0
        names = sorted(
            self._waiters, key=lambda name: fair_shares.scheduling_key(name, now_s)
        )
        for name in names:
            waiters = sorted(
                self._waiters[name],
                key=lambda waiter: _rank(waiter.work, now_s, late_first),
            )
            yield from waiters


def is_late(work: Work, now_s: float) -> bool:
    """Return whether a request can no longer be on time."""
    return now_s + FIRST_S > work.on_time_until_s


def _rank(work: Work, now_s: float, late_first: bool) -> tuple[int, int, float]:
    if not is_late(work, now_s):
        return work.priority, 1, work.on_time_until_s
    if work.resubmitted:
        return work.priority, 0 if late_first else 2, work.on_time_until_s
    return work.priority, 0 if late_first else 3, work.on_time_until_s
