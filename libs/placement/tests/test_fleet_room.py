"""Division of the engines' free capacity between organisations and instances."""

from __future__ import annotations

import math

import pytest

from teaseldyke.placement import (
    CapacityQuota,
    ColdRateLimit,
    FairShares,
    FleetRoom,
    Load,
    ServerState,
)
from teaseldyke.types import AnnouncedServer

SLOTS = 10
RATE_TOKENS_PER_S = 100_000.0
PROMPT_TOKENS = 1000.0
COST_TOKENS = 2000.0
LAG_S = 0.1


def engine(running: int = 0, pending_tokens: float = 0.0) -> ServerState:
    server = AnnouncedServer("e", 1, "model", "h", 1, "a", slots=SLOTS)
    load = Load(pending_tokens, running)
    return ServerState(
        server,
        0.0,
        ColdRateLimit(0.0),
        peer_load=load,
        rate_tokens_per_s=RATE_TOKENS_PER_S,
    )


def measured(*states: ServerState) -> FleetRoom:
    room = FleetRoom()
    room.measure(states, LAG_S, PROMPT_TOKENS, COST_TOKENS, 0.0)
    return room


class TestMeasure:
    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (engine(), 10.0),
            (engine(running=4), 6.0),
            (engine(running=12), 0.0),
            (engine(running=4, pending_tokens=28_000.0), 3.0),
            (engine(running=4, pending_tokens=31_000.0), 0.0),
        ],
        ids=["idle", "half", "overfull", "long-prefill", "too-long-prefill"],
    )
    def test_engine_takes_what_slots_and_prefill_leave(
        self, state: ServerState, expected: float
    ) -> None:
        assert measured(state).free_tokens == pytest.approx(expected * COST_TOKENS)

    def test_engines_that_get_nothing_do_not_count(self) -> None:
        ejected, pausing = engine(), engine()
        ejected.ejected_until_s = 1.0
        pausing.record_pause(1.0, 0.0)
        room = measured(ejected, pausing, engine(running=4))
        assert room.free_tokens == pytest.approx(6.0 * COST_TOKENS)

    def test_ejected_engines_count_once_they_are_used_again(self) -> None:
        """Most fail, so the cause lies elsewhere and all get requests."""
        states = [engine(running=4) for _ in range(3)]
        for state in states[:2]:
            state.ejected_until_s = 1.0
        assert measured(*states).free_tokens == pytest.approx(18.0 * COST_TOKENS)

    def test_own_sends_of_the_round_do_not_shrink_it(self) -> None:
        state = engine(running=4)
        room = measured(state)
        before = room.free_tokens
        state.own_load.running += 2
        room.sends.add("a", COST_TOKENS)
        room.sends.add("a", COST_TOKENS)
        room.measure([state], LAG_S, PROMPT_TOKENS, COST_TOKENS, 0.0)
        assert room.free_tokens == pytest.approx(before)


class TestRound:
    @pytest.mark.parametrize("instances", [1, 5, 80])
    def test_organisation_sends_as_much_from_one_instance_as_from_many(
        self, instances: int
    ) -> None:
        """However often its requests try, over all engines."""
        free_tokens, fraction = 60.0 * COST_TOKENS, 0.5
        sent = 0
        for number in range(instances):
            room = FleetRoom(free_tokens)
            room.start_round((number + 0.5) / instances)
            quota = CapacityQuota("a", 1.0, fraction / instances)
            for _ in range(1000):
                if room.allows_send(quota, COST_TOKENS):
                    room.sends.add("a", COST_TOKENS)
                    sent += 1
        assert sent == pytest.approx(30.0, abs=1.0)

    @pytest.mark.parametrize("cost_tokens", [100.0, 1000.0, 5000.0])
    def test_organisation_sends_as_many_tokens_whatever_its_requests_cost(
        self, cost_tokens: float
    ) -> None:
        instances, free_tokens = 80, 120_000.0
        sent_tokens = 0.0
        for number in range(instances):
            room = FleetRoom(free_tokens)
            room.start_round((number + 0.5) / instances)
            quota = CapacityQuota("a", 1.0, 0.5 / instances)
            while room.allows_send(quota, cost_tokens):
                room.sends.add("a", cost_tokens)
                sent_tokens += cost_tokens
        assert sent_tokens == pytest.approx(60_000.0, abs=cost_tokens)

    def test_new_round_begins_anew(self) -> None:
        room = FleetRoom(COST_TOKENS)
        room.start_round(0.0)
        quota = CapacityQuota("a", 1.0, 0.999)
        room.sends.add("a", COST_TOKENS)
        assert not room.allows_send(quota, COST_TOKENS)
        room.start_round(0.999 - room.sends.rounding_of("a"))
        assert room.allows_send(quota, COST_TOKENS)

    @pytest.mark.parametrize(
        ("room", "quota"),
        [
            (FleetRoom(0.0), CapacityQuota("a")),
            (FleetRoom(math.inf), CapacityQuota("a", 0.1, 0.1)),
        ],
        ids=["nobody-competes", "before-the-first-measure"],
    )
    def test_room_bounds_nothing(self, room: FleetRoom, quota: CapacityQuota) -> None:
        assert room.allows_send(quota, COST_TOKENS)


def test_quota_of_the_fleet_adds_up_to_the_claim_of_an_organisation() -> None:
    """Few requests at each of 40 instances have no advantage in it."""
    at_one = FairShares(tokens_per_s=100.0)
    at_one.peer_queued = {"wide": 2000.0}
    at_one.recompute({"narrow": 2000.0}, 0.0)
    narrow = at_one.quota("narrow", 2000.0, 50, 10, 0.0)
    at_many = FairShares(tokens_per_s=100.0)
    at_many.peer_queued = {"wide": 1950.0, "narrow": 2000.0}
    at_many.recompute({"wide": 50.0}, 0.0)
    wide = at_many.quota("wide", 50.0, 1, 10, 0.0)
    assert narrow.fleet_fraction == pytest.approx(0.5)
    assert 40 * wide.fleet_fraction == pytest.approx(0.5)
    assert 40 * wide.fraction > 1.0
