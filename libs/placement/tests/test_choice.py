from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

import attrs
import pytest

from teaseldyke.placement import (
    Load,
    ServerState,
    Standing,
    Work,
    choose_engine,
    choose_plain,
    rendezvous_weight,
    shortlist,
)
from teaseldyke.types import ServiceDescription

MakeState = Callable[..., ServerState]
MakeWork = Callable[..., Work]


def affinity_first(states: list[ServerState], work: Work) -> list[ServerState]:
    return sorted(
        states,
        key=lambda state: rendezvous_weight(work.prefix_key, state.server.id),
        reverse=True,
    )


class TestChooseEngine:
    @pytest.mark.parametrize(
        ("pending_tokens", "on_time_s", "stays"),
        [
            (0.0, 1.0, True),
            (40_000.0, 1.0, True),
            (75_000.0, 1.0, False),
            (40_000.0, 0.3, False),
        ],
        ids=["idle", "waits-on-time", "would-be-late", "short-aim"],
    )
    def test_shared_prefix_stays_with_its_engine_until_late(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        pending_tokens: float,
        on_time_s: float,
        stays: bool,
    ) -> None:
        """A hot prefix: its engine has queued prefill and the others are idle."""
        work = make_work(on_time_s=on_time_s)
        states = [make_state(name) for name in "abcde"]
        affinity_engine, *_ = affinity_first(states, work)
        affinity_engine.peer_load.pending_tokens = pending_tokens
        chosen = choose_engine(states, engines, work, 0.0).state
        assert (chosen is affinity_engine) is stays

    def test_prefix_is_copied_from_a_busy_affinity_engine(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        """A hot prefix where engines copy memory: its engine has queued prefill."""
        copying = attrs.evolve(
            engines, token_bytes=18_432.0, memory_link_bytes_per_s=68.75e9
        )
        work = make_work(on_time_s=0.5)
        affinity_engine, other = affinity_first(
            [make_state("a"), make_state("b")], work
        )
        assert (
            choose_engine([affinity_engine, other], copying, work, 0.0).copy_from
            is None
        )
        affinity_engine.peer_load.pending_tokens = 60_000.0
        choice = choose_engine([affinity_engine, other], copying, work, 0.0)
        assert (choice.state, choice.copy_from) == (other, affinity_engine)
        assert choice.uncached_tokens == work.prompt_tokens - work.shared_tokens

    def test_instances_that_see_the_same_loads_spread_a_burst(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        """A burst on a large pool of which all instances know the same loads."""
        states = [make_state(f"engine-{i}") for i in range(60)]
        work = make_work(on_time_s=0.5, parts=())
        affinity_engines = affinity_first(states, work)[:2]
        for rank, state in enumerate(states):
            state.peer_load.pending_tokens = (
                60_000.0 if state in affinity_engines else float(rank)
            )
        chosen = {
            state.server.id
            for _ in range(60)
            if (state := choose_engine(states, engines, work, 0.0).state)
        }
        assert len(chosen) >= 10

    def test_all_instances_choose_the_same_affinity_engine(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        work = make_work()
        names = set()
        for _ in range(7):
            choice = choose_engine(
                [make_state(name) for name in "edcba"], engines, work, 0.0
            )
            assert choice.state is not None
            names.add(choice.state.server.id)
        assert len(names) == 1

    def test_burst_fills_engines_evenly(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        """Two hundred requests with different prefixes arrive at once."""
        states = [make_state(name) for name in "abcde"]
        for i in range(200):
            work = make_work(parts=((f"subject-{i}", 500),), own_tokens=500)
            choice = choose_engine(states, engines, work, 0.0)
            if choice.state is None:
                continue
            choice.state.own_load.running += 1
            choice.state.own_load.pending_tokens += choice.uncached_tokens
        running = [state.running for state in states]
        assert sum(running) > 100
        assert max(running) <= 1.5 * min(running)

    @pytest.mark.parametrize("condition", ["slots", "memory"])
    def test_full_engine_is_awaited_only_for_its_cached_prefix(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        condition: str,
    ) -> None:
        """The engine with the cached prefix has no free slots or memory."""
        work = make_work()
        affinity_engine, other = affinity_first(
            [make_state("a"), make_state("b")], work
        )
        if condition == "slots":
            affinity_engine.peer_load.running = 63
        if condition == "memory":
            affinity_engine.peer_load.running = 5
            affinity_engine.peer_load.memory_tokens = 590_000
        choice = choose_engine([affinity_engine, other], engines, work, 0.0)
        assert choice.state is None
        assert choice.awaited_server is affinity_engine
        small = make_work(parts=(("subject", 50),), own_tokens=500)
        for state in (affinity_engine, other):
            assert choose_engine([state], engines, small, 0.0).state is (
                None if state is affinity_engine else other
            )

    def test_backlog_of_an_engine_adds_to_its_cost(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        """A hot prefix: the queue for its engine is slower than a prefill elsewhere."""
        work = make_work()
        affinity_engine, other = affinity_first(
            [make_state("a"), make_state("b")], work
        )
        affinity_engine.peer_load.running = 63
        affinity_engine.backlog_tokens = 100_000.0
        assert (
            choose_engine([affinity_engine, other], engines, work, 0.0).state is other
        )

    @pytest.mark.parametrize("condition", ["out", "cold"])
    def test_ejected_or_cold_engine_is_skipped(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        condition: str,
    ) -> None:
        work = make_work()
        affinity_engine, other = affinity_first(
            [make_state("a"), make_state("b")], work
        )
        if condition == "out":
            affinity_engine.ejected_until_s = 5.0
        if condition == "cold":
            affinity_engine.cold_until_s = 5.0
        choice = choose_engine(
            [affinity_engine, other],
            engines,
            work,
            1.0,
            may_use_cold=lambda state: False,
        )
        assert choice.state is other

    @pytest.mark.parametrize(
        "load",
        [Load(20_000.0, 1, 1000.0), Load(0.0, 58, 1000.0), Load(0.0, 5, 505_000.0)],
        ids=["queue", "slots", "memory"],
    )
    def test_organisation_over_its_share_leaves_capacity_to_others(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        load: Load,
    ) -> None:
        """One organisation fills the engines while others have queued requests."""
        state = make_state("a")
        state.peer_load = load
        work = make_work()
        over = choose_engine([state], engines, work, 0.0, standing=Standing.OVER)
        assert over.state is None
        assert choose_engine([state], engines, work, 0.0).state is state

    @pytest.mark.parametrize(
        ("standing", "now_s", "leaves"),
        [
            (Standing.FAIR, 1.5, False),
            (Standing.UNDER, 0.5, False),
            (Standing.UNDER, 1.5, True),
        ],
    )
    def test_organisation_under_its_share_does_not_wait_past_the_target(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        standing: Standing,
        now_s: float,
        leaves: bool,
    ) -> None:
        """A hot prefix whose engine another organisation keeps full."""
        work = make_work(on_time_s=1.0)
        affinity_engine, other = affinity_first(
            [make_state("a"), make_state("b")], work
        )
        affinity_engine.peer_load.running = 64
        states = [affinity_engine, other]
        choice = choose_engine(states, engines, work, now_s, standing=standing)
        assert (choice.state is other) is leaves
        assert leaves or choice.awaited_server is affinity_engine

    @pytest.mark.parametrize(
        ("lag_s", "running", "pending_tokens", "has_capacity"),
        [
            (0.0, 61, 0.0, False),
            (0.4, 61, 0.0, True),
            (0.4, 73, 0.0, False),
            (0.0, 0, 25_000.0, False),
            (0.4, 0, 25_000.0, True),
            (0.4, 0, 65_000.0, False),
        ],
        ids=["full", "turns-over", "overfull", "reads", "reads-on", "reads-for-long"],
    )
    def test_engine_does_not_idle_until_others_know_of_free_capacity(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        lag_s: float,
        running: int,
        pending_tokens: float,
        has_capacity: bool,
    ) -> None:
        state = make_state("a")
        state.peer_load = Load(pending_tokens, running)
        work = make_work(parts=(), own_tokens=500)
        choice = choose_engine([state], engines, work, 0.0, lag_s=lag_s)
        assert (choice.state is state) is has_capacity

    def test_avoided_engines_are_not_chosen_again(
        self, make_state: MakeState, make_work: MakeWork, engines: ServiceDescription
    ) -> None:
        choice = choose_engine(
            [make_state("a")], engines, make_work(), 0.0, avoid=frozenset({"a"})
        )
        assert choice.state is None


class TestChoosePlain:
    def test_least_loaded_first(
        self, make_state: MakeState, make_work: MakeWork
    ) -> None:
        busy, idle = make_state("a", slots=6), make_state("b", slots=6)
        busy.peer_load.running = 7
        choice = choose_plain([busy, idle], 0.0, failure_domain="a")
        assert choice.state is idle

    def test_server_of_the_same_failure_domain_wins_a_tie(
        self, make_state: MakeState
    ) -> None:
        far, near = make_state("x", failure_domain="b"), make_state("y")
        assert choose_plain([far, near], 0.0, failure_domain="a").state is near


class TestShortlist:
    @pytest.mark.parametrize(
        ("pool", "compared_max"), [(1, 1), (24, 24), (25, 14), (70, 14)]
    )
    def test_large_pool_is_sampled(
        self, make_state: MakeState, pool: int, compared_max: int
    ) -> None:
        states = [make_state(f"engine-{i}") for i in range(pool)]
        compared = shortlist(states, states[-2:])
        assert len(compared) <= compared_max
        assert len({state.server.id for state in compared}) == len(compared)
        assert set(states[-2:]) <= set(compared)

    def test_unavailable_affinity_engine_is_not_compared(
        self, make_state: MakeState
    ) -> None:
        states = [make_state(f"engine-{i}") for i in range(40)]
        assert states[0] not in shortlist(states[1:], states[:2])

    def test_affinity_engines_are_spread_evenly(self) -> None:
        names = [f"engine-{i}" for i in range(20)]
        affinity_engines = [
            max(names, key=partial(rendezvous_weight, f"key-{i}"))
            for i in range(20_000)
        ]
        counts = Counter(affinity_engines)
        # Five standard deviations of a uniform choice.
        assert min(counts.values()) > 1000 - 5 * 31
        assert max(counts.values()) < 1000 + 5 * 31


@pytest.mark.parametrize(
    "statement", ["pause", "leaving"], ids=["asked-for-a-pause", "said-it-leaves"]
)
class TestStatements:
    def test_cached_prompt_is_no_reason_to_go_back(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        engines: ServiceDescription,
        statement: str,
    ) -> None:
        states = [make_state("a"), make_state("b")]
        work = make_work()
        out = states[0]
        out.record_prompt(work, 0.0)
        assert choose_engine(states, engines, work, 0.0).state is out
        if statement == "pause":
            out.record_pause(1.0, 0.0)
        else:
            out.said_leaving = True
        choice = choose_engine(states, engines, work, 0.5)
        assert choice.state is states[1]
        assert choice.awaited_server is None

    def test_plain_server_is_not_chosen(
        self, make_state: MakeState, statement: str
    ) -> None:
        states = [make_state("a"), make_state("b")]
        if statement == "pause":
            states[0].record_pause(1.0, 0.0)
        else:
            states[0].said_leaving = True
        assert choose_plain(states, 0.5, failure_domain="a").state is states[1]
        only = choose_plain(states[:1], 0.5, failure_domain="a")
        assert only.state is None
