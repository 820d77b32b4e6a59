"""Choice among servers of which some state a limit on requests a second."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.placement import (
    AwaitedServer,
    ServerState,
    Work,
    capacity_within_limits,
    choose_engine,
    choose_plain,
    limits_allow_in_s,
)
from teaseldyke.types import ServiceDescription

MakeState = Callable[..., ServerState]
MakeWork = Callable[..., Work]

MEAN_COST_TOKENS = 5000.0
NOW_S = 10.0


def limit(
    state: ServerState, per_s: float, share: float = 1.0, at_s: float = 0.0
) -> ServerState:
    state.limit.hear(per_s, at_s, at_s)
    state.limit.set_share(share, at_s)
    return state


def use_up(state: ServerState) -> ServerState:
    while state.limit.allows_send(NOW_S):
        state.limit.record_send(NOW_S)
    return state


@pytest.fixture
def limited(make_state: MakeState) -> ServerState:
    return limit(make_state("e-limited"), 5.0)


@pytest.fixture
def free(make_state: MakeState) -> ServerState:
    return make_state("e-free")


class TestEngines:
    @pytest.mark.parametrize(
        ("own_tokens", "output_tokens", "chosen"),
        [(12_000, 400, "e-limited"), (800, 300, "e-free"), (1_000, 10, "e-free")],
        ids=["long", "query", "tag"],
    )
    def test_limit_goes_to_the_largest_requests(
        self,
        engines: ServiceDescription,
        make_state: MakeState,
        make_work: MakeWork,
        own_tokens: int,
        output_tokens: int,
        chosen: str,
    ) -> None:
        """The other engine has some queued prompts, so that by time alone all choose
        the limited one, whose next request has just become possible."""
        free = make_state("e-free")
        limited = limit(make_state("e-limited"), 5.0, at_s=NOW_S - 0.21)
        free.own_load.pending_tokens = 15_000.0
        work = make_work(parts=(), own_tokens=own_tokens, output_tokens=output_tokens)
        choice = choose_engine(
            [limited, free], engines, work, NOW_S, mean_cost_tokens=MEAN_COST_TOKENS
        )
        assert choice.state is not None
        assert choice.state.server.id == chosen

    def test_small_requests_use_a_limit_that_large_ones_leave(
        self,
        engines: ServiceDescription,
        limited: ServerState,
        free: ServerState,
        make_work: MakeWork,
    ) -> None:
        """It would have gone unused."""
        free.own_load.pending_tokens = 15_000.0
        work = make_work(parts=(), own_tokens=800, output_tokens=300)
        choice = choose_engine(
            [limited, free], engines, work, NOW_S, mean_cost_tokens=MEAN_COST_TOKENS
        )
        assert choice.state is limited

    def test_small_requests_use_a_limit_that_is_left_under_high_load(
        self,
        engines: ServiceDescription,
        limited: ServerState,
        free: ServerState,
        make_work: MakeWork,
    ) -> None:
        free.own_load.pending_tokens = 200_000.0
        work = make_work(parts=(), own_tokens=800, output_tokens=50)
        choice = choose_engine(
            [limited, free], engines, work, NOW_S, mean_cost_tokens=MEAN_COST_TOKENS
        )
        assert choice.state is limited

    def test_used_up_limit_is_waited_for_or_passed_by(
        self,
        engines: ServiceDescription,
        limited: ServerState,
        free: ServerState,
        make_work: MakeWork,
    ) -> None:
        use_up(limited)
        work = make_work()
        assert choose_engine([limited, free], engines, work, NOW_S).state is free
        choice = choose_engine([limited], engines, work, NOW_S)
        assert choice.state is None
        assert choice.awaited_server is limited
        assert choice.reason == "waits for the stated limit of an engine"

    def test_requests_that_wait_for_a_limit_count_for_the_next_ones(
        self, engines: ServiceDescription, limited: ServerState, make_work: MakeWork
    ) -> None:
        use_up(limited)
        first = choose_engine([limited], engines, make_work(), NOW_S)
        awaited = AwaitedServer.from_choice(first)
        assert awaited is not None
        awaited.count_in_backlog(instances=7)
        second = choose_engine([limited], engines, make_work(), NOW_S)
        assert second.first_s >= first.first_s + 1.0 / 5.0

    def test_engine_whose_limit_others_use_is_not_chosen(
        self, engines: ServiceDescription, make_state: MakeState, make_work: MakeWork
    ) -> None:
        closed = limit(make_state("e-closed"), 5.0, share=0.0)
        choice = choose_engine([closed], engines, make_work(), NOW_S)
        assert choice.state is None
        assert choice.awaited_server is None

    @pytest.mark.parametrize(
        ("per_s", "expected"), [(None, 100_000.0), (5.0, 20_000.0), (99.0, 100_000.0)]
    )
    def test_served_rate_includes_the_limit(
        self, make_state: MakeState, per_s: float | None, expected: float
    ) -> None:
        state = make_state("e-1")
        if per_s is not None:
            limit(state, per_s)
        assert state.served_rate(4_000.0) == expected


class TestPlainServers:
    def test_used_up_limit_is_passed_by(self, make_state: MakeState) -> None:
        limited, free = limit(make_state("s-1"), 2.0), make_state("s-2")
        limited.latency_s = 0.01
        assert choose_plain([limited, free], NOW_S, failure_domain="a").state is limited
        use_up(limited)
        assert choose_plain([limited, free], NOW_S, failure_domain="a").state is free
        choice = choose_plain([limited], NOW_S, failure_domain="a")
        assert choice.reason == "waits for the stated limit of a server"


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
        make_state: MakeState,
        limits: list[float | None],
        queued: int,
        expected_s: float,
    ) -> None:
        states = [make_state(f"s-{i}") for i in range(len(limits))]
        for state, per_s in zip(states, limits, strict=True):
            if per_s is not None:
                limit(state, per_s)
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
    make_state: MakeState,
    limits: list[float | None],
    mean_cost_tokens: float,
    expected: float,
) -> None:
    states = [make_state(f"e-{i}") for i in range(len(limits))]
    for state, per_s in zip(states, limits, strict=True):
        if per_s is not None:
            limit(state, per_s)
    assert capacity_within_limits(states, 9000.0, mean_cost_tokens) == expected
