"""Second servers for requests whose server is silent: one stream, or all of them."""

from __future__ import annotations

import pytest

from teaseldyke.placement import (
    ServerActivity,
    Silence,
    engine_patience,
    plain_patience,
)

STREAMS = 16
DRAWS = [(i + 0.5) / STREAMS for i in range(STREAMS)]


def due_at(
    now_s: float,
    received_at_s: float,
    running: int = STREAMS,
    active_since_s: float = -9.0,
) -> int:
    """Return how many of the streams that were silent since 0 s are due."""
    activity = ServerActivity(received_at_s, active_since_s)
    silences = [Silence(0.0, 1.0, 0.6, draw, running) for draw in DRAWS]
    return sum(silence.is_due(now_s, activity) for silence in silences)


@pytest.mark.parametrize("received_at_s", [0.0, 0.99])
def test_no_request_is_due_before_its_patience_ends(received_at_s: float) -> None:
    assert due_at(0.99, received_at_s) == 0


def test_stream_that_is_silent_alone_is_due_at_once() -> None:
    """Its engine goes on with others, so it doesn't pause."""
    assert due_at(1.01, received_at_s=0.97) == STREAMS


@pytest.mark.parametrize(
    ("now_s", "least", "most"),
    [(1.01, 1, 2), (1.2, 2, 2), (1.3, 4, 4), (1.5, 11, 11), (1.6, 16, 16)],
)
def test_streams_of_a_paused_engine_become_due_one_after_another(
    now_s: float, least: int, most: int
) -> None:
    """All at once were sixteen prefills elsewhere for a pause of a second."""
    assert least <= due_at(now_s, received_at_s=0.1) <= most


def test_engine_that_has_just_gone_on_is_given_time_to_go_on_with_all() -> None:
    """Its first stream was heard, and all others were sent elsewhere at once."""
    activity = ServerActivity()
    for at_s in (8.0, 8.1, 9.35):
        activity.record(at_s)
    assert due_at(1.36, 1.35, active_since_s=1.35) == due_at(1.36, 0.1)
    assert not activity.is_active_again(9.4, 0.5)
    for at_s in (9.5, 9.7, 9.86):
        activity.record(at_s)
    assert activity.is_active_again(9.87, 0.5)


@pytest.mark.parametrize("running", [1, 2])
def test_few_requests_of_a_silent_server_are_not_put_off(running: int) -> None:
    assert due_at(1.01, received_at_s=0.0, running=running) == STREAMS


@pytest.mark.parametrize(
    ("expected_first_s", "event_gap_s", "first_s", "next_s"),
    [(0.05, 0.1, 1.5, 1.0), (1.0, 0.1, 3.0, 1.0), (0.05, 0.8, 1.5, 1.6)],
)
def test_patience_with_an_engine_grows_with_what_is_expected(
    expected_first_s: float, event_gap_s: float, first_s: float, next_s: float
) -> None:
    patience = engine_patience(expected_first_s, event_gap_s)
    assert (patience.first_s, patience.next_s) == (first_s, next_s)


@pytest.mark.parametrize(("latency_s", "first_s"), [(0.01, 0.25), (0.1, 0.6)])
def test_patience_with_a_plain_server_ends_at_the_header(
    latency_s: float, first_s: float
) -> None:
    patience = plain_patience(latency_s)
    assert patience.first_s == pytest.approx(first_s)
    assert patience.next_s == float("inf")


@pytest.mark.parametrize(
    ("left_s", "expected_first_s", "first", "following"),
    [
        (8.0, 0.05, (1.5, 0.6), (1.0, 0.6)),
        (2.5, 0.05, (1.5, 0.0), (1.0, 0.5)),
        (2.5, 0.6, (1.8, 0.0), (1.0, 0.5)),
        (1.6, 0.05, (1.0, 0.0), (1.0, 0.0)),
        (0.5, 0.05, (1.0, 0.0), (1.0, 0.0)),
        (-0.1, 0.05, (1.0, 0.0), (1.0, 0.0)),
    ],
)
def test_wait_leaves_time_for_a_second_server_but_allows_ordinary_gaps(
    left_s: float,
    expected_first_s: float,
    first: tuple[float, float],
    following: tuple[float, float],
) -> None:
    """Streams of few seconds were due when their time was over."""
    patience = engine_patience(expected_first_s, 0.1)
    assert patience.first_wait(left_s) == pytest.approx(first)
    assert patience.next_wait(left_s) == pytest.approx(following)


def test_wait_for_a_plain_server_is_not_shortened() -> None:
    assert plain_patience(0.1).first_wait(0.5) == pytest.approx((0.6, 0.0))


def test_patience_with_a_plain_servers_stream_ends_between_events() -> None:
    """Such a stream was never sent elsewhere, however long it was silent."""
    patience = plain_patience(0.1, 0.1)
    assert patience.first_wait(8.0) == pytest.approx((0.6, 0.0))
    assert patience.next_wait(8.0) == pytest.approx((1.0, 0.6))
