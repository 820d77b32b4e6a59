"""Capacity that a request holds at a backend server, from the send to its end."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from teaseldyke.placement import ServerState, Work
from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s, scheduler_passes

from .interfaces import AnswerFacts
from .statement_log import log_limit_changed, log_said_leaving

# Smaller samples are no measure of the prefill rate: request set-up dominates them.
MEASURED_FIRST_EVENT_MIN_S = 0.02
MEASURED_TOKENS_MIN = 2000.0
REFUSING_STATUSES = (429, 503)

PAUSES = counter(
    "teaseldyke_server_pauses_total",
    "Pauses that backend servers asked for, by service.",
)


@attrs.define(eq=False)
class Reservation:
    """Counts a request in the load of its backend server until `release`.

    Parameters
    ----------
    state : ServerState
        State of the backend server.
    work : Work
        Size and deadlines of the request.
    uncached_tokens : float
        Prompt tokens that the engine is expected to prefill.
    expected_first_s : float
        Expected time to the first event.
    copy_from : ServerState or None
        Engine from which the cached shared parts of the prompt may be copied.
    sent_at_s : float
        Time of the send, on the clock of `boot_time_s`.

    Attributes
    ----------
    counts_in_limit : bool
        Whether it was counted in the server's stated limit.
    measured_head_s, measured_first_s : float
        Measured time to the header of the answer and to the first event; 0 before it.
    """

    state: ServerState
    work: Work
    uncached_tokens: float
    expected_first_s: float
    copy_from: ServerState | None
    sent_at_s: float
    _on_change: Callable[[str], None]
    _queued_tokens: float = 0.0
    counts_in_limit: bool = False
    measured_head_s: float = 0.0
    measured_first_s: float = 0.0
    _is_prefilling: bool = True
    _is_held: bool = True

    def record_head(self) -> None:
        """Record the header of the answer."""
        self.measured_head_s = boot_time_s() - self.sent_at_s

    def record_first_event(self) -> None:
        """Record the first event, which ends the prefill."""
        if not self._is_prefilling:
            return
        first_s = boot_time_s() - self.sent_at_s
        self.measured_first_s = first_s
        tokens = self._queued_tokens + self.uncached_tokens
        if first_s > MEASURED_FIRST_EVENT_MIN_S and tokens > MEASURED_TOKENS_MIN:
            self.state.record_rate(tokens / first_s)
        self._end_prefill()

    def record_statements(self, status: int, facts: AnswerFacts) -> None:
        """Record what the header of the server's answer says of the server itself.

        The answer of another server at its address (421) says nothing of it.
        """
        if status == 421:
            return
        state = self.state
        server = state.server
        if facts.is_leaving and not state.said_leaving:
            state.said_leaving = True
            log_said_leaving(server, "answer")
            self._on_change(server.service)
        if facts.retry_after_s is not None and status in REFUSING_STATUSES:
            state.record_pause(facts.retry_after_s, boot_time_s())
            PAUSES.bind(service=server.service).add()
            log_decision("server_paused", server=server.id, for_s=facts.retry_after_s)

    def record_limit(self, status: int, facts: AnswerFacts) -> None:
        """Record the limit on requests that an own answer of the server states.

        The answer may have lain unread while others told of newer ones.
        """
        if status == 421 or not facts.is_limit_readable:
            return
        now_s = boot_time_s()
        at_s = min(now_s, scheduler_passes().unread_since_s)
        limit = self.state.limit
        was = limit.per_s
        if limit.hear(facts.limit_per_s, at_s, now_s):
            log_limit_changed(self.state, was, "answer", now_s - at_s)
            self._on_change(self.state.server.service)

    def ensure_counted_in_limit(self) -> bool:
        """Count the request in a limit that became known after the choice.

        Return false if the limit doesn't allow it now.
        """
        limit = self.state.limit
        if self.counts_in_limit or not limit.is_in_force:
            return True
        now_s = boot_time_s()
        if not limit.allows_send(now_s):
            return False
        limit.record_send(now_s, self.work.prompt_tokens)
        self.counts_in_limit = True
        return True

    def take_back_from_limit(self) -> None:
        """Take a request that did not reach the server out of its limit."""
        if self.counts_in_limit:
            self.counts_in_limit = False
            self.state.limit.take_back_send()

    def record_answer(self) -> None:
        """Record the latency of a plain server's complete answer."""
        self.state.record_latency(boot_time_s() - self.sent_at_s)

    def release(self, failed: bool | None) -> None:
        """Take the request out of the server's load; later calls do nothing.

        Parameters
        ----------
        failed : bool or None
            Whether the server failed; ``None`` if the outcome says nothing about it.
        """
        if not self._is_held:
            return
        self._is_held = False
        self._end_prefill()
        own = self.state.own_load
        own.running -= 1
        own.memory_tokens -= self.work.memory_tokens
        self.state.probing = False
        if failed is not None:
            self.state.record_outcome(failed, boot_time_s())
        self._on_change(self.state.server.service)

    def _end_prefill(self) -> None:
        if not self._is_prefilling:
            return
        self._is_prefilling = False
        self.state.own_load.pending_tokens -= self.uncached_tokens
        self._on_change(self.state.server.service)
