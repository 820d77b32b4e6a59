from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.placement import Work, check_admission, retry_delay_s

MakeWork = Callable[..., Work]


@pytest.mark.parametrize(
    ("expected_wait_s", "now_s", "refused"),
    [(0.0, 0.0, False), (0.9, 0.0, False), (1.1, 0.0, True), (0.0, 11.0, True)],
    ids=["no-wait", "on-time", "late", "deadline-passed"],
)
def test_a_burst_is_refused_beyond_what_can_be_on_time(
    make_work: MakeWork, expected_wait_s: float, now_s: float, refused: bool
) -> None:
    work = make_work(on_time_s=1.0, deadline_s=10.0)
    refusal = check_admission(work, expected_wait_s, now_s, 0.5)
    assert (refusal is not None) is refused


def test_nobody_is_refused_where_nothing_waits(make_work: MakeWork) -> None:
    """A stream that broke after its target time goes on elsewhere."""
    work = make_work(on_time_s=1.0, deadline_s=10.0)
    assert check_admission(work, 0.0, 5.0, 0.5) is None


@pytest.mark.parametrize(("expected_wait_s", "refused"), [(4.0, False), (6.0, True)])
def test_who_came_back_may_wait_longer(
    make_work: MakeWork, expected_wait_s: float, refused: bool
) -> None:
    work = attrs.evolve(make_work(deadline_s=10.0), resubmitted=True)
    assert (check_admission(work, expected_wait_s, 0.0, 0.5) is not None) is refused


@pytest.mark.parametrize("left_s", [0.5, 3.0, 12.0])
@pytest.mark.parametrize("expected_wait_s", [0.0, 1.0, 100.0])
def test_callers_come_back_while_they_still_have_time(
    expected_wait_s: float, left_s: float
) -> None:
    for spread in (0.0, 0.5, 1.0):
        pause_s = retry_delay_s(expected_wait_s, left_s, spread)
        assert 0.1 <= pause_s <= max(0.1, left_s / 3)


def test_returns_are_spread() -> None:
    pauses = {retry_delay_s(1.0, 12.0, i / 10) for i in range(10)}
    assert len(pauses) == 10
    assert max(pauses) / min(pauses) > 1.4
