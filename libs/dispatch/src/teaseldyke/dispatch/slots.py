"""Slots of one backend server, as its dispatcher counts them."""

from __future__ import annotations

import math

import attrs

from teaseldyke.capacity import (
    UNCONFIRMED_HOLD_S,
    DelegatedFraction,
    Ejection,
    ForeignRequests,
    LoadReport,
    Ramp,
    covered_until_s,
    granted_limit,
)

from .messages import RampState, ServerCounts


@attrs.define(eq=False)
class ServerSlots:
    """Limit in force and requests in flight of one backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    ramp : Ramp
        Its slow start.
    foreign : ForeignRequests
        Requests there that this dispatcher has not granted.
    """

    server: str
    ramp: Ramp
    foreign: ForeignRequests
    ejection: Ejection = attrs.field(factory=Ejection)
    granted: int = 0
    running: int = 0
    is_out: bool = False
    reports_load: bool = False
    is_unreachable: bool = False
    poll_failed_at_s: float = -math.inf
    broken_at_s: float = -math.inf

    @property
    def in_flight(self) -> int:
        """Return the requests that count against the limit."""
        return self.granted + self.foreign.count

    def change_running(self, change: int, now_s: float) -> None:
        """Count grants that routers report to be in use, or not any more."""
        self.running += change
        self.foreign.record_own(now_s, self.running)

    def limit(self, now_s: float) -> int:
        """Return the limit in force."""
        if self.is_out or self.is_unreachable or self.ejection.is_ejected(now_s):
            return 0
        if self.ejection.is_probing(now_s):
            return min(1, self.ramp.limit)
        if math.isfinite(self.broken_at_s):
            return min(self.ramp.limit, self.ramp.cold_limit)
        return self.ramp.limit

    def free(self, fractions: list[DelegatedFraction], now_s: float) -> int:
        """Return how many more requests the delegated parts allow now."""
        return granted_limit(fractions, self.limit(now_s)) - self.in_flight

    def next_until_s(self, fractions: list[DelegatedFraction], now_s: float) -> float:
        """Return until when the delegated parts allow one more request."""
        return covered_until_s(fractions, self.limit(now_s), self.in_flight + 1)

    def take_counts(
        self, known: ServerCounts | None, counts: ServerCounts, now_s: float
    ) -> bool:
        """Take in a router's cumulative results; return whether the ramp fell.

        The first results of a router are the base of its later ones.
        """
        if known is None:
            return False
        completed = max(0, counts.completed - known.completed)
        refused = max(0, counts.refused - known.refused)
        failed = max(0, counts.failed - known.failed)
        cold = max(0, counts.cold - known.cold)
        self.ejection.record(completed, failed + refused, now_s)
        if refused or cold:
            self.ramp.reset()
            return True
        self.ramp.complete(completed)
        if not failed or not self.reports_load:
            return False
        # It may have started anew, which the next load report tells.
        self.broken_at_s = now_s
        return True

    def take_load(self, report: LoadReport, polled_at_s: float, now_s: float) -> bool:
        """Take in a load report; return whether the server was started anew."""
        self.reports_load = True
        self.is_unreachable = False
        if polled_at_s >= self.broken_at_s + self.foreign.lag_s:
            self.broken_at_s = -math.inf
        self.foreign.record_report(polled_at_s, now_s, report.running + report.waiting)
        return self.ramp.record_start(report.started_at_s)

    def state(self) -> RampState:
        """Return the message part that tells how far the ramp has come."""
        return RampState(self.server, self.ramp.epoch, self.ramp.completed)

    def may_grant(self, gained_at_s: float, complete: bool, now_s: float) -> bool:
        """Return whether enough is known of the work that others have sent.

        Parameters
        ----------
        gained_at_s : float
            When a router last promised its part to this dispatcher anew.
        complete : bool
            Whether every living router reports its work to this dispatcher.
        now_s : float
            Time of the dispatcher.
        """
        if not self.reports_load:
            return True
        # An older report may not show what was begun right before that.
        needed_at_s = gained_at_s + self.foreign.lag_s
        if self.foreign.reported_at_s >= needed_at_s:
            return True
        if self.poll_failed_at_s < needed_at_s:
            return False
        return complete or now_s >= needed_at_s + UNCONFIRMED_HOLD_S


def new_slots(
    server: str, limits: tuple[int, int, int], lag_s: float, reports_load: bool
) -> ServerSlots:
    """Return the slots of a backend server that is taken to be cold."""
    limit, cold_limit, warm_after_requests = limits
    return ServerSlots(
        server=server,
        ramp=Ramp(limit, cold_limit, warm_after_requests),
        foreign=ForeignRequests(lag_s, reported_at_s=-math.inf),
        reports_load=reports_load,
    )
