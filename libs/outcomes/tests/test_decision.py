from __future__ import annotations

import pytest

from teaseldyke.http import AnswerTooLarge, ConnectFailed, CrossedAnswer, ExchangeBroken
from teaseldyke.outcomes import (
    AttemptLapsed,
    AttemptState,
    Decision,
    FencedOff,
    retry_decision,
)

CONNECT = ConnectFailed("refused")
BROKEN = ExchangeBroken("reset")
CROSSED = CrossedAnswer("id of another request")
LARGE = AnswerTooLarge("17 MiB")
FENCED = FencedOff("old number")
LAPSED = AttemptLapsed("lease over")


@pytest.mark.promise("at-most-once")
@pytest.mark.parametrize(
    ("failure", "state", "expected"),
    [
        (CONNECT, AttemptState(True), Decision.RETRY_ELSEWHERE),
        (CONNECT, AttemptState(False), Decision.RETRY_ELSEWHERE),
        (CONNECT, AttemptState(False, may_retry=False), Decision.FAIL_NOT_EXECUTED),
        (CONNECT, AttemptState(False, sent_before=True), Decision.FAIL_UNKNOWN),
        (CONNECT, AttemptState(True, sent_before=True), Decision.RETRY_ELSEWHERE),
        (
            CONNECT,
            AttemptState(True, sent_before=True, may_retry=False),
            Decision.FAIL_UNKNOWN,
        ),
        (BROKEN, AttemptState(True), Decision.RETRY_ELSEWHERE),
        (BROKEN, AttemptState(True, may_retry=False), Decision.FAIL_UNKNOWN),
        (BROKEN, AttemptState(False), Decision.FAIL_UNKNOWN),
        (CROSSED, AttemptState(False), Decision.FAIL_UNKNOWN),
        (CROSSED, AttemptState(True), Decision.RETRY_ELSEWHERE),
        (BROKEN, AttemptState(True, answer_started=True), Decision.FAIL_UNKNOWN),
        (
            BROKEN,
            AttemptState(True, answer_started=True, resumable=True),
            Decision.RESUME,
        ),
        (
            BROKEN,
            AttemptState(False, answer_started=True, resumable=True),
            Decision.FAIL_UNKNOWN,
        ),
        (LARGE, AttemptState(True), Decision.FAIL_UNKNOWN),
        (LAPSED, AttemptState(False), Decision.FAIL_NOT_EXECUTED),
        (LAPSED, AttemptState(False, sent_before=True), Decision.FAIL_UNKNOWN),
        (FENCED, AttemptState(False), Decision.RETRY_ELSEWHERE),
        (FENCED, AttemptState(False, may_retry=False), Decision.FAIL_NOT_EXECUTED),
        (FENCED, AttemptState(False, sent_before=True), Decision.FAIL_UNKNOWN),
        (ValueError("bug"), AttemptState(False), Decision.FAIL_UNKNOWN),
    ],
)
def test_retry_decision(
    failure: Exception, state: AttemptState, expected: Decision
) -> None:
    assert retry_decision(failure, state) is expected
