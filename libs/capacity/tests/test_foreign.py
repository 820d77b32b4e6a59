from __future__ import annotations

from teaseldyke.capacity import ForeignRequests


def test_report_from_before_the_first_grant_shows_foreign_requests() -> None:
    foreign = ForeignRequests(lag_s=0.5)
    foreign.expect(10.0)
    foreign.record_own(10.0, 1)
    foreign.record_report(polled_at_s=10.2, now_s=10.2, running=1)
    assert foreign.count == 1


def test_requests_of_a_lost_router_stay_counted() -> None:
    foreign = ForeignRequests(lag_s=0.5)
    foreign.record_own(9.0, 4)
    foreign.add(2, 10.0)
    foreign.record_own(10.0, 2)
    foreign.record_report(polled_at_s=10.1, now_s=10.1, running=4)
    assert foreign.count == 2
    foreign.record_report(polled_at_s=11.0, now_s=11.0, running=1)
    assert foreign.count == 1
    foreign.record_report(polled_at_s=16.0, now_s=16.0, running=2)
    assert foreign.count == 0


def test_own_request_that_ended_unnoticed_hides_no_foreign_requests() -> None:
    foreign = ForeignRequests(lag_s=0.5)
    foreign.record_own(9.0, 4)
    foreign.add(3, 10.0)
    foreign.record_own(10.0, 1)
    foreign.record_report(polled_at_s=10.7, now_s=10.7, running=3)
    assert foreign.count == 3
