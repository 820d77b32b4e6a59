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
    """Effective limit and requests in flight of one backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    ramp : Ramp
        Slow start of the server.
    foreign : ForeignRequests
        Requests at the server that this dispatcher has not granted.
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
    suspected_restart_at_s: float = -math.inf

    @property
    def in_flight(self) -> int:
        """Return the requests that count against the limit."""
        return self.granted + self.foreign.count

    def change_running(self, change: int, now_s: float) -> None:
        """Add ``change`` to the number of grants that routers report as in use."""
        self.running += change
        self.foreign.record_own(now_s, self.running)

    def limit(self, now_s: float) -> int:
        """Return the effective limit."""
        if self.is_out or self.is_unreachable or self.ejection.is_ejected(now_s):
            return 0
        if self.ejection.is_probing(now_s):
            return min(1, self.ramp.limit)
        if math.isfinite(self.suspected_restart_at_s):
            return min(self.ramp.limit, self.ramp.cold_limit)
        return self.ramp.limit

    def free(self, fractions: list[DelegatedFraction], now_s: float) -> int:
        """Return how many more requests the leased fractions allow now."""
        return granted_limit(fractions, self.limit(now_s)) - self.in_flight

    def next_grant_expires_at_s(
        self, fractions: list[DelegatedFraction], now_s: float
    ) -> float:
        """Return until when the leased fractions allow one more request."""
        return covered_until_s(fractions, self.limit(now_s), self.in_flight + 1)

    def record_counts(
        self, known: ServerCounts | None, counts: ServerCounts, now_s: float
    ) -> bool:
        """Record a router's cumulative results; return whether the limit was lowered.

        Without earlier results (``known``), these are only the baseline of later ones.
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
        # The server may have restarted; the next load report shows whether it has.
        self.suspected_restart_at_s = now_s
        return True

    def record_load_report(
        self, report: LoadReport, polled_at_s: float, now_s: float
    ) -> bool:
        """Record a load report; return whether it shows a restart of the server."""
        self.reports_load = True
        self.is_unreachable = False
        if polled_at_s >= self.suspected_restart_at_s + self.foreign.lag_s:
            self.suspected_restart_at_s = -math.inf
        self.foreign.record_report(polled_at_s, now_s, report.running + report.waiting)
        return self.ramp.record_start(report.started_at_s)

    def ramp_state(self) -> RampState:
        """Return the progress of the slow start, for a message."""
        ramp = self.ramp
        return RampState(self.server, ramp.epoch, ramp.completed, ramp.started_at_s)

    def adopt_ramp(self, state: RampState) -> None:
        """Adopt the progress of the slow start that another dispatcher reported."""
        self.ramp.adopt(state.epoch, state.completed, state.started_at_s)
        if not self.reports_load:
            self.ramp.count_earlier()

    def begin_acting(self) -> None:
        """Await a load report, as the server may have restarted unnoticed."""
        if self.reports_load:
            self.ramp.set_aside()

    def record_no_load_report(self) -> None:
        """Record that the server reports no load."""
        self.reports_load = False
        self.ramp.count_earlier()

    def may_grant(
        self, delegation_gained_at_s: float, all_report: bool, now_s: float
    ) -> bool:
        """Return whether the requests that others have sent are known well enough.

        Parameters
        ----------
        delegation_gained_at_s : float
            When a router last began to lease its fraction to this dispatcher.
        all_report : bool
            Whether every live router reports its requests to this dispatcher.
        now_s : float
            Current time on the dispatcher's clock.
        """
        if not self.reports_load:
            return True
        # An older report may miss requests sent right before the fraction was gained.
        needed_at_s = delegation_gained_at_s + self.foreign.lag_s
        if self.foreign.reported_at_s >= needed_at_s:
            return True
        if self.poll_failed_at_s < needed_at_s:
            return False
        return all_report or now_s >= needed_at_s + UNCONFIRMED_HOLD_S


def new_slots(
    server: str, limits: tuple[int, int, int], lag_s: float, reports_load: bool
) -> ServerSlots:
    """Return the slots of a backend server that is assumed to be cold."""
    limit, cold_limit, warm_after_requests = limits
    return ServerSlots(
        server=server,
        ramp=Ramp(limit, cold_limit, warm_after_requests),
        foreign=ForeignRequests(lag_s, reported_at_s=-math.inf),
        reports_load=reports_load,
    )
