from __future__ import annotations

import attrs

from teaseldyke.dispatch.intake import record_counts, update_demand
from teaseldyke.dispatch.messages import Demand, ServerCounts
from teaseldyke.dispatch.records import RouterRecord
from teaseldyke.dispatch.slots import new_slots
from teaseldyke.fairness import Accounts

from .reports import REPORT


class TestRouterThatReportedElsewhere:
    """What it reported to the other dispatcher must not be counted twice."""

    def test_completions_are_not_counted_twice(self) -> None:
        slots = {"engine": new_slots("engine", (8, 1, 8), 0.5, True)}
        router = RouterRecord("router")
        for completed, is_baseline in ((1, True), (6, True), (7, False)):
            counts = (ServerCounts("engine", completed, 0, 0, 0),)
            report = attrs.evolve(REPORT, counts=counts)
            record_counts(slots, router, report, is_baseline, now_s=1.0)
        assert slots["engine"].ramp.completed == 1

    def test_refusals_still_reset_the_ramp(self) -> None:
        slots = {"engine": new_slots("engine", (8, 1, 8), 0.5, True)}
        router = RouterRecord("router")
        for refused in (0, 1):
            counts = (ServerCounts("engine", 0, 0, refused, 0),)
            report = attrs.evolve(REPORT, counts=counts)
            lowered = record_counts(slots, router, report, True, now_s=1.0)
        assert lowered == ["engine"]

    def test_service_is_not_charged_twice(self) -> None:
        accounts = Accounts()
        router = RouterRecord("router", incarnation=7)
        reports = ((1.0, 1.0, True), (6.0, 6.0, True), (7.0, 6.0, False))
        for served, virtual_time, is_baseline in reports:
            entry = Demand("a", 1, 0.0, 1.0, served, virtual_time=virtual_time)
            report = attrs.evolve(REPORT, demand=(entry,))
            update_demand(accounts, router, report, 0, is_baseline, now_s=1.0)
        assert accounts["a"].virtual_time == 7.0
