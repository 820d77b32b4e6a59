"""Placement under each load pattern; the bounds are those of the users' rules."""

from __future__ import annotations

from pathlib import Path

import pytest

from teaseldyke.patterns import (
    LARGE_FLEET_PATTERNS,
    PATTERNS,
    EngineSpec,
    FleetSpec,
    ModelFleet,
    Outcome,
)

FREE_CRASHES_OF_A_REQUEST = 3
KNOWN_S = 1.0  # after a crash, to all instances
FREE_CRASHES = 5  # after them hardly a request with the part may reach an engine
FAIR_SHARE_MIN = 0.5  # smallest `Outcome.least_share`
LIMIT_USED_MIN = 0.9  # of stated limits, while there is demand above them

LARGE_FLEET_DELAY_S = 0.3  # two exchanges of totals in a fleet of 70 to 90 instances


def play(name: str, seed: int = 1) -> Outcome:
    spec = FleetSpec(instances=6, engines=6)
    return ModelFleet(spec, PATTERNS[name], seed).play()


def play_large(name: str, *, uses_fair_shares: bool = True) -> Outcome:
    spec = FleetSpec(
        instances=16,
        engines=8,
        totals_delay_s=LARGE_FLEET_DELAY_S,
        uses_fair_shares=uses_fair_shares,
    )
    return ModelFleet(spec, PATTERNS[name], 1).play()


LARGE_FLEET = FleetSpec(
    instances=44,
    engines=35,
    totals_delay_s=0.4,
    usage_rounds=4,
    engine=EngineSpec(slots=12, prefill_tokens_per_s=81_900.0, step_s=0.00374),
)


class TestPatterns:
    @pytest.mark.parametrize("name", PATTERNS)
    def test_no_organisation_gets_less_than_half(self, name: str) -> None:
        outcome = play(name)
        assert outcome.least_share() >= FAIR_SHARE_MIN
        assert 0.0 < outcome.worth <= outcome.best

    @pytest.mark.parametrize(
        ("uses_fair_shares", "fair"),
        [(False, False), (True, True)],
        ids=["without", "with"],
    )
    def test_capacity_is_reserved_for_underserved_organisation(
        self, uses_fair_shares: bool, fair: bool
    ) -> None:
        """One organisation floods from all instances, another from one."""
        outcome = play_large("narrow-entry", uses_fair_shares=uses_fair_shares)
        assert (outcome.least_share() >= FAIR_SHARE_MIN) is fair

    def test_engine_with_hot_prompt_is_shared(self) -> None:
        """One organisation floods the engines; another sends one hot prompt."""
        assert play("held-engine", seed=2).least_share() >= FAIR_SHARE_MIN

    @pytest.mark.parametrize("name", ["narrow-entry", "narrow-entry-loss"])
    def test_organisation_at_one_instance_is_not_crowded_out(self, name: str) -> None:
        """Another floods from all instances, which receive each other's totals late."""
        assert play_large(name).least_share() >= FAIR_SHARE_MIN

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_crashing_part_stops_reaching_engines(self, seed: int) -> None:
        """Requests that share one part crash each engine that answers them."""
        pattern = PATTERNS["crashing-part"]
        without = ModelFleet(FleetSpec(uses_crash_evidence=False), pattern, seed).play()
        outcome = ModelFleet(FleetSpec(), pattern, seed).play()
        assert without.crashes > FREE_CRASHES
        assert outcome.crashes <= FREE_CRASHES
        assert outcome.worth > without.worth

    @pytest.mark.parametrize(
        "name", ["crashing-requests", "crashing-requests-amid-loss"]
    )
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_requests_that_come_again_stop_reaching_engines(
        self, name: str, seed: int
    ) -> None:
        """Two requests crash engines; sound ones share their prompts' first part."""
        pattern = PATTERNS[name]
        without = ModelFleet(FleetSpec(uses_crash_evidence=False), pattern, seed).play()
        fleet = ModelFleet(FleetSpec(), pattern, seed)
        outcome = fleet.play()
        for times_s in fleet.crash_times_s.values():
            # Copies that are at engines already may crash them, too.
            known_at_s = [*times_s, 0.0, 0.0, 0.0][FREE_CRASHES_OF_A_REQUEST - 1]
            late = [at_s for at_s in times_s[3:] if at_s > known_at_s + KNOWN_S]
            assert not late
        assert outcome.crashes < without.crashes / 2
        assert outcome.worth > without.worth

    def test_seed_determines_the_outcome(self) -> None:
        first, second = play("hot-part", 7), play("hot-part", 7)
        assert first.table() == second.table()
        assert first.table() != play("hot-part", 8).table()

    def test_restarted_engines_raise_the_worth(self) -> None:
        assert play("cold-return").worth > play("engine-loss").worth

    def test_table_and_plot_show_each_organisation(self, tmp_path: Path) -> None:
        outcome = play("steady")
        for word in ("worth", "large", "small-c", "dossier", "by second"):
            assert word in outcome.table()
        outcome.plot(tmp_path / "plot.png")
        assert (tmp_path / "plot.png").stat().st_size > 1000


class TestStatedLimits:
    @pytest.mark.parametrize("name", ["stated-limits", "stated-limits-of-all"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_limits_are_kept_and_used(self, name: str, seed: int) -> None:
        outcome = play(name, seed)
        assert outcome.limit_excess <= 1.0
        assert outcome.limit_used >= LIMIT_USED_MIN


class TestLargeFleet:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_organisation_at_one_of_many_instances_is_not_crowded_out(
        self, seed: int
    ) -> None:
        """Another floods from all instances, while lost engines are still listed."""
        pattern = LARGE_FLEET_PATTERNS["narrow-entry-among-many"]
        outcome = ModelFleet(LARGE_FLEET, pattern, seed).play()
        assert not outcome.unfair_windows()
        assert outcome.least_share("narrow") >= FAIR_SHARE_MIN
