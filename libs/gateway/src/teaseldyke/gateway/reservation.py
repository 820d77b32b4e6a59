"""A request's place at a backend server, from the send to its end."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from teaseldyke.placement import ServerState, Work
from teaseldyke.timers import boot_time_s

MEASURED_FIRST_EVENT_MIN_S = (
    0.02  # below it, a time to the first event says nothing of a rate
)
MEASURED_TOKENS_MIN = 2000.0  # below it, setting up a request hides the rate


@attrs.define(eq=False)
class Reservation:
    """A request that holds its place at a backend server until `end`.

    Parameters
    ----------
    state : ServerState
        Where it goes.
    work : Work
        What it asks.
    uncached_tokens : float
        Prompt tokens that the engine is expected to read.
    first_s : float
        Expected time to the first event.
    copy_from : ServerState or None
        Engine from which it may copy the shared parts of its prompt.

    Attributes
    ----------
    measured_first_s : float
        The same as measured; 0 before.
    """

    state: ServerState
    work: Work
    uncached_tokens: float
    first_s: float
    copy_from: ServerState | None
    sent_at_s: float
    _on_change: Callable[[str], None]
    _queued_tokens: float = 0.0
    measured_first_s: float = 0.0
    _is_prefilling: bool = True
    _is_held: bool = True

    def record_first_event(self) -> None:
        """Note the first event: the prompt has been read."""
        if not self._is_prefilling:
            return
        first_s = boot_time_s() - self.sent_at_s
        self.measured_first_s = first_s
        tokens = self._queued_tokens + self.uncached_tokens
        if first_s > MEASURED_FIRST_EVENT_MIN_S and tokens > MEASURED_TOKENS_MIN:
            self.state.note_rate(tokens / first_s)
        self._end_prefill()

    def record_answer(self) -> None:
        """Note the whole answer of a plain server."""
        self.state.note_latency(boot_time_s() - self.sent_at_s)

    def end(self, failed: bool | None) -> None:
        """Give the place up.

        Parameters
        ----------
        failed : bool or None
            Whether the server failed; ``None`` if the end says nothing of it.
        """
        if not self._is_held:
            return
        self._is_held = False
        self._end_prefill()
        own = self.state.own
        own.running -= 1
        own.memory_tokens -= self.work.memory_tokens
        self.state.probing = False
        if failed is not None:
            self.state.note_outcome(failed, boot_time_s())
        self._on_change(self.state.server.service)

    def _end_prefill(self) -> None:
        if not self._is_prefilling:
            return
        self._is_prefilling = False
        self.state.own.pending_tokens -= self.uncached_tokens
        self._on_change(self.state.server.service)
