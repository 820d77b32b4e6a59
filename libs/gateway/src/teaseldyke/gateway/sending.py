"""Sends a call to backend servers, with retries, until one has answered it."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from functools import partial

import trio

from teaseldyke.http import BackendPool, CallerGone, OutgoingRequest
from teaseldyke.placement import (
    CrashEvidence,
    Patience,
    RetryBudget,
    engine_patience,
    lapse_reason,
    plain_patience,
    retry_delay_s,
    servers_for,
)
from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, RouteKind, TeaseldykeError

from .attempts import Attempt, Outcome, SendResult
from .call import Call, address_of, work_for_resend
from .crashes import BrokenSend, BrokenSends, CrashProbe, ensure_not_held
from .errors import ChoiceLapsed, NoServer, Overloaded, ServerBroke
from .interfaces import Fleet, Wire
from .placing import FULL_SERVER_BACKOFF_S, Placer
from .racing import SENDS_MAX, CallRace, SecondSends
from .reservation import Reservation
from .rollouts import Rollouts
from .send_log import log_send_cancelled, log_send_ended, log_suspect
from .settings import FleetBounds
from .view import FleetView

SUCCESSES = range(200, 300)  # statuses
UNANSWERED_BAD_S = 3.0  # without a first event, until a time-out counts as bad
DRAW_BYTES = 4

RESENT = counter("teaseldyke_resent_total", "Sends after the first, by cause.")
LIMITED_SENDS = counter(
    "teaseldyke_limited_sends_total",
    "Sends that count in the stated limit of a backend server, by server.",
)
CALLERS_GONE = counter(
    "teaseldyke_callers_gone_total",
    "Callers that left early.",
)


class Sender:
    """Places and sends calls, and retries those that may be repeated.

    Parameters
    ----------
    view : FleetView
        Configuration and backend servers.
    placer : Placer
        Assigns requests to backend servers.
    pool : BackendPool
        Connections to backend servers.
    wire : Wire
        Formats of requests and answers.
    bounds : FleetBounds
        Limits of the whole fleet, among them the retry budget.
    fleet : Fleet
        Instances that share these limits.
    evidence : CrashEvidence
        What crashed servers say of requests.
    rollouts : Rollouts
        Assigns requests to software versions, and counts their answers.
    """

    def __init__(
        self,
        view: FleetView,
        placer: Placer,
        pool: BackendPool,
        wire: Wire,
        bounds: FleetBounds,
        fleet: Fleet,
        evidence: CrashEvidence,
        rollouts: Rollouts,
    ) -> None:
        self._rollouts = rollouts
        self._view = view
        self._placer = placer
        self._pool = pool
        self._wire = wire
        self._bounds = bounds
        self._fleet = fleet
        self._evidence = evidence
        # Whether an answer that is begun now would be complete in time.
        self.may_begin: Callable[[Call], bool] = lambda _call: True
        self._attempts: set[Attempt] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self._probe = CrashProbe()
        self._broken = BrokenSends()
        self._second_sends = SecondSends(
            placer,
            fleet,
            self._probe,
            self._send_to,
            lambda call: self.may_begin(call),
            lambda call, work: rollouts.assign(call.service.name, work),
        )

    async def run(self) -> None:
        """Send calls of silent servers to others, until cancelled."""
        await self._second_sends.run()

    def update_bounds(self, bounds: FleetBounds) -> None:
        """Replace the fleet's limits, also in retry budgets that are in use."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.slack = bounds.retry_slack
            budget.window_s = bounds.retry_window_s

    async def send_with_retries(self, call: Call) -> SendResult:
        """Send a call until an attempt delivers the complete answer; return its result.

        Raises
        ------
        TeaseldykeError
            If no attempt does; ``executed`` says whether a server may have run it.
        CallerGone
            If the caller disconnected before a send.
        """
        budget = self._budget_of(call.service.name)
        budget.count_request(boot_time_s())
        while True:
            try:
                result = await self._send(call, CallRace(call, budget))
            except TeaseldykeError as exc:
                if call.possible_runs and exc.executed == "no":
                    raise ServerBroke(
                        f"{call.last_failure}; retry failed: {exc.detail}"
                    ) from exc
                raise
            if result.outcome is Outcome.DONE:
                return result
            call.last_failure = result.detail
            self._retry_or_raise(call, result, budget)
            call.work = work_for_resend(call.work, call.route, boot_time_s())
            RESENT.bind(cause=result.outcome.value).add()

    async def _send(self, call: Call, race: CallRace) -> SendResult:
        """Send a call to a server, and to others beside it while that one is silent."""
        _ensure_wanted(call)
        call.bind_to_version()
        call.work = self._rollouts.assign(call.service.name, call.work)
        reservation = await self._placer.place(
            call.service, call.work, frozenset(call.avoid)
        )
        if not _may_follow(call):
            return await self._send_to(call, race, reservation)
        return await self._second_sends.send(
            race, lambda: self._send_to(call, race, reservation)
        )

    async def _send_to(
        self, call: Call, race: CallRace, reservation: Reservation
    ) -> SendResult:
        """Send a call to a reserved server."""
        server = reservation.state.server
        resumed_after = call.relay.last_event_id
        if resumed_after is None:
            resumed_after = call.facts.resumes_after

        def prepare_request() -> OutgoingRequest:
            left_s = _ensure_wanted(call)
            if attempt.is_superseded:
                raise ChoiceLapsed("another server is ahead")
            ensure_not_held(self._evidence, call.work)
            self._ensure_choice_holds(reservation)
            attempt.is_trial = self._evidence.record_send(
                call.work.identity, boot_time_s()
            )
            self._log_sent(call, reservation, left_s)
            return self._wire.outgoing(
                call.request.method,
                call.request.raw_target,
                call.request.headers,
                call.body,
                left_s=left_s,
                server_id=server.id,
                organisation=call.organisation.name if call.organisation else None,
                resumes_after=resumed_after,
                copy_from=address_of(reservation.copy_from),
            )

        call.sends += 1
        attempt = Attempt(
            self._pool,
            self._wire,
            reservation,
            call.route,
            call.service,
            call.facts,
            call.relay,
            race.attempts,
            _patience(call, reservation),
            _draw_of(call.facts.request_id),
            not _may_follow(call),
            self._evidence,
            lambda: self._probe.has_crashed(server),
            (server.host, server.port) in call.addresses,
            call.silent_since_s,
        )
        if self._rollouts.is_active(call.service.name):
            attempt.on_paced = partial(self._count_stream, call, server)
        call.addresses.add((server.host, server.port))
        call.avoid.add(server.id)
        call.possible_runs += 1  # until ruled out
        self._attempts.add(attempt)
        race.attempts.running.append(attempt)
        try:
            result = await attempt.run(prepare_request, resumed_after)
        except trio.Cancelled:
            log_send_cancelled(call, attempt)
            self._count_unanswered(call, attempt)
            raise
        finally:
            self._attempts.discard(attempt)
            race.attempts.leave(attempt)
            if not attempt.sent:
                call.possible_runs -= 1
                reservation.take_back_from_limit()
        if result.outcome in (Outcome.NOT_RUN, Outcome.OTHER_SERVER):
            call.possible_runs -= 1
        if result.outcome is Outcome.NOT_RUN:
            reservation.state.mark_full(boot_time_s() + FULL_SERVER_BACKOFF_S)
        if result.outcome is Outcome.OTHER_SERVER:
            reservation.state.mark_replaced(boot_time_s())
        must_not_repeat = await self._must_not_repeat(call, attempt, result)
        self._count_answer(call, attempt, result)
        if result.outcome is not Outcome.DONE:
            log_send_ended(call, attempt, result)
        if must_not_repeat:
            raise ServerBroke(f"the server crashed under it: {result.detail}")
        return result

    def _count_stream(
        self, call: Call, server: AnnouncedServer, event_s: float
    ) -> None:
        """Count a stream in a roll-out by its time for each event."""
        is_slow = self._rollouts.record_time(server, call.route.name, event_s)
        self._rollouts.record(server, call.route.name, is_bad=is_slow)

    def _count_answer(self, call: Call, attempt: Attempt, result: SendResult) -> None:
        """Count the end of an attempt in a roll-out."""
        if not self._rollouts.is_active(call.service.name):
            return
        server = attempt.reservation.state.server
        route = call.route.name
        is_bad = result.outcome in (Outcome.FAILED, Outcome.BROKEN) or (
            result.outcome is Outcome.DONE and result.status >= 500
        )
        is_stream = call.route.kind is RouteKind.STREAMING
        if result.outcome is Outcome.DONE and not is_stream and not is_bad:
            elapsed_s = boot_time_s() - attempt.reservation.sent_at_s
            is_bad = self._rollouts.record_time(server, route, elapsed_s)
        elif not is_bad:
            return
        crashed = result.outcome is Outcome.BROKEN and self._probe.is_crashed(server)
        self._rollouts.record(server, route, is_bad=is_bad, crashed=crashed)

    def _count_unanswered(self, call: Call, attempt: Attempt) -> None:
        """Count an attempt in a roll-out that was ended while its server was silent."""
        if not attempt.sent or not self._rollouts.is_active(call.service.name):
            return
        reservation = attempt.reservation
        waited_s = boot_time_s() - reservation.sent_at_s
        if not attempt.has_begun and waited_s >= UNANSWERED_BAD_S:
            self._rollouts.record(
                reservation.state.server, call.route.name, is_bad=True
            )

    def abandon_held(self) -> None:
        """Take back held requests that no server has begun to answer."""
        for attempt in self._attempts:
            if attempt.is_trial:
                continue
            work = attempt.reservation.work
            if self._evidence.refused_suspect(work) is not None:
                attempt.abandon_unless_begun()

    async def _must_not_repeat(
        self, call: Call, attempt: Attempt, result: SendResult
    ) -> bool:
        """Return whether a broken request may crash other servers.

        If its server crashed before it had answered, the request and the parts of its
        prompt are accused.
        """
        if result.outcome is not Outcome.BROKEN or attempt.is_proven:
            return False
        reservation = attempt.reservation
        was_about_to_begin = (
            result.status in SUCCESSES and not reservation.measured_first_s
        )
        if result.timed_out and not was_about_to_begin:
            return False
        broken_at_s = boot_time_s()
        server = reservation.state.server
        crash = f"{server.id}:{server.started}"
        parts, identity = call.work.parts, call.work.identity
        is_sequel = call.crashes > 0

        def may_repeat() -> bool:
            return self._evidence.may_repeat(
                parts, boot_time_s(), identity, has_begun=was_about_to_begin
            )

        def accuse() -> None:
            self._evidence.accuse(
                crash,
                parts,
                broken_at_s,
                boot_time_s(),
                identity,
                has_begun=was_about_to_begin,
                is_sequel=is_sequel,
            )
            call.crashes += 1
            log_suspect(call, attempt, crash, result, may_repeat())

        with trio.CancelScope(shield=True):  # bounded by the probe's time-out
            crashed = await self._probe.has_crashed(server)
        if not crashed and not self._view.has_restarted(server):
            self._broken.add(BrokenSend(server, broken_at_s, accuse))
            return False
        accuse()
        self.abandon_held()
        return not may_repeat()

    def accuse_restarted(self) -> None:
        """Accuse requests of crashes that only the listing tells of.

        Called at intervals.
        """
        if self._broken.accuse_restarted(self._view.has_restarted, boot_time_s()):
            self.abandon_held()

    def _ensure_choice_holds(self, reservation: Reservation) -> None:
        """Raise `ChoiceLapsed` if the chosen server must not get requests any more."""
        state = reservation.state
        states = self._view.states_of(state.server.service)
        reason = lapse_reason(
            state,
            is_usable=state in servers_for(states, reservation.work),
            chosen_at_s=reservation.sent_at_s,
            now_s=boot_time_s(),
        )
        if not reason and not reservation.ensure_counted_in_limit():
            reason = f"server {state.server.id} stated a limit after it had been chosen"
        if reason:
            raise ChoiceLapsed(reason)
        if reservation.counts_in_limit:
            LIMITED_SENDS.bind(server=state.server.id).add()

    def _log_sent(self, call: Call, reservation: Reservation, left_s: float) -> None:
        """Log a send right before its first byte."""
        copy_from = reservation.copy_from
        now_s = boot_time_s()
        log_decision(
            "sent",
            id=call.text_id,
            server=reservation.state.server.id,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else None,
            version=call.version,
            unread_s=call.unread_s,
            waited_s=round(reservation.sent_at_s - call.work.arrived_at_s, 4),
            connect_s=round(now_s - reservation.sent_at_s, 4),
            servers_age_s=round(now_s - self._view.servers_as_of_s, 3),
            totals_age_s=round(self._fleet.totals_age_s, 3),
            uncached_tokens=int(reservation.uncached_tokens),
            expected_first_s=round(reservation.expected_first_s, 3),
            running=reservation.state.running,
            copy_from=copy_from.server.id if copy_from else None,
            kept_tokens=call.work.prompt_tokens - int(reservation.uncached_tokens),
            shared_tokens=call.work.shared_tokens,
            left_s=round(left_s, 3),
            limit_per_s=reservation.state.limit.per_s,
            own_limit_per_s=round(reservation.state.limit.own_per_s, 3),
            send=call.sends - 1,
            begun=call.work.begun,
            bound_to=call.work.version or None,
            software=reservation.state.server.version,
        )

    def _retry_or_raise(
        self, call: Call, result: SendResult, budget: RetryBudget
    ) -> None:
        """Return if the call is to be retried; otherwise raise its final error."""
        may_have_run = result.outcome in (Outcome.BROKEN, Outcome.FAILED)
        if may_have_run and not call.route.repeatable:
            raise ServerBroke(result.detail)
        if call.relay.started and call.route.kind is not RouteKind.STREAMING:
            raise ServerBroke(result.detail)
        now_s = boot_time_s()
        is_exhausted = (
            call.possible_runs >= call.route.attempts_max
            or call.sends >= SENDS_MAX
            or not self.may_begin(call)
        )
        free = result.outcome in (Outcome.NOT_SENT, Outcome.EXPIRED)
        if not is_exhausted and (
            free or budget.try_spend(now_s, self._fleet.instances)
        ):
            return
        if call.possible_runs:
            raise ServerBroke(result.detail)
        left_s = call.work.deadline_at_s - now_s
        pause_s = self._placer.next_accepting_in_s(call.service.name, call.work)
        raise NoServer(
            result.detail,
            retry_after_s=retry_delay_s(pause_s, left_s, random.random()),
        )

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_s,
            )
        return budget


def _ensure_wanted(call: Call) -> float:
    """Return the time left of a request whose caller still waits for the answer.

    The connection is polled for a disconnect only at intervals, and timers are late in
    a process that was paused, so both are checked again before each use.

    Raises
    ------
    CallerGone
        If the caller disconnected.
    Overloaded
        If the deadline passed.
    """
    if call.request.has_caller_disconnected():
        raise caller_gone(call)
    left_s = call.work.deadline_at_s - boot_time_s()
    if left_s <= 0.0:
        raise Overloaded("the deadline passed before the request was sent")
    return left_s


def _may_follow(call: Call) -> bool:
    """Return whether another send may follow the next one, or go beside it."""
    return call.route.repeatable and call.possible_runs + 1 < call.route.attempts_max


def _draw_of(request_id: bytes) -> float:
    """Return a number from 0 to 1 that depends on a request only."""
    digest = hashlib.blake2b(request_id, digest_size=DRAW_BYTES).digest()
    return int.from_bytes(digest, "big") / 256.0**DRAW_BYTES


def _patience(call: Call, reservation: Reservation) -> Patience:
    """Return how long a call's server may be silent before others get the call."""
    if call.service.is_engine:
        return engine_patience(reservation.expected_first_s, call.route.event_gap_s)
    is_stream = call.route.kind is RouteKind.STREAMING
    event_gap_s = call.route.event_gap_s if is_stream else None
    return plain_patience(reservation.state.latency_s, event_gap_s)


def caller_gone(call: Call) -> CallerGone:
    """Log and count a caller's disconnect; return the error that ends its request."""
    CALLERS_GONE.bind(route=call.route.name).add()
    call.is_caller_gone = True
    log_decision(
        "caller_gone",
        id=call.text_id,
        sends=call.sends,
        unread_s=call.unread_s,
        after_s=call.elapsed_s,
    )
    return CallerGone("caller closed its connection")
