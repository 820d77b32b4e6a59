"""Fairness of the service order; the bound is that of the users' rules."""

from __future__ import annotations

import pytest

from teaseldyke.patterns import Demand, OrderModel, Period, Scenario, draw_scenario

SWITCH_S = 10.0
FAIR_SHARE_MIN = 0.5
FLOOD = 4.0  # relative to the capacity
END_S = 24.0


def flood(number: int, starts_at_s: float, prefix: str) -> dict[str, Demand]:
    floods = [Period(starts_at_s, END_S, FLOOD)]
    return {f"{prefix}-{i}": Demand(0.0, floods, [0]) for i in range(number)}


def played(first: int, further: int, loss: float = 1.0) -> OrderModel:
    """Return a model in which further organisations flood from `SWITCH_S` on.

    Parameters
    ----------
    loss : float
        Capacity from then on, relative to that before.
    """
    organisations = flood(first, 0.0, "first") | flood(further, SWITCH_S, "further")
    losses = [Period(SWITCH_S, END_S, loss)]
    return OrderModel(Scenario(organisations, 1, 1, 1e9, losses))


class TestServiceOrder:
    @pytest.mark.parametrize(
        ("first", "further", "loss"),
        [
            (3, 9, 1.0),
            (1, 11, 1.0),
            (2, 30, 1.0),
            (9, 3, 1.0),
            (1, 1, 1.0),
            (1, 11, 0.3),
            (3, 9, 0.3),
            (9, 3, 0.3),
        ],
        ids=str,
    )
    def test_organisation_served_before_is_not_starved_when_more_become_backlogged(
        self, first: int, further: int, loss: float
    ) -> None:
        assert not played(first, further, loss).play()

    def test_organisations_that_become_backlogged_do_not_get_all_capacity(self) -> None:
        model = played(9, 3)
        model.play()
        second = int(SWITCH_S)
        served = {name: tokens[second] for name, tokens in model.served.items()}
        before = sum(served[f"first-{i}"] for i in range(9))
        assert before >= FAIR_SHARE_MIN * 9 / 12 * sum(served.values())

    @pytest.mark.parametrize("seed", range(40))
    def test_drawn_load_is_served_fairly(self, seed: int) -> None:
        assert not OrderModel(draw_scenario(seed)).play()
