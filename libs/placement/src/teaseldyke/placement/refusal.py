"""Whether a request is turned away, and when its caller may come back.

Load pattern: a burst of more than the engines produce (`burst`, `hot_tenant`), which
ends after seconds. Replayed in ``tests/test_refusal.py``.
"""

from __future__ import annotations

import math

import attrs

from .work import Work

WAIT_PART_MAX = 0.5  # of the time to the first event, for callers that came back
TOKEN_S = 0.012  # for one generated token at a full batch
RETURN_PART_MAX = 1 / 3  # callers come back within this part of the time they have
RETURN_MIN_S = 0.1  # a shorter pause meets the same load
SPREAD = 0.5  # part of the pause by which returns are spread


@attrs.frozen
class Refusal:
    """A request that is turned away before it was sent.

    Parameters
    ----------
    reason : str
        For logs and the answer.
    retry_after_s : float
        When the caller should come back.
    """

    reason: str
    retry_after_s: float


def service_time_s(work: Work) -> float:
    """Return how long an engine generates for a request, without its waiting."""
    return work.output_tokens * TOKEN_S


def check_admission(
    work: Work, expected_wait_s: float, now_s: float, spread: float
) -> Refusal | None:
    """Return the refusal of a request that can't be served in time, if it can't.

    Beyond what the engines produce, each request that is served late takes the place
    of one that would be on time. Who is refused is told at once and comes back when
    the burst may be over; who came back may wait longer and is not told so again.

    Parameters
    ----------
    expected_wait_s : float
        Until the request would be sent.
    spread : float
        Drawn from 0 to 1; spreads the returns.
    """
    left_s = work.deadline_at_s - now_s
    if left_s <= 0.0:
        return Refusal("deadline passed", RETURN_MIN_S)
    if work.resubmitted:
        longest_s = WAIT_PART_MAX * (work.caller_timeout_at_s - now_s)
    else:
        longest_s = work.on_time_until_s - now_s
    if expected_wait_s <= max(0.0, longest_s):
        return None
    return Refusal(
        "expected wait exceeds the time left",
        retry_delay_s(expected_wait_s, left_s, spread),
    )


def retry_delay_s(expected_wait_s: float, left_s: float, spread: float) -> float:
    """Return when a caller should come back.

    A burst lasts longer than the wait that it causes, so callers are spread over the
    later part of the time in which they may come back.

    Examples
    --------
    >>> retry_delay_s(0.4, 9.0, 0.0)
    1.5
    >>> retry_delay_s(0.4, 9.0, 1.0)
    3.0
    """
    longest_s = left_s * RETURN_PART_MAX
    pause_s = longest_s * (1.0 - SPREAD * (1.0 - spread))
    pause_s = max(RETURN_MIN_S, min(expected_wait_s, longest_s), pause_s)
    return math.floor(pause_s * 1000.0) / 1000.0
