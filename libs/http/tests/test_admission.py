from __future__ import annotations

import math

import pytest

from teaseldyke.http import admission as module
from teaseldyke.http.admission import (
    OVERLOAD_S,
    WINDOW_S,
    Admission,
    Decision,
    RecentRequests,
)

BEGIN_S = 0.03
WAIT_S = 0.1


class Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class Passes:
    elapsed_s = 0.0


@pytest.fixture
def passes(monkeypatch: pytest.MonkeyPatch) -> Passes:
    passes = Passes()
    monkeypatch.setattr(module, "scheduler_passes", lambda: passes)
    return passes


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(module, "boot_time_s", clock)
    return clock


@pytest.mark.parametrize(
    ("elapsed_s", "unread_s", "expected"),
    [
        (0.0, 0.0, Decision.ADMIT),
        (0.0, 5.0, Decision.ADMIT),  # after a stall of an idle process
        (0.04, 0.0, Decision.DEFER),
        (0.04, 0.09, Decision.DEFER),
        (0.04, 0.11, Decision.REFUSE),
    ],
)
def test_decision_on_a_request(
    passes: Passes, clock: Clock, elapsed_s: float, unread_s: float, expected: Decision
) -> None:
    admission = Admission(BEGIN_S, WAIT_S)
    passes.elapsed_s = elapsed_s
    assert admission.decide(clock.now_s - unread_s, "a") is expected
    refused_at_s = clock.now_s if expected is Decision.REFUSE else -math.inf
    assert admission.refused_at_s == refused_at_s
    assert admission.take_refused() == (expected is Decision.REFUSE)
    assert admission.take_refused() == 0


def test_nobody_waits_after_one_has_waited_too_long(
    passes: Passes, clock: Clock
) -> None:
    admission = Admission(BEGIN_S, WAIT_S)
    passes.elapsed_s = 0.04
    admission.decide(clock.now_s - 1.0, "a")
    clock.now_s += 0.9 * OVERLOAD_S
    assert admission.decide(clock.now_s, "a") is Decision.REFUSE
    clock.now_s += 0.2 * OVERLOAD_S
    assert admission.decide(clock.now_s, "a") is Decision.DEFER


def test_without_bounds_all_begin(passes: Passes, clock: Clock) -> None:
    passes.elapsed_s = 100.0
    assert Admission().decide(0.0, "a") is Decision.ADMIT


@pytest.mark.parametrize(
    ("elapsed_s", "caller", "expected"),
    [
        (0.04, "flood", Decision.REFUSE),
        (0.04, "light", Decision.ADMIT),
        (0.07, "light", Decision.DEFER),
    ],
)
def test_flooding_caller_is_refused_before_the_others(
    passes: Passes, clock: Clock, elapsed_s: float, caller: str, expected: Decision
) -> None:
    admission = Admission(BEGIN_S, WAIT_S)
    for number in range(100):
        admission.recent.count("light" if number % 20 == 0 else "flood", clock.now_s)
    passes.elapsed_s = 0.04
    admission.decide(clock.now_s - 1.0, "flood")
    passes.elapsed_s = elapsed_s
    assert admission.decide(clock.now_s, caller) is expected


def test_what_callers_asked_is_forgotten(clock: Clock) -> None:
    asked = RecentRequests()
    for caller in ("flood", "flood", "light"):
        asked.count(caller, clock.now_s)
    assert not asked.is_below_mean("flood")
    assert asked.is_below_mean("light")
    asked.count("light", clock.now_s + WINDOW_S)
    assert asked.callers == 2
    asked.count("light", clock.now_s + 4 * WINDOW_S)
    assert asked.callers == 1
