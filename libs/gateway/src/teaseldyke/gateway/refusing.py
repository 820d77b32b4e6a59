"""Refuses requests that can't be sent in time, before they wait."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from teaseldyke.placement import (
    FairShares,
    RequestQueue,
    ServerState,
    ServiceDemand,
    Work,
    check_admission,
    limits_allow_in_s,
    next_accepting_in_s,
    retry_delay_s,
    servers_for,
)
from teaseldyke.telemetry import counter
from teaseldyke.timers import boot_time_s
from teaseldyke.types import ServiceDescription

from .errors import NoServer, Overloaded, VersionGone
from .share_log import ShareLog
from .view import FleetView

NO_SERVER_RETRY_S = 1.0  # a new server's entry may appear within this time

REFUSED = counter("teaseldyke_refused_total", "Requests refused, by reason.")


class AdmissionControl:
    """Decides on requests that no server can take at once.

    Parameters
    ----------
    view : FleetView
        Backend servers known to this instance.
    fair_shares : FairShares
        Usage and fair shares of the organisations.
    demand : ServiceDemand
        Recent requests for each service.
    share_log : ShareLog
        Counts what is refused.
    """

    def __init__(
        self,
        view: FleetView,
        fair_shares: FairShares,
        demand: ServiceDemand,
        share_log: ShareLog,
    ) -> None:
        self._view = view
        self._fair_shares = fair_shares
        self._demand = demand
        self._share_log = share_log

    def refuse_if_late(
        self,
        service: ServiceDescription,
        work: Work,
        queue: RequestQueue[Any],
        now_s: float,
    ) -> None:
        """Raise `Overloaded` if a request would wait for too long."""
        expected_s = self.expected_wait_s(service, work, queue, now_s)
        refusal = check_admission(work, expected_s, now_s, random.random())
        if refusal is None:
            return
        self.count_refused(service, work, refusal.reason)
        raise Overloaded(
            f"{refusal.reason}; expected wait: {expected_s:.3f} s",
            retry_after_s=refusal.retry_after_s,
        )

    def expected_wait_s(
        self,
        service: ServiceDescription,
        work: Work,
        queue: RequestQueue[Any],
        now_s: float,
    ) -> float:
        """Return the expected queueing time of a new request, by prefill rates.

        Ejected engines and engines that asked for a pause don't count; while all
        servers pause, it is at least the time until the first pause ends, and while all
        state limits, the time until these allow it. Otherwise 0 while no rate is known
        and for plain services.
        """
        usable = [
            state
            for state in self._view.states_of(service.name)
            if not state.is_ejected(now_s) and state.accepts_requests(now_s)
        ]
        own_usable = servers_for(usable, work)
        own_states = servers_for(self._view.states_of(service.name), work)
        pause_s = max(
            next_accepting_in_s(own_states, now_s),
            self._limits_allow_in_s(own_usable, work, queue, now_s),
        )
        if not service.is_engine:
            return pause_s
        mean_tokens = self._demand.mean_prompt_tokens(service.name)
        rate = sum(state.served_rate(mean_tokens) for state in usable)
        own_rate = sum(state.served_rate(mean_tokens) for state in own_usable)
        if own_rate <= 0.0:
            return pause_s
        wait_s = queue.prefill_wait_s(work, self._fair_shares, now_s, rate, own_rate)
        return max(pause_s, wait_s)

    def no_server(
        self, service: ServiceDescription, work: Work
    ) -> NoServer | VersionGone:
        """Count a refusal because no server may get requests; return its error."""
        left_s = work.deadline_at_s - boot_time_s()
        retry_after_s = retry_delay_s(NO_SERVER_RETRY_S, left_s, random.random())
        if work.version:
            self.count_refused(service, work, "version gone")
            return VersionGone(
                f"service {service.name} has no backend server of software version "
                f"{work.version} left",
                retry_after_s=retry_after_s,
            )
        self.count_refused(service, work, "no server")
        return NoServer(
            f"service {service.name} has no backend server available",
            retry_after_s=retry_after_s,
        )

    def count_refused(
        self, service: ServiceDescription, work: Work, reason: str
    ) -> None:
        """Count a refusal."""
        REFUSED.bind(reason=reason).add()
        if service.is_engine:
            self._share_log.record_refusal(work, boot_time_s())

    def _limits_allow_in_s(
        self,
        states: Sequence[ServerState],
        work: Work,
        queue: RequestQueue[Any],
        now_s: float,
    ) -> float:
        if not all(state.limit.is_in_force for state in states):
            return 0.0
        ahead = queue.requests_ahead(work.organisation, self._fair_shares, now_s)
        return limits_allow_in_s(states, ahead, now_s)
