"""Detects refusals by backend servers that check fencing numbers."""

from __future__ import annotations

import json

from .errors import FencedOff

REFUSAL_STATUS = 409
REFUSAL_CODE = "old_fencing_number"
REFUSAL_BODY_MAX_BYTES = 4096  # a larger body comes from the service itself


def is_refusal_candidate(status: int) -> bool:
    """Return whether the body must be passed to `raise_if_fenced_off`."""
    return status == REFUSAL_STATUS


def raise_if_fenced_off(status: int, body: bytes) -> None:
    """Raise if an answer refuses the request because of an old fencing number.

    Only for services with ``checks_fencing`` set: their backend servers refuse before
    executing anything, with status 409 and a problem body whose ``code`` is
    ``old_fencing_number``.

    Raises
    ------
    FencedOff
        If the request was refused, and therefore not executed.

    Examples
    --------
    >>> raise_if_fenced_off(200, b"{}")
    >>> raise_if_fenced_off(409, b'{"code": "old_fencing_number"}')
    Traceback (most recent call last):
    ...
    teaseldyke.outcomes.errors.FencedOff: the backend server has seen a newer ...
    """
    if not is_refusal_candidate(status) or len(body) > REFUSAL_BODY_MAX_BYTES:
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
