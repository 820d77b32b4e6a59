"""Serves callers' requests: from the header to the final answer."""

from __future__ import annotations

import json
import math
import random

import trio

from teaseldyke.http import (
    BackendPool,
    CallerGone,
    Request,
)
from teaseldyke.placement import (
    RetryBudget,
    Work,
    return_pause_s,
    service_time_s,
)
from teaseldyke.telemetry import counter, histogram, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    Route,
    RouteKind,
    TeaseldykeError,
)

from .attempts import PATIENT_S, Attempt, AttemptLimits, Outcome, Sent
from .beliefs import FleetBeliefs
from .call import (
    Call,
    address_of,
    organisation_of,
    pick_service,
    work_after_break,
    work_of,
)
from .errors import (
    NoServer,
    NotConfigured,
    Overloaded,
    RouteUnknown,
    ServerBroke,
    Stopping,
    TimedOut,
)
from .interfaces import CallFacts, Fleet, Headers, Wire
from .placing import FULL_PAUSE_S, Placing
from .relay import Relay
from .settings import FleetBounds

CONFIGURATION_WAIT_S = 0.5  # told to callers before the first configuration
STOPPING_PAUSE_S = 0.1  # another instance may take the request at once
STREAM_START_S = 1.0  # to the first event, late ones included
PLAIN_ANSWER_S = 0.8  # of a plain server, its longest work and a second send included
SENDS_MAX = 4  # of one request, those that a server turned away included
FIRST_EVENT_FACTOR = 3.0  # of the expected time to the first event
FIRST_EVENT_MIN_S = 1.5  # queues and long prompts delay a sound engine that long
PAUSE_MIN_S = 1.0  # between events of a sound engine under its longest prompts
PLAIN_FIRST_FACTOR = 6.0  # of the measured latency of a plain server
PLAIN_FIRST_MIN_S = 0.25  # the longest work of one in a hundred requests
RETURNED_PART = 0.8  # of the longest time that callers of a route state at first

ANSWERED = counter("teaseldyke_answers_total", "Final answers, by route and status.")
RESENT = counter("teaseldyke_resent_total", "Sends after the first, by cause.")
GONE = counter("teaseldyke_callers_gone_total", "Callers that left early.")
FIRST = histogram("teaseldyke_answer_seconds", "Time from arrival to the end.")
UNREAD_REFUSED = counter(
    "teaseldyke_unread_refused_total", "Refusals before a request was read, by code."
)
UNREAD = histogram(
    "teaseldyke_unread_seconds", "Longest time that a request may have lain unread."
).bind()


class CallHandler:
    """Answers callers.

    Parameters
    ----------
    beliefs : FleetBeliefs
        Configuration and backend servers.
    placing : Placing
        Brings requests to backend servers.
    pool : BackendPool
        Connections to them.
    wire : Wire
        Formats of requests and answers.
    bounds : FleetBounds
        Bounds of the whole fleet.
    fleet : Fleet
        Instances that share them.

    Attributes
    ----------
    running, streams : int
        Requests, and streams among them, that have no final answer yet.
    refused_unread : int
        Requests refused before they were read, since the last report.
    ends_at_s : float
        When the process ends; answers that take longer are not begun.
    takes_streams : bool
        Whether streams are begun at all.
    """

    def __init__(
        self,
        beliefs: FleetBeliefs,
        placing: Placing,
        pool: BackendPool,
        wire: Wire,
        bounds: FleetBounds,
        fleet: Fleet,
    ) -> None:
        self.running = 0
        self.streams = 0
        self.refused_unread = 0
        self.ends_at_s = math.inf
        self.takes_streams = True
        self._beliefs = beliefs
        self._placing = placing
        self._pool = pool
        self._wire = wire
        self._bounds = bounds
        self._fleet = fleet
        self._longest_patience_s: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def put_in_force(self, bounds: FleetBounds) -> None:
        """Replace the bounds of the whole fleet."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.slack = bounds.retry_slack
            budget.window_s = bounds.retry_window_s

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        self.running += 1
        arrived_at_s = boot_time_s()
        UNREAD.observe(max(0.0, arrived_at_s - request.unread_since_s))
        facts: CallFacts | None = None
        context: dict[str, object] = {}
        try:
            facts = self._wire.read_call(request.headers)
            await self._serve(request, facts, arrived_at_s, context)
        except CallerGone:
            raise
        except TeaseldykeError as exc:
            await self._refuse(request, facts, exc, arrived_at_s, context)
        finally:
            self.running -= 1

    async def _serve(
        self,
        request: Request,
        facts: CallFacts,
        arrived_at_s: float,
        context: dict[str, object],
    ) -> None:
        """Serve a request, and note what was found out of it for the log."""
        table = self._beliefs.table
        if table is None:
            raise NotConfigured(
                "no configuration has arrived yet", retry_after_s=CONFIGURATION_WAIT_S
            )
        route = table.match(facts.host, request.raw_target.partition("?")[0])
        if route is None:
            raise RouteUnknown(
                f"no route of version {table.version} matches host and path"
            )
        context["route"] = route.name
        context["version"] = table.version
        organisation = organisation_of(table, route, facts)
        context["organisation"] = organisation.name if organisation else None
        body = await request.read_body(table.bounds.body_bytes)
        service = pick_service(table, route)
        work = work_of(
            facts,
            route,
            organisation,
            arrived_at_s,
            returned=self._has_returned(route, facts),
        )
        is_stream = route.kind is RouteKind.STREAMING
        self._check_time_left(work, is_stream)
        call = Call(
            request,
            facts,
            route,
            service,
            organisation,
            body,
            work,
            Relay(request, self._wire),
            version=table.version,
        )
        self.streams += is_stream
        try:
            await self._bring(call)
        finally:
            self.streams -= is_stream

    def _has_returned(self, route: Route, facts: CallFacts) -> bool:
        """Return whether a caller has clearly less time than those that begin."""
        patience_s = facts.patience_s
        if patience_s is None:
            return False
        longest_s = max(patience_s, self._longest_patience_s.get(route.name, 0.0))
        self._longest_patience_s[route.name] = longest_s
        return patience_s < RETURNED_PART * longest_s

    def _check_time_left(self, work: Work, is_stream: bool) -> None:
        """Raise `Stopping` if the process ends before the answer could be whole."""
        left_s = self.ends_at_s - boot_time_s()
        needed_s = PLAIN_ANSWER_S
        if is_stream:
            needed_s = service_time_s(work) + STREAM_START_S
        if left_s >= needed_s and (self.takes_streams or not is_stream):
            return
        raise Stopping(
            f"this instance stops in {left_s:.1f} s", retry_after_s=STOPPING_PAUSE_S
        )

    async def _bring(self, call: Call) -> None:
        """Bring a call to its end, within its deadline and while its caller stays."""
        left_s = call.work.deadline_at_s - boot_time_s()
        gone = False
        scope = trio.CancelScope(deadline=trio.current_time() + left_s)

        def leave() -> None:
            nonlocal gone
            gone = True
            scope.cancel()

        with scope, call.request.on_disconnect(leave):
            await self._send_until_done(call)
        if not scope.cancelled_caught:
            return
        if gone:
            raise self._caller_gone(call)
        if call.ran:
            raise TimedOut(f"no whole answer within {left_s:.3f} s")
        raise Overloaded(f"not sent within {left_s:.3f} s")

    def _caller_gone(self, call: Call) -> CallerGone:
        """Note that a caller has left; return the error that ends its request."""
        GONE.bind(route=call.route.name).add()
        log_decision(
            "caller_gone",
            id=call.text_id,
            sends=call.sends,
            unread_s=call.unread_s,
            after_s=self._elapsed_s(call),
        )
        return CallerGone("caller closed its connection")

    async def _send_until_done(self, call: Call) -> None:
        budget = self._budget_of(call.service.name)
        budget.count_request(boot_time_s())
        while True:
            try:
                sent = await self._send(call)
            except TeaseldykeError as exc:
                if call.ran and exc.executed == "no":
                    raise ServerBroke(f"{call.ended}; then: {exc.detail}") from exc
                raise
            if sent.outcome is Outcome.DONE:
                self._log_end(call, sent)
                return
            call.ended = sent.detail
            self._settle(call, sent, budget)
            call.work = work_after_break(call.work, call.route, boot_time_s())
            RESENT.bind(cause=sent.outcome.value).add()

    async def _send(self, call: Call) -> Sent:
        # The watch of the connection looks at intervals, and the request may have
        # lain unread: the caller may have left before.
        if call.request.has_caller_left():
            raise self._caller_gone(call)
        placed = await self._placing.place(
            call.service, call.work, frozenset(call.avoid)
        )
        if call.request.has_caller_left():
            placed.end(None)
            raise self._caller_gone(call)
        server_id = placed.state.server.id
        now_s = boot_time_s()
        left_s = call.work.deadline_at_s - now_s
        if left_s <= 0.0:
            placed.end(None)
            raise Overloaded("the deadline passed before the request was sent")
        resumed_after = call.relay.last_event_id
        if resumed_after is None:
            resumed_after = call.facts.resumes_after
        outgoing = self._wire.outgoing(
            call.request.method,
            call.request.raw_target,
            call.request.headers,
            call.body,
            left_s=left_s,
            server_id=server_id,
            organisation=call.organisation.name if call.organisation else None,
            resumes_after=resumed_after,
            copy_from=address_of(placed.copy_from),
        )
        log_decision(
            "sent",
            id=call.text_id,
            server=server_id,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else None,
            version=call.version,
            unread_s=call.unread_s,
            waited_s=round(now_s - call.work.arrived_at_s, 4),
            servers_age_s=round(now_s - self._beliefs.servers_as_of_s, 3),
            totals_age_s=round(self._fleet.totals_age_s, 3),
            uncached_tokens=int(placed.uncached_tokens),
            expected_first_s=round(placed.first_s, 3),
            running=placed.state.running,
            copy_from=placed.copy_from.server.id if placed.copy_from else None,
            kept_tokens=call.work.prompt_tokens - int(placed.uncached_tokens),
            shared_tokens=call.work.shared_tokens,
            left_s=round(left_s, 3),
            send=call.sends,
        )
        call.sends += 1
        attempt = Attempt(
            self._pool,
            self._wire,
            placed,
            call.route,
            call.service,
            call.facts,
            call.relay,
            self._limits_of(call, placed.first_s, placed.state.latency_s),
        )
        call.avoid.add(server_id)
        call.ran += 1  # until the opposite is known, also when cancelled
        sent = await attempt.run(outgoing, resumed_after)
        if not attempt.sent or sent.outcome in (Outcome.NOT_RUN, Outcome.OTHER_SERVER):
            call.ran -= 1
        if sent.outcome is Outcome.NOT_RUN:
            placed.state.note_full(boot_time_s() + FULL_PAUSE_S)
        if sent.outcome is Outcome.OTHER_SERVER:
            placed.state.note_replaced(boot_time_s())
        return sent

    def _limits_of(self, call: Call, first_s: float, latency_s: float) -> AttemptLimits:
        """Return how long a send may stay silent; for ever if there is no other."""
        may_repeat = call.route.repeatable and call.ran + 1 < call.route.attempts_max
        if not may_repeat:
            return AttemptLimits()
        if call.service.is_engine:
            return AttemptLimits(
                max(FIRST_EVENT_MIN_S, FIRST_EVENT_FACTOR * first_s),
                max(PAUSE_MIN_S, 2.0 * call.route.event_gap_s),
                passes_failures=False,
            )
        return AttemptLimits(
            max(PLAIN_FIRST_MIN_S, PLAIN_FIRST_FACTOR * latency_s),
            PATIENT_S,
            passes_failures=False,
        )

    def _settle(self, call: Call, sent: Sent, budget: RetryBudget) -> None:
        """Return if the call is to be sent again; otherwise raise its end."""
        log_decision(
            "send_ended",
            id=call.text_id,
            outcome=sent.outcome.value,
            status=sent.status,
            reason=sent.detail,
            events=call.relay.events,
        )
        may_have_run = sent.outcome in (Outcome.BROKEN, Outcome.FAILED)
        if may_have_run and not call.route.repeatable:
            raise ServerBroke(sent.detail)
        if call.relay.started and call.route.kind is not RouteKind.STREAMING:
            raise ServerBroke(sent.detail)
        now_s = boot_time_s()
        spent_up = call.ran >= call.route.attempts_max or call.sends >= SENDS_MAX
        free = sent.outcome is Outcome.NOT_SENT
        if not spent_up and (free or budget.try_spend(now_s, self._fleet.instances)):
            return
        if call.ran:
            raise ServerBroke(sent.detail)
        left_s = call.work.deadline_at_s - now_s
        raise NoServer(
            sent.detail, retry_after_s=return_pause_s(0.0, left_s, random.random())
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

    def _log_end(self, call: Call, sent: Sent) -> None:
        elapsed_s = self._elapsed_s(call)
        ANSWERED.bind(route=call.route.name, status=str(sent.status)).add()
        FIRST.bind(service=call.service.name).observe(elapsed_s)
        log_decision(
            "answered",
            id=call.text_id,
            status=sent.status,
            after_s=elapsed_s,
            first_s=round(sent.first_s, 3),
            sends=call.sends,
        )

    @staticmethod
    def _elapsed_s(call: Call) -> float:
        return round(boot_time_s() - call.work.arrived_at_s, 4)

    async def _refuse(
        self,
        request: Request,
        facts: CallFacts | None,
        error: TeaseldykeError,
        arrived_at_s: float,
        context: dict[str, object],
    ) -> None:
        request_id = facts.request_id if facts else None
        log_decision(
            "refused" if error.executed == "no" else "failed",
            id=request_id.decode("latin-1") if request_id else None,
            status=error.status,
            code=error.code,
            reason=error.detail,
            retry_after_s=error.retry_after_s,
            after_s=round(boot_time_s() - arrived_at_s, 4),
            cut=request.response_started,
            **context,
        )
        ANSWERED.bind(route="", status=str(error.status)).add()
        if request.response_started:
            await request.abort()
            return
        status, headers, body = self.describe(error, request_id)
        await request.respond(status, body, headers)

    def describe(
        self, error: TeaseldykeError, request_id: bytes | None = None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer of the instance's own."""
        body = json.dumps({"code": error.code, "detail": error.detail}).encode()
        headers = self._wire.refusal_headers(request_id, error.retry_after_s)
        return error.status, headers, body

    def describe_unread(self, error: TeaseldykeError) -> tuple[int, Headers, bytes]:
        """Count a refusal of what was not read as a request; return its answer."""
        ANSWERED.bind(route="", status=str(error.status)).add()
        UNREAD_REFUSED.bind(code=error.code).add()
        self.refused_unread += 1
        return self.describe(error)
