from __future__ import annotations

from benchmarks.capacity_page import END, PAGE, START, generated


def test_the_page_holds_what_the_slopes_give() -> None:
    page = PAGE.read_text()
    between = page.partition(START)[2].partition(END)[0]
    assert between.strip() == generated().strip()
