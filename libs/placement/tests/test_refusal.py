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
def test_requests_that_would_be_late_are_refused(
    make_work: MakeWork, expected_wait_s: float, now_s: float, refused: bool
) -> None:
    work = make_work(on_time_s=1.0, deadline_s=10.0)
    refusal = check_admission(work, expected_wait_s, now_s, 0.5)
    assert (refusal is not None) is refused


def test_no_request_is_refused_without_a_queue(make_work: MakeWork) -> None:
    """A stream that broke after its latency target resumes at another engine."""
    work = make_work(on_time_s=1.0, deadline_s=10.0)
    assert check_admission(work, 0.0, 5.0, 0.5) is None


@pytest.mark.parametrize(("expected_wait_s", "refused"), [(4.0, False), (6.0, True)])
def test_resubmitted_request_may_wait_longer(
    make_work: MakeWork, expected_wait_s: float, refused: bool
) -> None:
    work = attrs.evolve(make_work(deadline_s=10.0), resubmitted=True)
    assert (check_admission(work, expected_wait_s, 0.0, 0.5) is not None) is refused


@pytest.mark.parametrize("left_s", [0.5, 3.0, 12.0])
@pytest.mark.parametrize("expected_wait_s", [0.0, 1.0, 100.0])
def test_retry_delay_leaves_time_before_the_deadline(
    expected_wait_s: float, left_s: float
) -> None:
    for jitter in (0.0, 0.5, 1.0):
        delay_s = retry_delay_s(expected_wait_s, left_s, jitter)
        assert 0.1 <= delay_s <= max(0.1, left_s / 3)


def test_retry_delays_are_spread() -> None:
    delays = {retry_delay_s(1.0, 12.0, i / 10) for i in range(10)}
    assert len(delays) == 10
    assert max(delays) / min(delays) > 1.4
