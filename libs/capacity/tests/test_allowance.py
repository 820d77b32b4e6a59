from __future__ import annotations

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from teaseldyke.capacity import allowed_concurrency


@settings(derandomize=True, max_examples=300)
@given(
    limit=st.integers(0, 40),
    sides=st.lists(st.integers(0, 3), min_size=1, max_size=12),
)
def test_any_split_stays_within_the_limit(limit: int, sides: list[int]) -> None:
    total = 0
    for side in set(sides):
        fraction = Fraction(sides.count(side), len(sides))
        total += allowed_concurrency(limit, fraction)
    assert total <= limit


def test_whole_fleet_gets_the_whole_limit() -> None:
    assert allowed_concurrency(5, Fraction(1)) == 5
