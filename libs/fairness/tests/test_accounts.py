from __future__ import annotations

import pytest

from teaseldyke.fairness import Accounts

SOURCE = ("router-1", 7)


@pytest.mark.parametrize(
    "reports",
    [[0, 2, 5], [0, 2, 2, 5, 5], [0, 5, 2], [0, 5, 0, 3, 5]],
    ids=["in order", "repeated", "lost and late", "reordered"],
)
def test_late_repeated_and_lost_reports_do_not_change_the_charge(
    reports: list[float],
) -> None:
    accounts = Accounts()
    for served in reports:
        accounts.record_served("a", SOURCE, served)
    assert accounts["a"].virtual_time == 5


def test_reported_virtual_time_is_not_charged_again() -> None:
    accounts = Accounts()
    for served in range(5):
        accounts.record_served("a", SOURCE, served)
        accounts.raise_virtual_time("a", accounts.grant("a", 3.0))
        accounts.end_grant("a", 3.0)
    assert accounts["a"].virtual_time == 4


@pytest.mark.parametrize(
    ("idle_s", "virtual_time"), [(0.05, 2.0), (5.0, 9.0)], ids=["a moment", "idle"]
)
def test_return_from_idle(idle_s: float, virtual_time: float) -> None:
    accounts = Accounts()
    accounts["a"].virtual_time = 2.0
    accounts["b"].virtual_time = 9.0
    accounts.set_backlogged("a", True, now_s=0.0)
    accounts.set_backlogged("b", True, now_s=0.0)
    accounts["a"].virtual_time = 2.0
    accounts.set_backlogged("a", False, now_s=10.0)
    accounts.set_backlogged("a", True, now_s=10.0 + idle_s)
    assert accounts["a"].virtual_time == virtual_time
