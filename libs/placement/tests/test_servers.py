from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from teaseldyke.placement import (
    CapacityQuota,
    Load,
    RoundSends,
    ServerState,
    Work,
    next_accepting_in_s,
    usable,
)
from teaseldyke.placement.servers import PAUSE_MAX_S

MakeState = Callable[..., ServerState]
MakeWork = Callable[..., Work]


class TestFailures:
    @pytest.mark.parametrize(
        ("failing_of_ten", "ejected"),
        [(0, False), (1, False), (9, True)],
        ids=["sound", "errs-now-and-then", "grey"],
    )
    def test_server_with_many_failures_is_ejected(
        self, make_state: MakeState, failing_of_ten: int, ejected: bool
    ) -> None:
        state = make_state("a")
        ever_ejected = False
        for i in range(60):
            ever_ejected |= state.record_outcome(i % 10 < failing_of_ten, float(i))
        assert ever_ejected is ejected

    def test_ejection_ends(self, make_state: MakeState) -> None:
        state = make_state("a")
        for _ in range(10):
            state.record_outcome(True, 0.0)
        assert state.is_ejected(1.0)
        assert not state.is_ejected(3.0)

    def test_replaced_server_is_ejected_until_its_entry_expires(
        self, make_state: MakeState
    ) -> None:
        states = [make_state(name) for name in "abc"]
        states[0].mark_replaced(10.0)
        states[0].record_outcome(False, 10.1)
        assert usable(states, 14.9) == states[1:]
        assert usable(states, 15.1) == states

    def test_all_servers_are_usable_when_most_fail(self, make_state: MakeState) -> None:
        states = [make_state(name) for name in "abc"]
        for state in states[:2]:
            state.ejected_until_s = 10.0
        assert usable(states, 1.0) == states
        states[1].ejected_until_s = 0.0
        assert usable(states, 1.0) == states[1:]


UNSHIFTED = ""  # organisation whose rounding equals the random number


class TestCapacityOfManyInstances:
    """Each instance uses its quota of a round before it knows of the others' sends."""

    @pytest.mark.parametrize("instances", [1, 7, 20, 70])
    @pytest.mark.parametrize("free", [0, 1, 5, 12])
    def test_free_slots_are_used_once(
        self, make_state: MakeState, instances: int, free: int
    ) -> None:
        used_slots = 0
        for number in range(instances):
            state = make_state("a", slots=12)
            state.peer_load = Load(running=12 - free)
            state.round_sends = RoundSends(rounding=(number + 0.5) / instances)
            while state.has_free_slot(12.0, CapacityQuota(UNSHIFTED, 1.0 / instances)):
                state.own_load.running += 1
                state.round_sends.add(UNSHIFTED, 0.0)
                used_slots += 1
        assert used_slots == free

    @pytest.mark.parametrize("instances", [1, 7, 70])
    def test_prefill_limit_is_exceeded_by_at_most_one_prompt(
        self, make_state: MakeState, instances: int
    ) -> None:
        limit_tokens, prompt_tokens = 20_000.0, 6_000.0
        prefill_tokens = 0.0
        quota = CapacityQuota(UNSHIFTED, 1.0 / instances)
        for number in range(instances):
            state = make_state("a")
            state.round_sends = RoundSends(rounding=(number + 0.5) / instances)
            while state.has_prefill_capacity(limit_tokens, prompt_tokens, quota):
                state.own_load.pending_tokens += prompt_tokens
                state.round_sends.add(UNSHIFTED, prompt_tokens)
                prefill_tokens += prompt_tokens
        assert limit_tokens - prompt_tokens <= prefill_tokens
        assert prefill_tokens <= limit_tokens + prompt_tokens

    def test_full_server_has_no_free_slot_in_any_round(
        self, make_state: MakeState
    ) -> None:
        state = make_state("a", slots=12)
        state.peer_load = Load(running=12, pending_tokens=50_000.0)
        state.round_sends = RoundSends(rounding=0.999)
        quota = CapacityQuota(UNSHIFTED, 0.5)
        assert not state.has_free_slot(12.0, quota)
        assert not state.has_prefill_capacity(40_000.0, 10.0, quota)

    def test_organisations_at_one_instance_have_separate_quotas(
        self, make_state: MakeState
    ) -> None:
        state = make_state("a", slots=12)
        for _ in range(6):
            state.own_load.running += 1
            state.round_sends.add("first", 0.0)
        assert not state.has_free_slot(12.0, CapacityQuota("first", 0.4))
        assert state.has_free_slot(12.0, CapacityQuota("second", 0.4))


class TestCachedTokens:
    @pytest.mark.parametrize(
        ("known", "has_affinity", "expected"),
        [
            ((), False, 0),
            ((), True, 5500),
            (("system",), False, 500),
            (("subject",), False, 0),
            (("system", "subject"), False, 5500),
        ],
        ids=["unknown", "home", "system-part", "gap-in-the-chain", "both"],
    )
    def test_only_an_unbroken_prefix_counts(
        self,
        make_state: MakeState,
        make_work: MakeWork,
        known: tuple[str, ...],
        has_affinity: bool,
        expected: int,
    ) -> None:
        state = make_state("a")
        for part in known:
            state.cached_parts[part] = 0.0
        assert state.cached_tokens(make_work(), has_affinity, 1.0) == expected

    def test_unused_parts_expire(
        self, make_state: MakeState, make_work: MakeWork
    ) -> None:
        state = make_state("a")
        work = make_work()
        state.record_prompt(work, 0.0)
        assert state.cached_tokens(work, False, 1.0) > 0
        assert state.cached_tokens(work, False, 60.0) == 0


class TestStatements:
    @pytest.mark.parametrize(
        ("pauses_s", "leaving", "expected_s"),
        [
            ((), (), 0.0),
            ((0.0, 2.0), (False, False), 0.0),
            ((1.0, 2.0), (False, False), 1.0),
            ((1.0, 2.0), (True, False), 2.0),
            ((1.0, 0.0), (False, True), 1.0),
            ((0.0, 0.0), (True, True), math.inf),
            ((1e30, 1e30), (False, False), PAUSE_MAX_S),
        ],
    )
    def test_time_until_a_server_accepts_requests(
        self,
        make_state: MakeState,
        pauses_s: tuple[float, ...],
        leaving: tuple[bool, ...],
        expected_s: float,
    ) -> None:
        states = [make_state(str(i)) for i in range(len(pauses_s))]
        for state, pause_s, said_leaving in zip(states, pauses_s, leaving, strict=True):
            state.record_pause(pause_s, 10.0)
            state.said_leaving = said_leaving
        assert next_accepting_in_s(states, 10.0) == expected_s

    def test_shorter_pause_does_not_end_a_longer_one(
        self, make_state: MakeState
    ) -> None:
        state = make_state("a")
        state.record_pause(3.0, 10.0)
        state.record_pause(0.1, 10.5)
        assert not state.accepts_requests(12.9)
        assert state.accepts_requests(13.0)
