from __future__ import annotations

import time
from collections.abc import Callable

import attrs
import pytest

from teaseldyke.placement import FairShares, QueuedRequest, RequestQueue, Work

MakeWork = Callable[..., Work]


def order(queue: RequestQueue[str], fair_shares: FairShares, now_s: float) -> list[str]:
    return [request.payload for request in queue.in_order(fair_shares, now_s)]


class TestOrder:
    def test_small_organisations_go_before_a_large_one(
        self, make_work: MakeWork
    ) -> None:
        """One organisation's queued requests arrived before the others' requests."""
        queue: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        for i in range(10):
            queue.add(QueuedRequest(make_work("hot", arrived_at_s=i / 100), "hot"))
        queue.add(QueuedRequest(make_work("small", arrived_at_s=0.5), "small"))
        fair_shares.recompute(queue.queued_tokens(), 0.5)
        assert order(queue, fair_shares, 0.5)[0] == "small"

    def test_requests_that_can_be_on_time_go_first(self, make_work: MakeWork) -> None:
        queue: RequestQueue[str] = RequestQueue()
        queue.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        queue.add(QueuedRequest(make_work(arrived_at_s=2.0), "soon"))
        queue.add(QueuedRequest(make_work(arrived_at_s=1.9), "sooner"))
        assert order(queue, FairShares(), 2.1) == ["sooner", "soon", "late"]

    def test_late_requests_go_first_in_some_passes(self, make_work: MakeWork) -> None:
        queue: RequestQueue[str] = RequestQueue()
        queue.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        queue.add(QueuedRequest(make_work(arrived_at_s=2.0), "soon"))
        firsts = [order(queue, FairShares(), 2.1)[0] for _ in range(16)]
        assert firsts.count("late") == 2

    def test_resubmitted_request_goes_before_late_ones(
        self, make_work: MakeWork
    ) -> None:
        queue: RequestQueue[str] = RequestQueue()
        queue.add(QueuedRequest(make_work(arrived_at_s=0.0), "late"))
        resubmitted = attrs.evolve(
            make_work(arrived_at_s=1.0, on_time_s=0.0), resubmitted=True
        )
        queue.add(QueuedRequest(resubmitted, "resubmitted"))
        queue.add(QueuedRequest(make_work(arrived_at_s=2.0), "on time"))
        assert order(queue, FairShares(), 2.1) == ["on time", "resubmitted", "late"]

    def test_tokens_ahead_exclude_later_requests(self, make_work: MakeWork) -> None:
        queue: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        for _ in range(10):
            queue.add(QueuedRequest(make_work("hot"), "hot"))
        fair_shares.recompute(queue.queued_tokens(), 0.0)
        assert queue.tokens_ahead(make_work("small"), fair_shares, 0.0) == 0
        assert queue.tokens_ahead(make_work("hot"), fair_shares, 0.0) == 115_000
        assert queue.requests_ahead("small", fair_shares, 0.0) == 0
        assert queue.requests_ahead("hot", fair_shares, 0.0) == 10

    def test_requests_queued_elsewhere_count_by_organisation(
        self, make_work: MakeWork
    ) -> None:
        """A large fleet: most queued requests belong to one organisation."""
        queue: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        fair_shares.peer_queued = {"hot": 1_000_000.0, "small": 12_300.0}
        queue.add(QueuedRequest(make_work("small"), "small"))
        fair_shares.recompute(queue.queued_tokens(), 0.0)
        work = make_work("small")
        ahead = queue.tokens_ahead(work, fair_shares, 0.0)
        assert ahead == pytest.approx(2 * work.prompt_tokens)

    def test_removing_twice_does_nothing(self, make_work: MakeWork) -> None:
        queue: RequestQueue[str] = RequestQueue()
        request = QueuedRequest(make_work(), "a")
        queue.add(request)
        queue.remove(request)
        queue.remove(request)
        assert len(queue) == 0


class TestTokensAheadOfArrivals:
    def test_cost_of_arrivals_does_not_grow_with_the_queue(
        self, make_work: MakeWork
    ) -> None:
        """One second of overload at one instance, with most requests queued."""
        queue: RequestQueue[str] = RequestQueue()
        for i in range(1000):
            queue.add(
                QueuedRequest(make_work(f"o-{i % 10}", arrived_at_s=i / 1000), "")
            )
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.recompute(queue.queued_tokens(), 1.0)
        arrived = make_work("o-1", arrived_at_s=1.0)
        started_at_s = time.process_time()
        for i in range(500):
            queue.tokens_ahead(arrived, fair_shares, 1.0 + i / 500)
        # A quarter of the time of an instance that has half a core.
        assert time.process_time() - started_at_s < 0.125

    def test_removed_and_late_requests_are_not_counted(
        self, make_work: MakeWork
    ) -> None:
        queue: RequestQueue[str] = RequestQueue()
        first, second = (
            QueuedRequest(make_work(arrived_at_s=0.0), "") for _ in range(2)
        )
        queue.add(first)
        queue.add(second)
        arrived = make_work(arrived_at_s=0.1)
        fair_shares = FairShares()
        one_tokens = first.work.prompt_tokens
        assert queue.tokens_ahead(arrived, fair_shares, 0.1) == 2 * one_tokens
        queue.remove(first)
        assert queue.tokens_ahead(arrived, fair_shares, 0.1) == one_tokens
        assert queue.tokens_ahead(arrived, fair_shares, 1.5) == 0.0
        queue.remove(second)
        assert queue.queued_tokens() == {}
