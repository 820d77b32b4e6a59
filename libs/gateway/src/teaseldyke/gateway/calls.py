"""Handles callers' requests, from the header to the final answer."""

from __future__ import annotations

import json
import math

import trio

from teaseldyke.http import CallerGone, Request
from teaseldyke.placement import RequestIdentity, Work, service_time_s
from teaseldyke.telemetry import counter, histogram, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import Route, RouteKind, TeaseldykeError

from .attempts import SendResult
from .call import Call, organisation_of, pick_service, work_of
from .errors import NotConfigured, Overloaded, RouteUnknown, Stopping, TimedOut
from .interfaces import CallFacts, Headers, Wire
from .relay import AnswerBuffers, Relay
from .sending import Sender, caller_gone
from .view import FleetView

CONFIGURATION_RETRY_S = 0.5  # retry-after before the first configuration
STOPPING_RETRY_S = 0.1  # retry-after; another instance can serve at once
STREAM_START_S = 1.0  # time to the first event of a stream, late ones included
PLAIN_ANSWER_S = 0.8  # longest processing time of a plain server and one retry
RESUBMISSION_TIMEOUT_SHARE = 0.8  # of the longest caller time-out seen on a route

ANSWERS = counter("teaseldyke_answers_total", "Final answers, by route and status.")
ANSWER_TIME = histogram(
    "teaseldyke_answer_seconds",
    "Time from arrival to the end.",
)
UNREAD_REFUSED = counter(
    "teaseldyke_unread_refused_total",
    "Refusals before a request was read, by code.",
)
UNREAD = histogram(
    "teaseldyke_unread_seconds",
    "Longest time that a request may have lain unread.",
).bind()


class CallHandler:
    """Answers callers' requests.

    Parameters
    ----------
    view : FleetView
        Configuration and backend servers.
    sender : Sender
        Sends requests to backend servers.
    wire : Wire
        Formats of requests and answers.

    Attributes
    ----------
    running, streams : int
        Requests, and streams among them, whose answer is not complete.
    ends_at_s : float
        When the process ends, on the clock of `boot_time_s`; requests that would take
        longer are refused.
    accepts_streams : bool
        Whether new streams are accepted.
    """

    def __init__(self, view: FleetView, sender: Sender, wire: Wire) -> None:
        self.running = 0
        self.streams = 0
        self.ends_at_s = math.inf
        self.accepts_streams = True
        self._view = view
        self._sender = sender
        self._wire = wire
        self._buffers = AnswerBuffers()
        self._longest_timeout_s: dict[str, float] = {}

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
        """Serve a request; put its route and organisation into the log's context."""
        table = self._view.table
        if table is None:
            raise NotConfigured(
                "no configuration received yet", retry_after_s=CONFIGURATION_RETRY_S
            )
        route = table.match(facts.host, request.raw_target.partition("?")[0])
        if route is None:
            raise RouteUnknown(
                f"no route matches host and path in version {table.version}"
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
            unread_since_s=request.unread_since_s,
            resubmitted=self._is_resubmission(route, facts),
            identity=RequestIdentity(
                organisation.name if organisation else "",
                request.method,
                facts.host,
                request.raw_target,
                body,
            ),
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
            Relay(request, self._wire, self._buffers),
            version=table.version,
        )
        self.streams += is_stream
        try:
            await self._run_call(call)
        finally:
            self.streams -= is_stream

    def _is_resubmission(self, route: Route, facts: CallFacts) -> bool:
        """Return whether a request appears to be resubmitted by its caller.

        A caller that states clearly less time than the longest seen on its route is
        taken to have spent the rest on earlier attempts.
        """
        caller_timeout_s = facts.caller_timeout_s
        if caller_timeout_s is None:
            return False
        longest_s = max(caller_timeout_s, self._longest_timeout_s.get(route.name, 0.0))
        self._longest_timeout_s[route.name] = longest_s
        return caller_timeout_s < RESUBMISSION_TIMEOUT_SHARE * longest_s

    def _check_time_left(self, work: Work, is_stream: bool) -> None:
        """Raise `Stopping` if the process ends before the answer could be complete."""
        left_s = self.ends_at_s - boot_time_s()
        needed_s = PLAIN_ANSWER_S
        if is_stream:
            needed_s = service_time_s(work) + STREAM_START_S
        if left_s >= needed_s and (self.accepts_streams or not is_stream):
            return
        raise Stopping(
            f"this instance stops in {left_s:.1f} s", retry_after_s=STOPPING_RETRY_S
        )

    async def _run_call(self, call: Call) -> None:
        """Send a call and end it at its deadline or when its caller disconnects."""
        left_s = call.work.deadline_at_s - boot_time_s()
        gone = False
        scope = trio.CancelScope(deadline=trio.current_time() + left_s)

        def on_caller_gone() -> None:
            nonlocal gone
            gone = True
            scope.cancel()

        with scope, call.request.on_disconnect(on_caller_gone):
            result = await self._sender.send_with_retries(call)
            self._log_end(call, result)
        if not scope.cancelled_caught:
            return
        if gone:
            raise caller_gone(call)
        if call.possible_runs:
            raise TimedOut(f"no complete answer within {left_s:.3f} s")
        raise Overloaded(f"request not sent within {left_s:.3f} s")

    def _log_end(self, call: Call, result: SendResult) -> None:
        elapsed_s = call.elapsed_s
        ANSWERS.bind(route=call.route.name, status=str(result.status)).add()
        ANSWER_TIME.bind(service=call.service.name).observe(elapsed_s)
        log_decision(
            "answered",
            id=call.text_id,
            status=result.status,
            after_s=elapsed_s,
            first_s=round(result.first_event_s, 3),
            sends=call.sends,
        )

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
        ANSWERS.bind(route="", status=str(error.status)).add()
        if request.response_started:
            await request.abort()
            return
        status, headers, body = self.describe(error, request_id)
        await request.respond(status, body, headers)

    def describe(
        self, error: TeaseldykeError, request_id: bytes | None = None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of this instance's answer to an error."""
        body = json.dumps({"code": error.code, "detail": error.detail}).encode()
        headers = self._wire.refusal_headers(request_id, error.retry_after_s)
        return error.status, headers, body

    def describe_unread(self, error: TeaseldykeError) -> tuple[int, Headers, bytes]:
        """Count the refusal of a request that was not read; return its answer."""
        ANSWERS.bind(route="", status=str(error.status)).add()
        UNREAD_REFUSED.bind(code=error.code).add()
        return self.describe(error)
