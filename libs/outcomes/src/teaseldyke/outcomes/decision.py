"""Decides whether a request is retried after a failed attempt."""

from __future__ import annotations

import enum
from functools import singledispatch

import attrs

from teaseldyke.http import AnswerTooLarge, ConnectFailed, ExchangeBroken
from teaseldyke.types import TeaseldykeError

from .errors import FencedOff


class Decision(enum.Enum):
    """Next step after a failed attempt.

    ``RETRY_ELSEWHERE`` sends the request to another backend server, ``RESUME`` asks
    for the rest of a stream from its offset, ``FAIL_NOT_EXECUTED`` and
    ``FAIL_UNKNOWN`` end the request with an error whose ``executed`` is "no" or
    "unknown".
    """

    RETRY_ELSEWHERE = "elsewhere"
    RESUME = "resume"
    FAIL_NOT_EXECUTED = "answer-no"
    FAIL_UNKNOWN = "answer-unknown"


@attrs.frozen
class AttemptState:
    """Conditions of the retry decision, apart from the failure itself.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.
    sent_before : bool
        Whether an earlier attempt of the same request may have been executed.
    answer_started : bool
        Whether part of the answer was already passed on to the caller.
    resumable : bool
        Whether the answer is a stream that can be resumed at an offset.
    may_retry : bool
        Whether the retry budget and the deadline allow another attempt.
    """

    idempotent: bool
    sent_before: bool = False
    answer_started: bool = False
    resumable: bool = False
    may_retry: bool = True


@singledispatch
def retry_decision(failure: object, state: AttemptState) -> Decision:
    """Return the next step after a failed attempt.

    An exception of an unregistered type may mean anything, so the outcome is unknown.

    Parameters
    ----------
    failure : Exception
        Raised by the attempt.
    state : AttemptState
        Properties and progress of the request.

    Examples
    --------
    >>> state = AttemptState(idempotent=False)
    >>> retry_decision(ExchangeBroken("the connection was reset"), state)
    <Decision.FAIL_UNKNOWN: 'answer-unknown'>
    >>> retry_decision(ConnectFailed("connection refused"), state)
    <Decision.RETRY_ELSEWHERE: 'elsewhere'>
    """
    return Decision.FAIL_UNKNOWN


@retry_decision.register
def _(failure: TeaseldykeError, state: AttemptState) -> Decision:
    if failure.executed == "no":
        return _fail(state)
    return Decision.FAIL_UNKNOWN


@retry_decision.register
def _(failure: ConnectFailed, state: AttemptState) -> Decision:
    if state.answer_started:
        return _continue_stream(state)
    if state.may_retry and (state.idempotent or not state.sent_before):
        return Decision.RETRY_ELSEWHERE
    return _fail(state)


@retry_decision.register
def _(failure: FencedOff, state: AttemptState) -> Decision:
    # Refused before execution; a permit with a newer fencing number may be accepted.
    if state.may_retry and (state.idempotent or not state.sent_before):
        return Decision.RETRY_ELSEWHERE
    return _fail(state)


@retry_decision.register
def _(failure: ExchangeBroken, state: AttemptState) -> Decision:
    if not state.idempotent:
        return Decision.FAIL_UNKNOWN
    if state.answer_started:
        return _continue_stream(state)
    return Decision.RETRY_ELSEWHERE if state.may_retry else Decision.FAIL_UNKNOWN


@retry_decision.register
def _(failure: AnswerTooLarge, state: AttemptState) -> Decision:
    # Another backend server would send an answer of the same size.
    return Decision.FAIL_UNKNOWN


def _continue_stream(state: AttemptState) -> Decision:
    if state.idempotent and state.resumable and state.may_retry:
        return Decision.RESUME
    return Decision.FAIL_UNKNOWN


def _fail(state: AttemptState) -> Decision:
    return Decision.FAIL_UNKNOWN if state.sent_before else Decision.FAIL_NOT_EXECUTED
