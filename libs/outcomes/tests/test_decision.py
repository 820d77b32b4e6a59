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
        (CONNECT, AttemptState(True), Decision.ELSEWHERE),
        (CONNECT, AttemptState(False), Decision.ELSEWHERE),
        (CONNECT, AttemptState(False, may_retry=False), Decision.ANSWER_NO),
        (CONNECT, AttemptState(False, sent_before=True), Decision.ANSWER_UNKNOWN),
        (CONNECT, AttemptState(True, sent_before=True), Decision.ELSEWHERE),
        (
            CONNECT,
            AttemptState(True, sent_before=True, may_retry=False),
            Decision.ANSWER_UNKNOWN,
        ),
        (BROKEN, AttemptState(True), Decision.ELSEWHERE),
        (BROKEN, AttemptState(True, may_retry=False), Decision.ANSWER_UNKNOWN),
        (BROKEN, AttemptState(False), Decision.ANSWER_UNKNOWN),
        (CROSSED, AttemptState(False), Decision.ANSWER_UNKNOWN),
        (CROSSED, AttemptState(True), Decision.ELSEWHERE),
        (BROKEN, AttemptState(True, answer_started=True), Decision.ANSWER_UNKNOWN),
        (
            BROKEN,
            AttemptState(True, answer_started=True, resumable=True),
            Decision.RESUME,
        ),
        (
            BROKEN,
            AttemptState(False, answer_started=True, resumable=True),
            Decision.ANSWER_UNKNOWN,
        ),
        (LARGE, AttemptState(True), Decision.ANSWER_UNKNOWN),
        (LAPSED, AttemptState(False), Decision.ANSWER_NO),
        (LAPSED, AttemptState(False, sent_before=True), Decision.ANSWER_UNKNOWN),
        (FENCED, AttemptState(False), Decision.ELSEWHERE),
        (FENCED, AttemptState(False, may_retry=False), Decision.ANSWER_NO),
        (FENCED, AttemptState(False, sent_before=True), Decision.ANSWER_UNKNOWN),
        (ValueError("bug"), AttemptState(False), Decision.ANSWER_UNKNOWN),
    ],
)
def test_a_failed_attempt_is_followed_by(
    failure: Exception, state: AttemptState, expected: Decision
) -> None:
    assert retry_decision(failure, state) is expected
