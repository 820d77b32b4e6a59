"""Choice among servers of which some state a limit on requests a second."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.placement import (
    AwaitedServer,
    ServerState,
    Work,
    choose_engine,
    choose_plain,
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
        ("own_tokens", "output_tokens", "unused_s", "queued_tokens", "chosen"),
        [
            (12_000, 400, 0.01, 15_000.0, "e-limited"),
            (800, 300, 0.01, 15_000.0, "e-free"),
            (1_000, 10, 0.01, 15_000.0, "e-free"),
            (800, 300, 9.0, 15_000.0, "e-limited"),
            (800, 50, 0.01, 200_000.0, "e-limited"),
        ],
        ids=["long", "query", "tag", "unused", "high-load"],
    )
    def test_limit_goes_to_the_largest_requests_unless_it_would_go_unused(
        self,
        engines: ServiceDescription,
        make_state: MakeState,
        make_work: MakeWork,
        own_tokens: int,
        output_tokens: int,
        unused_s: float,
        queued_tokens: float,
        chosen: str,
    ) -> None:
        """By time alone all would choose the limited engine."""
        free = make_state("e-free")
        limited = limit(make_state("e-limited"), 5.0, at_s=NOW_S - 0.2 - unused_s)
        free.own_load.pending_tokens = queued_tokens
        work = make_work(parts=(), own_tokens=own_tokens, output_tokens=output_tokens)
        choice = choose_engine(
            [limited, free], engines, work, NOW_S, mean_cost_tokens=MEAN_COST_TOKENS
        )
        assert choice.state is not None
        assert choice.state.server.id == chosen

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
