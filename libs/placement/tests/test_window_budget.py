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
    def test_engine_loss_keeps_the_fleet_within_its_bound(self, instances: int) -> None:
        """All requests fail for ten seconds and every instance wants to resend."""
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

    def test_one_instance_uses_what_it_has(self) -> None:
        budget = RetryBudget(0.2, 50.0, 10.0)
        assert sum(budget.try_spend(0.0, 1) for _ in range(100)) == 40

    def test_spent_sends_return_after_the_window(self) -> None:
        budget = RetryBudget(0.0, 10.0, 10.0)
        first = sum(budget.try_spend(0.0, 1) for _ in range(20))
        assert sum(budget.try_spend(9.9, 1) for _ in range(20)) == 0
        assert sum(budget.try_spend(10.1, 1) for _ in range(20)) == first


class TestColdAllowance:
    @pytest.mark.parametrize("instances", [1, 3, 7, 87])
    def test_a_cold_engine_gets_no_more_than_it_bears(self, instances: int) -> None:
        """Every instance has work all the time and finds the cold engine free."""
        rate_per_s, over, slack = 13.0, 1.5, 5.0
        senders = min(instances, cold_senders_max(rate_per_s, over, slack))
        allowances = [ColdRateLimit(rate_per_s) for _ in range(senders)]
        sent_at_s = []
        for step in range(3000):
            now_s = 100.0 + step * 0.001
            for allowance in allowances:
                if allowance.allows_send(now_s):
                    allowance.record_send(now_s, senders)
                    sent_at_s.append(now_s)
        assert most_in_window(sent_at_s, 1.0) <= rate_per_s * over + slack
