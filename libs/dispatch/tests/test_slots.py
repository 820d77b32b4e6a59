from __future__ import annotations

import pytest

from teaseldyke.capacity import LoadReport
from teaseldyke.dispatch.messages import ServerCounts
from teaseldyke.dispatch.slots import ServerSlots, new_slots

LAG_S = 0.5


def warm_slots() -> ServerSlots:
    slots = new_slots("engine", (8, 2, 0), LAG_S, True)
    slots.record_load_report(LoadReport(1.0, 8, 0, 50), polled_at_s=9.0, now_s=9.0)
    return slots


def counts(failed: int) -> ServerCounts:
    return ServerCounts("engine", completed=50, failed=failed, refused=0, cold=0)


@pytest.mark.promise("cold-backend-server")
class TestFailedRequest:
    def test_failure_suggests_a_restart(self) -> None:
        slots = warm_slots()
        assert slots.limit(9.5) == 8
        assert slots.record_counts(counts(0), counts(1), now_s=10.0)
        assert slots.limit(10.0) == 2

    @pytest.mark.parametrize(
        ("polled_at_s", "started_at_s", "limit"),
        [
            pytest.param(10.4, 1.0, 2, id="report-may-predate-the-failure"),
            pytest.param(10.5, 1.0, 8, id="same-start-time"),
        ],
    )
    def test_later_report_confirms_or_rules_out_a_restart(
        self, polled_at_s: float, started_at_s: float, limit: int
    ) -> None:
        slots = warm_slots()
        slots.record_counts(counts(0), counts(1), now_s=10.0)
        report = LoadReport(started_at_s, 2, 0, 50)
        slots.record_load_report(report, polled_at_s, polled_at_s)
        assert slots.limit(polled_at_s) == limit
