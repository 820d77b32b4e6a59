"""What a service can take while its servers state limits."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.placement import (
    ServerState,
    capacity_within_limits,
    limits_allow_in_s,
)

NOW_S = 10.0


@pytest.fixture
def make_limited(
    make_state: Callable[..., ServerState],
) -> Callable[..., list[ServerState]]:
    def make(limits: list[float | None]) -> list[ServerState]:
        states = [make_state(f"s-{i}") for i in range(len(limits))]
        for state, per_s in zip(states, limits, strict=True):
            state.limit.hear(per_s, 0.0, 0.0)
            state.limit.set_share(1.0, 0.0)
        return states

    return make


class TestExpectedWait:
    @pytest.mark.parametrize(
        ("limits", "queued", "expected_s"),
        [
            ([None, 2.0], 50, 0.0),
            ([], 50, 0.0),
            ([2.0, 3.0], 0, 0.0),
            ([2.0, 3.0], 9, 2.0),
        ],
        ids=["one-without", "no-server", "nobody-waits", "queue"],
    )
    def test_wait_while_all_servers_state_limits(
        self,
        make_limited: Callable[..., list[ServerState]],
        limits: list[float | None],
        queued: int,
        expected_s: float,
    ) -> None:
        states = make_limited(limits)
        assert limits_allow_in_s(states, queued, NOW_S) == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("limits", "mean_cost_tokens", "expected"),
    [
        ([], 500.0, 9000.0),
        ([None, None, None], 500.0, 9000.0),
        ([None, 2.0, 2.0], 500.0, 5000.0),
        ([2.0, 2.0, 2.0], 500.0, 3000.0),
        ([None, 99.0, 99.0], 500.0, 9000.0),
    ],
)
def test_capacity_that_is_shared_is_what_limits_leave(
    make_limited: Callable[..., list[ServerState]],
    limits: list[float | None],
    mean_cost_tokens: float,
    expected: float,
) -> None:
    states = make_limited(limits)
    assert capacity_within_limits(states, 9000.0, mean_cost_tokens) == expected
