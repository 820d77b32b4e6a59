"""The decisions under each named load; bounds are those of the users' rules."""

from __future__ import annotations

from pathlib import Path

import pytest

from teaseldyke.patterns import PATTERNS, FleetSpec, ModelFleet, Outcome

FAIR_PART = 0.5  # of what it asked or of what the best served got, in six seconds

LARGE_FLEET_DELAY_S = 0.3  # two rounds of totals among 70 to 90 instances


def play(name: str, seed: int = 1) -> Outcome:
    spec = FleetSpec(instances=6, engines=6)
    return ModelFleet(spec, PATTERNS[name], seed).play()


def play_large(name: str, *, keeps_places: bool = True) -> Outcome:
    spec = FleetSpec(
        instances=16,
        engines=8,
        totals_delay_s=LARGE_FLEET_DELAY_S,
        keeps_places=keeps_places,
    )
    return ModelFleet(spec, PATTERNS[name], 1).play()


class TestPatterns:
    @pytest.mark.parametrize("name", PATTERNS)
    def test_no_organisation_gets_less_than_half(self, name: str) -> None:
        outcome = play(name)
        assert outcome.least_share() >= FAIR_PART
        assert 0.0 < outcome.worth <= outcome.best

    @pytest.mark.parametrize(
        ("keeps_places", "fair"),
        [(False, False), (True, True)],
        ids=["without", "with"],
    )
    def test_places_are_kept_for_who_got_too_little(
        self, keeps_places: bool, fair: bool
    ) -> None:
        """One organisation floods from all instances, another from one."""
        outcome = play_large("narrow-entry", keeps_places=keeps_places)
        assert (outcome.least_share() >= FAIR_PART) is fair

    def test_held_engine_is_shared(self) -> None:
        """One organisation floods the engines; another asks for one hot prompt."""
        assert play("held-engine", seed=2).least_share() >= FAIR_PART

    @pytest.mark.parametrize("name", ["narrow-entry", "narrow-entry-loss"])
    def test_organisation_at_one_instance_is_not_crowded_out(self, name: str) -> None:
        """Another floods the engines from all instances, which know of it late."""
        assert play_large(name).least_share() >= FAIR_PART

    def test_a_seed_gives_the_same_day(self) -> None:
        first, second = play("hot-part", 7), play("hot-part", 7)
        assert first.table() == second.table()
        assert first.table() != play("hot-part", 8).table()

    def test_engines_that_return_help(self) -> None:
        assert play("cold-return").worth > play("engine-loss").worth

    def test_the_table_and_the_plot_show_each_organisation(
        self, tmp_path: Path
    ) -> None:
        outcome = play("steady")
        for word in ("worth", "large", "small-c", "dossier", "by second"):
            assert word in outcome.table()
        outcome.plot(tmp_path / "day.png")
        assert (tmp_path / "day.png").stat().st_size > 1000
