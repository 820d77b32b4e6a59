from __future__ import annotations

import time
from collections.abc import Callable

import attrs
import pytest

from teaseldyke.placement import FairShares, QueuedRequest, RequestQueue, Work

MakeWork = Callable[..., Work]


def order(line: RequestQueue[str], fair_shares: FairShares, now_s: float) -> list[str]:
    return [waiter.payload for waiter in line.in_order(fair_shares, now_s)]


class TestOrder:
    def test_small_organisations_go_before_a_large_one(
        self, make_work: MakeWork
    ) -> None:
        """One organisation's backlog arrived before the others' requests."""
        line: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        for i in range(10):
            line.add(QueuedRequest(make_work("hot", arrived_at_s=i / 100), "hot"))
        line.add(QueuedRequest(make_work("small", arrived_at_s=0.5), "small"))
        fair_shares.recompute(line.queued_tokens(), 0.5)
        assert order(line, fair_shares, 0.5)[0] == "small"

    def test_requests_that_can_be_on_time_go_first(self, make_work: MakeWork) -> None:
        line: RequestQueue[str] = RequestQueue()
        line.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        line.add(QueuedRequest(make_work(arrived_at_s=2.0), "soon"))
        line.add(QueuedRequest(make_work(arrived_at_s=1.9), "sooner"))
        assert order(line, FairShares(), 2.1) == ["sooner", "soon", "late"]

    def test_late_requests_get_a_turn_now_and_then(self, make_work: MakeWork) -> None:
        line: RequestQueue[str] = RequestQueue()
        line.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        line.add(QueuedRequest(make_work(arrived_at_s=2.0), "soon"))
        firsts = [order(line, FairShares(), 2.1)[0] for _ in range(16)]
        assert firsts.count("late") == 2

    def test_who_came_back_goes_before_the_late(self, make_work: MakeWork) -> None:
        line: RequestQueue[str] = RequestQueue()
        line.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        came_back = attrs.evolve(
            make_work(arrived_at_s=1.0, on_time_s=0.0), resubmitted=True
        )
        line.add(QueuedRequest(came_back, "came back"))
        line.add(QueuedRequest(make_work(arrived_at_s=2.0), "on time"))
        assert order(line, FairShares(), 2.1) == ["on time", "came back", "late"]

    def test_tokens_ahead_leave_out_what_goes_later(self, make_work: MakeWork) -> None:
        line: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        for _ in range(10):
            line.add(QueuedRequest(make_work("hot"), "hot"))
        fair_shares.recompute(line.queued_tokens(), 0.0)
        assert line.tokens_ahead(make_work("small"), fair_shares, 0.0) == 0
        assert line.tokens_ahead(make_work("hot"), fair_shares, 0.0) == 115_000

    def test_what_waits_elsewhere_counts_by_organisation(
        self, make_work: MakeWork
    ) -> None:
        """A large fleet: most of what waits belongs to one organisation."""
        line: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        fair_shares.peer_queued = {"hot": 1_000_000.0, "small": 12_300.0}
        line.add(QueuedRequest(make_work("small"), "small"))
        fair_shares.recompute(line.queued_tokens(), 0.0)
        work = make_work("small")
        ahead = line.tokens_ahead(work, fair_shares, 0.0)
        assert ahead == pytest.approx(2 * work.prompt_tokens)

    def test_removing_twice_does_nothing(self, make_work: MakeWork) -> None:
        line: RequestQueue[str] = RequestQueue()
        waiter = QueuedRequest(make_work(), "a")
        line.add(waiter)
        line.remove(waiter)
        line.remove(waiter)
        assert len(line) == 0


class TestTokensAheadOfArrivals:
    def test_arrivals_do_not_cost_the_more_the_more_waits(
        self, make_work: MakeWork
    ) -> None:
        """A second of a flood at one instance, of which most waits."""
        line: RequestQueue[str] = RequestQueue()
        for i in range(1000):
            line.add(QueuedRequest(make_work(f"o-{i % 10}", arrived_at_s=i / 1000), ""))
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.recompute(line.queued_tokens(), 1.0)
        arrived = make_work("o-1", arrived_at_s=1.0)
        started_at_s = time.process_time()
        for i in range(500):
            line.tokens_ahead(arrived, fair_shares, 1.0 + i / 500)
        # A quarter of an instance with half a core.
        assert time.process_time() - started_at_s < 0.125

    def test_requests_that_leave_or_grow_late_count_no_more(
        self, make_work: MakeWork
    ) -> None:
        line: RequestQueue[str] = RequestQueue()
        first, second = (
            QueuedRequest(make_work(arrived_at_s=0.0), "") for _ in range(2)
        )
        line.add(first)
        line.add(second)
        arrived = make_work(arrived_at_s=0.1)
        fair_shares = FairShares()
        one_tokens = first.work.prompt_tokens
        assert line.tokens_ahead(arrived, fair_shares, 0.1) == 2 * one_tokens
        line.remove(first)
        assert line.tokens_ahead(arrived, fair_shares, 0.1) == one_tokens
        assert line.tokens_ahead(arrived, fair_shares, 1.5) == 0.0
        line.remove(second)
        assert line.queued_tokens() == {}
