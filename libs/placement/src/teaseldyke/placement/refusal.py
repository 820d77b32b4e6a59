"""Admission control: refusal of requests and the delay before their retry.

Load patterns: a burst above the engines' throughput (`burst`, `hot_tenant`) that ends
after seconds, requests that arrive late in a planned stop (`roll_term`), at servers
that may be slow for a while (`srv_slow`), and broken streams that are resumed beside
new ones (`rejoined`). Replayed in ``tests/test_refusal.py`` and
``tests/test_resumption.py``.
"""

from __future__ import annotations

import math

import attrs

from .work import Work

RESUBMITTED_WAIT_FRACTION_MAX = 0.5  # of the time until the caller gives up
DECODE_TOKEN_S = 0.012  # for each output token at a full batch
RETRY_DELAY_FRACTION_MAX = 1 / 3  # of the time until the deadline
RETRY_DELAY_MIN_S = 0.1  # a shorter delay meets the same load
JITTER_FRACTION = 0.5  # of the delay; spreads retries
STREAM_START_S = 1.0  # time to the first event of a stream, late ones included
UNKNOWN_LATENCY_S = 0.4  # of a plain service before its first response
# Of the longest latency lately, within which an answer is complete. A request that may
# run only once can't be sent elsewhere if it is cut.
ANSWER_FACTOR_REPEATABLE = 2.0
ANSWER_FACTOR_ONCE = 4.0
ANSWER_MIN_S = 0.25


@attrs.frozen
class Refusal:
    """Refusal of a request before it was sent to a backend server.

    Parameters
    ----------
    reason : str
        Reason for logs and the response.
    retry_after_s : float
        Time after which the caller should retry.
    """

    reason: str
    retry_after_s: float


def service_time_s(work: Work) -> float:
    """Return the time to generate a request's output, without queueing."""
    return work.output_tokens * DECODE_TOKEN_S


def answer_time_s(longest_latency_s: float, *, runs_once: bool) -> float:
    """Return the time within which a plain server's answer is surely complete.

    Parameters
    ----------
    longest_latency_s : float
        Longest latency of the service lately; 0 if none is known.
    runs_once : bool
        Whether the request may not be repeated.

    Examples
    --------
    >>> answer_time_s(0.3, runs_once=False), answer_time_s(0.3, runs_once=True)
    (0.6, 1.2)
    >>> answer_time_s(0.0, runs_once=False)
    0.8
    """
    factor = ANSWER_FACTOR_ONCE if runs_once else ANSWER_FACTOR_REPEATABLE
    return max(ANSWER_MIN_S, factor * (longest_latency_s or UNKNOWN_LATENCY_S))


def check_admission(
    work: Work, expected_wait_s: float, now_s: float, jitter: float
) -> Refusal | None:
    """Return a refusal if a request cannot be served in time, else ``None``.

    Above the engines' throughput, each request that is served late displaces one that
    would meet its latency target. A refused caller learns so at once and retries when
    the burst may have ended; its resubmitted request may wait longer, so that it is
    not refused for the same wait again. A stream that has begun is refused only if its
    caller would give up before: what was served of it would be lost.

    Parameters
    ----------
    expected_wait_s : float
        Expected time until the request is sent.
    jitter : float
        Random number from 0 to 1 that spreads the retries.
    """
    left_s = work.deadline_at_s - now_s
    if left_s <= 0.0:
        return Refusal("deadline passed", RETRY_DELAY_MIN_S)
    if work.begun:
        wait_max_s = work.caller_timeout_at_s - now_s
    elif work.resubmitted:
        wait_max_s = RESUBMITTED_WAIT_FRACTION_MAX * (work.caller_timeout_at_s - now_s)
    else:
        wait_max_s = work.on_time_until_s - now_s
    if expected_wait_s <= max(0.0, wait_max_s):
        return None
    return Refusal(
        "expected wait exceeds the time left",
        retry_delay_s(expected_wait_s, left_s, jitter),
    )


def retry_delay_s(expected_wait_s: float, left_s: float, jitter: float) -> float:
    """Return the time after which a caller should retry.

    A burst lasts longer than the wait that it causes, so retries are spread over the
    later part of the time in which they are possible.

    Examples
    --------
    >>> retry_delay_s(0.4, 9.0, 0.0)
    1.5
    >>> retry_delay_s(0.4, 9.0, 1.0)
    3.0
    """
    delay_max_s = left_s * RETRY_DELAY_FRACTION_MAX
    delay_s = delay_max_s * (1.0 - JITTER_FRACTION * (1.0 - jitter))
    delay_s = max(RETRY_DELAY_MIN_S, min(expected_wait_s, delay_max_s), delay_s)
    return math.floor(delay_s * 1000.0) / 1000.0
