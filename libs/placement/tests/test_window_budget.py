from __future__ import annotations

import pytest

from teaseldyke.placement import ColdRateLimit, RetryBudget, cold_senders_max


def most_in_window(times_s: list[float], window_s: float) -> int:
    return max(
        sum(start_s <= time_s < start_s + window_s for time_s in times_s)
        for start_s in times_s
    )


class TestRetryBudget:
    @pytest.mark.parametrize("instances", [1, 7, 87])
    def test_engine_loss_keeps_the_fleet_within_its_limit(self, instances: int) -> None:
        """All requests fail for ten seconds and every instance retries."""
        budgets = [RetryBudget(0.2, 54.0, 10.0) for _ in range(instances)]
        requests = 0
        resent_at_s = []
        for step in range(1000):
            now_s = step * 0.01
            budget = budgets[step % instances]
            budget.count_request(now_s)
            requests += 1
            if budget.try_spend(now_s, instances):
                resent_at_s.append(now_s)
        assert len(resent_at_s) <= 0.2 * requests + 54.0

    def test_one_instance_uses_its_whole_budget(self) -> None:
        budget = RetryBudget(0.2, 50.0, 10.0)
        assert sum(budget.try_spend(0.0, 1) for _ in range(100)) == 40

    def test_budget_is_restored_after_the_window(self) -> None:
        budget = RetryBudget(0.0, 10.0, 10.0)
        first = sum(budget.try_spend(0.0, 1) for _ in range(20))
        assert sum(budget.try_spend(9.9, 1) for _ in range(20)) == 0
        assert sum(budget.try_spend(10.1, 1) for _ in range(20)) == first

    def test_question_counts_nothing(self) -> None:
        budget = RetryBudget(0.0, 2.6, 10.0)  # two retries
        assert all(budget.allows(0.0, 1) for _ in range(9))
        assert [budget.try_spend(0.0, 1) for _ in range(3)] == [True, True, False]
        assert not budget.allows(0.0, 1)


class TestColdRateLimit:
    @pytest.mark.parametrize("instances", [1, 3, 7, 87])
    def test_cold_engine_stays_within_its_limit(self, instances: int) -> None:
        """Every instance always has requests and sees the cold engine idle."""
        rate_per_s, over, slack = 13.0, 1.5, 5.0
        senders = min(instances, cold_senders_max(rate_per_s, over, slack))
        rate_limits = [ColdRateLimit(rate_per_s) for _ in range(senders)]
        sent_at_s = []
        for step in range(3000):
            now_s = 100.0 + step * 0.001
            for rate_limit in rate_limits:
                if rate_limit.allows_send(now_s):
                    rate_limit.record_send(now_s, senders)
                    sent_at_s.append(now_s)
        assert most_in_window(sent_at_s, 1.0) <= rate_per_s * over + slack
