"""What is left of a stream that broke off and is resumed.

Load pattern: crashes, restarts of instances and releases at a load above the engines'
throughput (`rejoined`), while callers resume streams beside new ones. Replayed in
``tests/test_resumption.py``.
"""

from __future__ import annotations

import attrs

from .work import Work

EVENT_SIZE_SMOOTHING = 0.1  # weight of the newest stream


@attrs.define
class EventSizes:
    """Output tokens in each event of a route's streams, learned from complete ones."""

    _tokens: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_stream(self, route: str, output_tokens: int, events: int) -> None:
        """Learn from a complete stream with its expected output tokens."""
        if output_tokens <= 0 or events <= 0:
            return
        tokens = output_tokens / events
        known = self._tokens.setdefault(route, tokens)
        self._tokens[route] = known + EVENT_SIZE_SMOOTHING * (tokens - known)

    def tokens_per_event(self, route: str) -> float:
        """Return the tokens in an event of a route's streams; 0 if unknown."""
        return self._tokens.get(route, 0.0)


def work_left(work: Work, events: int, tokens_per_event: float) -> Work:
    """Return the work of a stream that an engine has begun.

    The engine reads what was generated with the prompt, so these tokens count once
    rather than twice.

    Parameters
    ----------
    events : int
        Events that the caller has received.
    tokens_per_event : float
        Output tokens in each of them; 0 if unknown, in which case all output is left.

    Examples
    --------
    >>> work = Work("parish-9", 0.0, 1.0, 9.0, 9.0, prompt_tokens=100, output_tokens=80)
    >>> left = work_left(work, 30, 2.0)
    >>> left.prompt_tokens, left.output_tokens, work.cost_tokens, left.cost_tokens
    (160, 20, 260.0, 200.0)
    """
    generated = min(max(0, work.output_tokens - 1), round(events * tokens_per_event))
    return attrs.evolve(
        work,
        prompt_tokens=work.prompt_tokens + generated,
        output_tokens=work.output_tokens - generated,
        resubmitted=False,
        begun=True,
    )
