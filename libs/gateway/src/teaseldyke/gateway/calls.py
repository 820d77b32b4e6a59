"""Handles callers' requests, from the header to the final answer."""

from __future__ import annotations

import json
import math
from functools import partial

import attrs
import trio

from teaseldyke.http import CallerAccount, CallerGone, CallerTooSlow, Request
from teaseldyke.placement import (
    STREAM_START_S,
    EventSizes,
    RequestIdentity,
    ServiceVersion,
    answer_time_s,
    bound_to,
    service_time_s,
    services_to_resume_at,
)
from teaseldyke.telemetry import counter, histogram, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    KeyedOrganisation,
    Route,
    RouteKind,
    RoutingTable,
    ServiceDescription,
    TeaseldykeError,
)

from .attempts import SendResult
from .bodies import HeldBody, RequestBodies
from .call import (
    Call,
    deadline_of,
    organisation_of,
    pick_service,
    time_limit_of,
    work_for_resumption,
    work_of,
)
from .caller_limits import CallerLimits
from .caller_organisations import CallerOrganisations
from .errors import (
    NotConfigured,
    Overloaded,
    RouteUnknown,
    ServerBroke,
    ServiceLeft,
    Stopping,
    TimedOut,
    VersionUnknown,
)
from .interfaces import CallFacts, Headers, Wire
from .relay import AnswerBuffers, Relay
from .sending import CALLERS_GONE, Sender, caller_gone
from .service_bulkhead import ServiceBulkhead
from .stream_memory import UNKNOWN_RETRY_S, StreamMemory
from .view import FleetView

CONFIGURATION_RETRY_S = 0.5  # retry-after before the first configuration
SERVICE_LEFT_RETRY_S = 1.0  # retry-after; a release may bring servers of the version
STOPPING_RETRY_S = 0.1  # retry-after; another instance can serve at once
RESUBMISSION_TIMEOUT_SHARE = 0.8  # of the longest caller time-out seen on a route

ANSWERS = counter("teaseldyke_answers_total", "Final answers, by route and status.")
ANSWER_TIME = histogram(
    "teaseldyke_answer_seconds",
    "Time from arrival to the end.",
)
ANSWERS_ENDED = counter(
    "teaseldyke_answers_ended_total",
    "Answers ended by this instance, by reason and whether a part had gone out.",
)
DEADLINES_PASSED = counter(
    "teaseldyke_deadlines_passed_total",
    "Requests ended at their deadline, by whose time-out it was, and whether the"
    " configuration in force then allowed more time.",
)
UNREAD_REFUSED = counter(
    "teaseldyke_unread_refused_total",
    "Refusals before a request was read, by code.",
)
UNREAD = histogram(
    "teaseldyke_unread_seconds",
    "Longest time that a request may have lain unread.",
).bind()


@attrs.frozen
class _TimeLimit:
    """When a request must be answered, and by whose time-out."""

    table: RoutingTable
    bound_by: str
    allowed_s: float
    deadline_at_s: float


@attrs.define(eq=False)
class _Running:
    """A request without a complete answer, and its call once it has been read."""

    request: Request
    body: HeldBody
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    call: Call | None = None
    limit: _TimeLimit | None = None


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
    memory : StreamMemory
        Knows at which software version streams go on.
    limits : CallerLimits
        Limits on what is held for callers.
    caller_account : CallerAccount
        Counts what is held for callers.

    Attributes
    ----------
    streams : int
        Streams whose answer is not complete.
    ends_at_s : float
        When a stopping process ends what runs, on the clock of `boot_time_s`; requests
        that would take longer are refused.
    accepts_streams : bool
        Whether new streams are accepted.
    caller_organisations : CallerOrganisations
        Which organisation each address sent its last request for.
    """

    def __init__(
        self,
        view: FleetView,
        sender: Sender,
        wire: Wire,
        memory: StreamMemory,
        limits: CallerLimits,
        caller_account: CallerAccount,
    ) -> None:
        self.streams = 0
        self.ends_at_s = math.inf
        self.accepts_streams = True
        self._view = view
        self._sender = sender
        self._wire = wire
        self._memory = memory
        self.caller_organisations = CallerOrganisations()
        self._bulkhead = ServiceBulkhead(caller_account)
        self._bodies = RequestBodies(limit_bytes=limits.bodies_bytes)
        self._buffers = AnswerBuffers(
            limit_bytes=limits.answers_bytes,
            guaranteed_bytes=limits.answer_guaranteed_bytes,
        )
        self._longest_timeout_s: dict[str, float] = {}
        self._event_sizes = EventSizes()
        self._running: set[_Running] = set()
        sender.may_begin = self._may_begin

    @property
    def running(self) -> int:
        """Requests whose answer is not complete."""
        return len(self._running)

    def end_unanswered(self) -> int:
        """Give requests without any answer their final one now; return their number.

        An answer that has begun goes on until the process ends.
        """
        unanswered = [
            running for running in self._running if not running.request.response_started
        ]
        for running in unanswered:
            running.scope.cancel()
        return len(unanswered)

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        running = _Running(request, HeldBody(self._bodies))
        self._running.add(running)
        arrived_at_s = boot_time_s()
        UNREAD.observe(max(0.0, arrived_at_s - request.unread_since_s))
        facts: CallFacts | None = None
        context: dict[str, object] = {}
        try:
            facts = self._wire.read_call(request.headers)
            with running.scope:
                await self._serve(running, facts, arrived_at_s, context)
            if running.scope.cancelled_caught:
                raise _stopped(running.call)
        except CallerGone as exc:
            _log_left(running, facts, exc, arrived_at_s)
            raise
        except TeaseldykeError as exc:
            context |= self._end_of_time(running, facts)
            await self._refuse(request, facts, exc, arrived_at_s, context)
        except trio.Cancelled:
            self._log_cancelled(request, facts, arrived_at_s, context)
            raise
        finally:
            self._running.discard(running)
            running.body.release()

    async def _serve(
        self,
        running: _Running,
        facts: CallFacts,
        arrived_at_s: float,
        context: dict[str, object],
    ) -> None:
        """Serve a request; put its route and organisation into the log's context."""
        request = running.request
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
        if organisation is not None:
            self.caller_organisations.record(request.caller, organisation.name)
        deadline_at_s = deadline_of(
            facts, route, min(arrived_at_s, request.unread_since_s)
        )
        running.limit = _TimeLimit(table, *time_limit_of(facts, route), deadline_at_s)
        body = await request.read_body(
            table.bounds.body_bytes,
            deadline_at_s - boot_time_s(),
            running.body.add,
        )
        service = pick_service(table, route.split)
        version = ""
        if is_resumed(route, facts):
            begun_at = await self._origin(facts, route, organisation, service)
            service = self._pick_service_to_resume_at(table, route, begun_at)
            version = begun_at.version
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
        work = bound_to(work, version)
        if is_resumed(route, facts) and facts.resumes_after is not None:
            work = work_for_resumption(
                work,
                facts.resumes_after,
                self._event_sizes.tokens_per_event(route.name),
            )
        context["begun"] = work.begun
        is_stream = route.kind is RouteKind.STREAMING
        call = running.call = Call(
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
        call.relay.on_begun = partial(self._record_begun, call)
        self._check_time_left(call, is_stream)
        self.streams += is_stream
        try:
            with self._bulkhead.enter(service.name):
                await self._run_call(call)
        finally:
            self.streams -= is_stream

    def _pick_service_to_resume_at(
        self, table: RoutingTable, route: Route, begun_at: ServiceVersion
    ) -> ServiceDescription:
        """Return a service that may go on with a stream; raises `ServiceLeft`."""
        versions = {
            name: {state.server.version for state in self._view.states_of(name)}
            for name, _ in route.split
        }
        split = services_to_resume_at(route.split, begun_at, versions)
        if not split:
            raise ServiceLeft(
                f"route {route.name!r} no longer leads to service"
                f" {begun_at.service!r}, and to no server of version"
                f" {begun_at.version!r}",
                retry_after_s=SERVICE_LEFT_RETRY_S,
            )
        return pick_service(table, split)

    async def _origin(
        self,
        facts: CallFacts,
        route: Route,
        organisation: KeyedOrganisation | None,
        service: ServiceDescription,
    ) -> ServiceVersion:
        """Return where a stream began; raises `VersionUnknown`."""
        origin = await self._memory.origin(
            facts.request_id.decode("latin-1"),
            organisation.name if organisation else "",
            facts.resumes,
            route,
            service.name,
            facts.caller_timeout_s,
        )
        if origin.begun_at is None:
            raise VersionUnknown(
                "the software version that began this stream is unknown",
                retry_after_s=UNKNOWN_RETRY_S,
            )
        return origin.begun_at

    def _record_begun(self, call: Call, server: AnnouncedServer) -> None:
        """Record the server that brings the first event of an answer."""
        if not call.route.resumable:
            return
        request_id: bytes | None = call.facts.request_id
        if is_resumed(call.route, call.facts):
            request_id = call.facts.resumes
        if request_id is None:
            return
        self._memory.record_begun(call.work.organisation, request_id, server)

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

    def _check_time_left(self, call: Call, is_stream: bool) -> None:
        """Raise `Stopping` if the process ends before the answer could be complete."""
        if self._may_begin(call) and (self.accepts_streams or not is_stream):
            return
        left_s = self.ends_at_s - boot_time_s()
        raise Stopping(
            f"this instance stops in {left_s:.1f} s", retry_after_s=STOPPING_RETRY_S
        )

    def _may_begin(self, call: Call) -> bool:
        """Return whether an answer that is begun now would be complete in time."""
        left_s = self.ends_at_s - boot_time_s()
        if left_s == math.inf:
            return True
        if call.route.kind is RouteKind.STREAMING:
            return left_s >= service_time_s(call.work) + STREAM_START_S
        return left_s >= answer_time_s(
            self._longest_latency_s(call.service.name),
            runs_once=not call.route.repeatable,
        )

    def _longest_latency_s(self, service: str) -> float:
        """Return the longest latency of a plain service lately, running ones included.

        0 if none is known.
        """
        latencies_s = [
            state.longest_latency_s for state in self._view.states_of(service)
        ]
        for running in self._running:
            call = running.call
            if call is None or not call.sends or call.service.name != service:
                continue
            if call.route.kind is not RouteKind.STREAMING:
                latencies_s.append(call.elapsed_s)
        return max(latencies_s, default=0.0)

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
            self._learn_event_size(call)
            self._log_end(call, result)
        if not scope.cancelled_caught or call.request.finished:
            return
        if gone:
            raise caller_gone(call)
        if call.possible_runs:
            raise TimedOut(f"no complete answer within {left_s:.3f} s")
        raise Overloaded(f"request not sent within {left_s:.3f} s")

    def _learn_event_size(self, call: Call) -> None:
        last_event_id = call.relay.last_event_id
        if last_event_id is None or call.facts.resumes_after is not None:
            return
        self._event_sizes.record_stream(
            call.route.name, call.work.output_tokens, last_event_id
        )

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

    def _log_cancelled(
        self,
        request: Request,
        facts: CallFacts | None,
        arrived_at_s: float,
        context: dict[str, object],
    ) -> None:
        """Log and count an answer that the end of the process breaks off."""
        request_id = facts.request_id if facts else None
        log_decision(
            "broken_off",
            id=request_id.decode("latin-1") if request_id else None,
            after_s=round(boot_time_s() - arrived_at_s, 4),
            cut=request.response_started,
            **self._configuration_in_force(),
            **context,
        )
        _count_ended("process_ended", request)

    def _configuration_in_force(self) -> dict[str, object]:
        """Return version and age of the current configuration, for logs."""
        table = self._view.table
        if table is None:
            return {}
        age_s = boot_time_s() - self._view.in_force_since_s
        return {"in_force": table.version, "in_force_s": round(age_s, 3)}

    def _end_of_time(
        self, running: _Running, facts: CallFacts | None
    ) -> dict[str, object]:
        """Count a deadline that has passed; return whose it was, for logs.

        A request keeps the time-out of the configuration that it was resolved with.
        """
        limit = running.limit
        if limit is None or facts is None or boot_time_s() < limit.deadline_at_s:
            return {}
        allowed_now_s: float | None = limit.allowed_s
        table = self._view.table
        if table is not None and table is not limit.table:
            path = running.request.raw_target.partition("?")[0]
            route = table.match(facts.host, path)
            allowed_now_s = time_limit_of(facts, route)[1] if route else None
        allows_more = allowed_now_s is not None and allowed_now_s > limit.allowed_s
        DEADLINES_PASSED.bind(
            bound_by=limit.bound_by, allows_more="yes" if allows_more else "no"
        ).add()
        return {
            "bound_by": limit.bound_by,
            "allowed_s": round(limit.allowed_s, 3),
            "allowed_now_s": None if allowed_now_s is None else round(allowed_now_s, 3),
        }

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
            closed_by=_closed_by(request),
            **self._configuration_in_force(),
            **context,
        )
        ANSWERS.bind(route="", status=str(error.status)).add()
        _count_ended(error.code, request)
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

    def record_unread(self, error: TeaseldykeError) -> None:
        """Count the refusal of a request that was not read."""
        ANSWERS.bind(route="", status=str(error.status)).add()
        UNREAD_REFUSED.bind(code=error.code).add()


def _closed_by(request: Request) -> str | None:
    """Return which side closes the connection of an answer that is cut."""
    if not request.response_started:
        return None
    return "caller" if request.has_caller_disconnected() else "instance"


def _log_left(
    running: _Running,
    facts: CallFacts | None,
    error: CallerGone,
    arrived_at_s: float,
) -> None:
    """Log a caller that a read or a write of its connection found gone."""
    call = running.call
    if isinstance(error, CallerTooSlow) or (call is not None and call.is_caller_gone):
        return
    CALLERS_GONE.bind(route=call.route.name if call else "").add()
    request_id = facts.request_id if facts else None
    log_decision(
        "caller_gone",
        id=request_id.decode("latin-1") if request_id else None,
        sends=call.sends if call else 0,
        reason=error.detail,
        cut=running.request.response_started,
        after_s=round(boot_time_s() - arrived_at_s, 4),
    )


def _count_ended(reason: str, request: Request) -> None:
    started = "yes" if request.response_started else "no"
    ANSWERS_ENDED.bind(reason=reason, started=started).add()


def is_resumed(route: Route, facts: CallFacts) -> bool:
    """Return whether a request resumes a stream that an earlier one has begun."""
    return route.resumable and facts.resumes_after is not None


def _stopped(call: Call | None) -> TeaseldykeError:
    """Return the error of a request that a stop ended before its answer."""
    if call is not None and call.possible_runs:
        return ServerBroke("this instance stops before the server has answered")
    return Stopping("this instance stops now", retry_after_s=STOPPING_RETRY_S)
