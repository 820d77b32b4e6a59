"""Refusals of backend servers that check fencing numbers."""

from __future__ import annotations

import json

from .errors import FencedOff

REFUSAL_STATUS = 409
REFUSAL_CODE = "old_fencing_number"
REFUSAL_BODY_BYTES = 4096  # a larger body is an answer of the service itself


def is_refusal_candidate(status: int) -> bool:
    """Return whether the body of an answer has to be looked at."""
    return status == REFUSAL_STATUS


def raise_if_fenced_off(status: int, body: bytes) -> None:
    """Raise when an answer says that the request came with an old fencing number.

    Only for services whose setting says that they check fencing numbers: such a
    backend server refuses before it executes anything, with status 409 and a problem
    whose ``code`` is ``old_fencing_number``.

    Raises
    ------
    FencedOff
        If the request was refused, and so was not executed.

    Examples
    --------
    >>> raise_if_fenced_off(200, b"{}")
    >>> raise_if_fenced_off(409, b'{"code": "old_fencing_number"}')
    Traceback (most recent call last):
    ...
    teaseldyke.outcomes.errors.FencedOff: the backend server has seen a newer ...
    """
    if not is_refusal_candidate(status) or len(body) > REFUSAL_BODY_BYTES:
        return
    try:
        problem = json.loads(body)
    except ValueError:
        return
    if not isinstance(problem, dict) or problem.get("code") != REFUSAL_CODE:
        return
    raise FencedOff(
        "the backend server has seen a newer fencing number; nothing was executed",
        retry_after_s=1.0,
    )
