from __future__ import annotations

from benchmarks.capacity_page import END, PAGE, START, generated


def test_page_matches_the_generated_tables() -> None:
    page = PAGE.read_text()
    between = page.partition(START)[2].partition(END)[0]
    assert between.strip() == generated().strip()
