from __future__ import annotations

import math
from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaseldyke.placement import (
    FleetDemand,
    LimitReport,
    ServiceDemand,
    Standing,
    StatedLimit,
    Work,
    limit_share,
)
from teaseldyke.placement.stated_limit import CREDIT_S

ROUND_S = 0.1
STEP_S = 0.02
WINDOW_S = 4.0
WORK = Work("a", 0.0, 1.0, 2.0, 3.0)


def limited(per_s: float | None, share: float = 1.0, now_s: float = 0.0) -> StatedLimit:
    limit = StatedLimit()
    limit.hear(per_s, now_s, now_s)
    limit.set_share(share, now_s)
    return limit


class TestStatements:
    def test_no_limit_allows_all(self) -> None:
        limit = StatedLimit()
        for _ in range(100):
            assert limit.allows_send(1.0)
            limit.record_send(1.0)

    def test_newly_stated_limit_allows_nothing_until_its_part_is_known(self) -> None:
        limit = StatedLimit()
        assert limit.hear(5.0, 1.0, 1.0)
        assert limit.is_closed
        assert not limit.allows_send(9.0)

    @pytest.mark.parametrize(
        ("statements", "expected"),
        [
            ([(5.0, 1.0)], 5.0),
            ([(5.0, 1.0), (3.0, 2.0)], 3.0),
            ([(5.0, 2.0), (3.0, 1.0)], 5.0),
            ([(5.0, 1.0), (None, 2.0)], None),
            ([(5.0, 2.0), (None, 1.0)], 5.0),
            ([(None, 2.0), (5.0, 1.0)], None),
            ([(0.0, 1.0)], 0.0),
        ],
    )
    def test_newest_statement_holds(
        self, statements: list[tuple[float | None, float]], expected: float | None
    ) -> None:
        limit = StatedLimit()
        for per_s, at_s in statements:
            limit.hear(per_s, at_s, 3.0)
        assert limit.per_s == expected

    @pytest.mark.parametrize(
        ("report", "expected"),
        [
            (LimitReport(3.0, 0.5), 3.0),
            (LimitReport(None, 0.5), None),
            (LimitReport(3.0, 1.5), 5.0),
        ],
        ids=["newer", "newer-end", "older"],
    )
    def test_reports_of_others_count_by_their_age(
        self, report: LimitReport, expected: float | None
    ) -> None:
        limit = limited(5.0, now_s=1.0)
        limit.merge(report, 2.0)
        assert limit.per_s == expected

    def test_only_own_answers_are_reported(self) -> None:
        limit = StatedLimit()
        limit.merge(LimitReport(5.0, 0.0), 1.0)
        assert limit.report(1.0) is None
        limit.hear(4.0, 2.0, 2.0)
        limit.merge(LimitReport(5.0, 0.0), 3.0)
        assert limit.report(3.5) == LimitReport(4.0, 1.5)

    def test_end_of_a_limit_is_reported_for_a_while(self) -> None:
        """Those that heard of the limit and not of its end would keep it."""
        limit = limited(5.0, now_s=1.0)
        limit.hear(None, 2.0, 2.0)
        assert limit.report(3.0) == LimitReport(None, 1.0)
        assert limit.report(100.0) is None

    def test_limit_whose_end_others_told_is_not_reported(self) -> None:
        """An instance that starts would take it for one in force."""
        limit = limited(5.0, now_s=1.0)
        limit.merge(LimitReport(None, 0.0), 20.0)
        assert limit.report(60.0) is None

    def test_server_without_limits_is_not_reported(self) -> None:
        limit = StatedLimit()
        limit.hear(None, 1.0, 1.0)
        assert limit.report(1.0) is None


class TestRate:
    @pytest.mark.parametrize(("per_s", "share"), [(2.0, 1.0), (9.0, 0.1), (0.0, 1.0)])
    def test_sends_keep_to_the_part(self, per_s: float, share: float) -> None:
        limit = limited(per_s, share)
        sent = 0
        for tick in range(2000):
            now_s = tick * STEP_S
            if limit.allows_send(now_s):
                limit.record_send(now_s)
                sent += 1
        own_per_s = max(per_s, 0.5) * share
        assert own_per_s * 40.0 - 1.5 <= sent <= own_per_s * 40.0 + 1.0

    def test_wait_counts_requests_ahead(self) -> None:
        limit = limited(2.0)
        assert limit.wait_s(0, 0.0) == pytest.approx(0.5)
        assert limit.wait_s(3, 0.0) == pytest.approx(2.0)
        assert limited(2.0, 0.0).wait_s(0, 9.0) == math.inf

    def test_request_that_was_not_sent_is_taken_back(self) -> None:
        limit = limited(1.0)
        limit.record_send(1.0)
        assert not limit.allows_send(1.0)
        limit.take_back_send()
        assert limit.allows_send(1.0)

    @pytest.mark.parametrize(
        ("elapsed_s", "expected"),
        [(0.1, 1.0), (0.2, 1.0), (0.2 + CREDIT_S / 2.0, 0.5), (9.0, 0.0)],
    )
    def test_limit_is_scarce_until_it_would_go_unused(
        self, elapsed_s: float, expected: float
    ) -> None:
        """Small requests leave it to large ones, but not when none of those comes."""
        limit = limited(5.0)
        assert limit.scarcity(elapsed_s) == pytest.approx(expected)

    def test_size_of_sent_requests_is_known(self) -> None:
        limit = limited(5.0)
        for _ in range(200):
            limit.record_send(1.0, 9000.0)
        assert limit.mean_prompt_tokens == pytest.approx(9000.0)

    def test_part_that_grows_shortens_the_wait(self) -> None:
        """An instance that had hardly any demand must not wait for its old part."""
        limit = limited(2.0, 0.01)
        assert limit.wait_s(0, 0.0) == pytest.approx(50.0)
        limit.set_share(1.0, 1.0)
        assert limit.wait_s(0, 1.0) <= 0.5


@attrs.define
class Instance:
    """One instance of the model fleet."""

    name: int
    demand_per_s: float
    limit: StatedLimit = attrs.field(factory=StatedLimit)
    demand: ServiceDemand = attrs.field(factory=ServiceDemand)
    heard: dict[int, tuple[float, LimitReport | None, float]] = attrs.field(
        factory=dict
    )
    queued: int = 0


class ModelFleet:
    """Instances that send to one server, with late and lost datagrams."""

    def __init__(
        self, seed: int, demands: list[float], per_s: float, loss: float
    ) -> None:
        self.random = Random(seed)
        self.per_s: float | None = per_s
        self.loss = loss
        self.now_s = 0.0
        self.instances = [Instance(i, demand) for i, demand in enumerate(demands)]
        self.size = len(demands)
        self.sent_at_s: list[float] = []
        self.stated_at_s = math.inf

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            if round(self.now_s / STEP_S) % round(ROUND_S / STEP_S) == 0:
                self._exchange()
            for instance in self.instances:
                self._serve(instance)

    def _serve(self, instance: Instance) -> None:
        expected = instance.demand_per_s * STEP_S
        arrivals = int(expected) + (self.random.random() < expected % 1.0)
        for _ in range(arrivals):
            instance.demand.record_arrival("app", WORK, Standing.FAIR, self.now_s)
        instance.queued = min(50, instance.queued + arrivals)
        while instance.queued and instance.limit.allows_send(self.now_s):
            instance.queued -= 1
            if instance.limit.is_in_force:
                instance.limit.record_send(self.now_s)
            self.sent_at_s.append(self.now_s)
            self.stated_at_s = min(self.stated_at_s, self.now_s)
            instance.limit.hear(self.per_s, self.now_s, self.now_s)

    def _exchange(self) -> None:
        for receiver in self.instances:
            for sender in self.instances:
                if sender is receiver or self.random.random() < self.loss:
                    continue
                own = sender.demand.own(self.now_s).get("app", 0.0)
                report = sender.limit.report(self.now_s)
                receiver.heard[sender.name] = own, report, self.now_s
                if report is not None:
                    late = LimitReport(report.per_s, report.age_s)
                    receiver.limit.merge(late, self.now_s)
            alive = {
                name: own
                for name, (own, _, at_s) in receiver.heard.items()
                if self.now_s - at_s < 0.6
            }
            if receiver.limit.per_s is None:
                continue
            demand = self._demand(receiver, alive)
            share = limit_share(receiver.limit.per_s, "e-1", demand)
            receiver.limit.set_share(share, self.now_s)

    def _demand(self, instance: Instance, others: dict[int, float]) -> FleetDemand:
        own = str(instance.name)
        neighbours = {str(name): demand for name, demand in others.items()}
        neighbours[own] = instance.demand.own(self.now_s).get("app", 0.0)
        return FleetDemand(own, neighbours, "0", {}, self.size, len(neighbours))

    def busiest_window(self, since_s: float) -> int:
        """Return the most requests in four seconds after a moment."""
        times = [at_s for at_s in self.sent_at_s if at_s >= since_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                for start_s in times
            ),
            default=0,
        )


class TestFleet:
    @given(
        seed=st.integers(0, 10**6),
        demands=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=12),
        per_s=st.floats(0.0, 12.0),
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        dies=st.booleans(),
        starts=st.booleans(),
    )
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_server_never_gets_more_than_allowed(
        self,
        seed: int,
        demands: list[float],
        per_s: float,
        loss: float,
        dies: bool,
        starts: bool,
    ) -> None:
        fleet = ModelFleet(seed, demands, per_s, loss)
        fleet.run(5.0)
        if dies and len(fleet.instances) > 1:
            fleet.instances.pop(0)
        fleet.run(3.0)
        if starts:
            # A new process under the name of an old one knows nothing.
            fleet.instances[-1] = Instance(fleet.instances[-1].name, 20.0)
        fleet.run(5.0)
        judged_from_s = fleet.stated_at_s + 0.5
        # The rule excuses an instance that has just started; its answer teaches it.
        excused = 20.0 * 0.2 if starts else 0.0
        allowed = 1.5 * WINDOW_S * per_s + 5.0 + excused
        assert fleet.busiest_window(judged_from_s) <= allowed

    @pytest.mark.parametrize("per_s", [1.4, 2.1, 4.7, 9.2])
    @pytest.mark.parametrize(
        "demands",
        [[10.0] * 7, [60.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0], [30.0] + [0.1] * 6],
        ids=["even", "uneven", "one"],
    )
    def test_limit_is_used_while_there_is_demand(
        self, demands: list[float], per_s: float
    ) -> None:
        """At least nine tenths of it."""
        fleet = ModelFleet(7, demands, per_s, 0.05)
        fleet.run(45.0)
        used = sum(at_s >= 5.0 for at_s in fleet.sent_at_s)
        assert used >= 0.9 * per_s * 40.0

    def test_end_of_the_limit_is_found_and_told(self) -> None:
        fleet = ModelFleet(7, [5.0] * 7, 0.0, 0.05)
        fleet.run(5.0)
        fleet.per_s = None
        fleet.run(8.0)
        assert all(instance.limit.per_s is None for instance in fleet.instances)
