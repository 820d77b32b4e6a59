"""Forwards calls to backend servers, with retries and resumption of streams."""

from __future__ import annotations

import attrs
import trio

from teaseldyke.dispatch import Completion, Dispatching, Permit, PermitLapsed
from teaseldyke.http import (
    BackendPool,
    CallerGone,
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    OutgoingRequest,
    end_to_end_headers,
)
from teaseldyke.outcomes import (
    AttemptLapsed,
    AttemptState,
    Decision,
    FencedOff,
    RetryBudget,
    is_refusal_candidate,
    raise_if_fenced_off,
    retry_decision,
)
from teaseldyke.telemetry import Tracing, counter
from teaseldyke.types import TeaseldykeError

from .calls import Call
from .costs import CostMeter
from .errors import BackendUnreachable, DeadlinePassed, OutcomeUncertain
from .events import EventSplitter, EventTooLong
from .sink import EVENT_STREAM, Headers, Sink, content_type_of

ATTEMPTS_MAX = 4  # sends of one idempotent call, including the first
FIRST_BYTE_TIMEOUT_S = 120.0
IDLE_TIMEOUT_S = 60.0
# Output tokens between two updates of the cost charged for a running request.
CHARGE_INTERVAL_COST = 32.0
RETRY_AFTER_S = 1.0
RESUME_OFFSET = b"resume-offset"

# Caller headers that are not forwarded: credentials, headers for the router itself and
# headers that the router replaces.
DROPPED_REQUEST_HEADERS = frozenset(
    (
        b"authorization",
        b"x-request-id",
        b"fencing-number",
        b"content-length",
        b"expect",
        b"host",
        b"teaseldyke-organisation",
        b"traceparent",
        RESUME_OFFSET,
    )
)

RETRIES = counter("teaseldyke_retries_total", "Sends after the first, by cause.")
RESUMED = counter("teaseldyke_streams_resumed_total", "Streams resumed elsewhere.")


class AnswerIncomplete(ExchangeBroken):
    """A stream ended before its last event."""

    code = "answer_incomplete"


class ResumeRefused(TeaseldykeError):
    """A backend server did not resume a stream at the requested offset."""

    code = "resume_refused"
    status = 502


class ServerFailed(ExchangeBroken):
    """A backend server answered an idempotent request with a 5xx status."""

    code = "server_failed"


@attrs.define
class Progress:
    """How much of the response to a call was received, over all its attempts.

    Parameters
    ----------
    meter : CostMeter
        Measures the actual cost so far.
    splitter : EventSplitter
        Counts the complete events of a stream, which give its resume offset.
    streaming : bool
        Whether the response is an event stream.
    charged_cost : float
        Cost last charged to the permit while the request was running.
    """

    meter: CostMeter
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    streaming: bool = False
    charged_cost: float = 0.0


@attrs.define
class Forwarder:
    """Sends calls under permits and relays the responses to the callers.

    Parameters
    ----------
    dispatching : Dispatching
        Grants permits.
    pool : BackendPool
        Connection pool to the backend servers.
    retry_budget : RetryBudget
        Limits retries over all calls of this router.
    tracing : Tracing
        Records a span for each wait in the queue and one for each send.
    """

    dispatching: Dispatching
    pool: BackendPool
    retry_budget: RetryBudget
    tracing: Tracing

    async def forward(self, call: Call, sink: Sink) -> None:
        """Send a call and relay its response.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        TeaseldykeError
            The error to return to the caller, if no attempt succeeded.
        """
        try:
            await self._forward(call, sink)
        except CallerGone:
            raise
        except TeaseldykeError as exc:
            if call.sends == 0 or exc.executed != "no":
                raise
            # "Not executed" holds for the last attempt only; an earlier one was sent.
            raise OutcomeUncertain(
                "an earlier attempt was sent and returned no complete response; "
                f"the retry failed: {exc}",
                retry_after_s=exc.retry_after_s or RETRY_AFTER_S,
            ) from exc

    async def _forward(self, call: Call, sink: Sink) -> None:
        progress = Progress(CostMeter(call.service, call.estimate))
        avoid: frozenset[str] = frozenset()
        self.retry_budget.record_request()
        while True:
            permit = await self._acquire(call, avoid)
            try:
                await self._attempt(call, permit, sink, progress)
                return
            except PermitLapsed:
                continue
            except CallerGone:
                raise
            except TeaseldykeError as exc:
                self._retry_or_raise(call, sink, progress, exc)
            avoid |= {permit.server.name}

    async def _acquire(self, call: Call, avoid: frozenset[str]) -> Permit:
        with self.tracing.span("queue", call.span):
            return await self.dispatching.acquire(
                call.service.name,
                call.organisation.name,
                estimate_cost=call.estimate.cost,
                deadline_at_s=call.deadline_at_s,
                avoid=avoid,
                first_at_s=call.arrived_at_s,
            )

    async def _attempt(
        self, call: Call, permit: Permit, sink: Sink, progress: Progress
    ) -> None:
        """Send the call once; the permit is finished in every case."""
        completion = Completion.CANCELLED
        sends = call.sends
        try:
            await self._exchange(call, permit, sink, progress)
            completion = Completion.OK
        except (PermitLapsed, DeadlinePassed, AttemptLapsed):
            completion = Completion.UNUSED
            raise
        except ConnectFailed:
            completion = Completion.REFUSED
            raise
        except CallerGone:
            raise
        except TeaseldykeError:
            completion = Completion.FAILED
            raise
        finally:
            sent = call.sends > sends
            permit.finish(progress.meter.final_cost() if sent else 0.0, completion)

    async def _exchange(
        self, call: Call, permit: Permit, sink: Sink, progress: Progress
    ) -> None:
        server = permit.server
        request_id = backend_request_id(call, progress)
        headers = backend_headers(call, permit, progress, request_id)
        request = OutgoingRequest(call.method, call.target, headers, call.body)
        with self.tracing.span("send", call.span, backend_server=server.name) as span:
            if span.traceparent:
                headers.append((b"traceparent", span.traceparent.encode()))
            connection = await self.pool.acquire(
                server.host, server.port, fresh=not call.idempotent
            )
            try:
                self._check_before_send(call, permit)
            except TeaseldykeError:
                connection.close()
                raise
            async with self.pool.exchange_on(
                connection,
                request,
                request_id=request_id,
                answer_limit_bytes=call.service.answer_limit_bytes,
                first_byte_timeout_s=FIRST_BYTE_TIMEOUT_S,
                idle_timeout_s=IDLE_TIMEOUT_S,
            ) as exchange:
                await self._relay_response(call, exchange, permit, sink, progress)

    def _check_before_send(self, call: Call, permit: Permit) -> None:
        """Check permit, deadline and record immediately before sending.

        No other task runs between this check and the send, so the result cannot be
        out of date.
        """
        permit.check()
        if trio.current_time() > call.deadline_at_s:
            raise DeadlinePassed("the deadline passed before the request was sent")
        if call.before_send is not None:
            call.before_send()
        permit.mark_sent()
        call.sends += 1

    async def _relay_response(
        self,
        call: Call,
        exchange: Exchange,
        permit: Permit,
        sink: Sink,
        progress: Progress,
    ) -> None:
        if exchange.status >= 500 and self._may_retry(call, sink):
            raise ServerFailed(f"backend server answered with status {exchange.status}")
        if progress.splitter.event_count:
            check_resumed(exchange, progress.splitter.event_count)
        if call.service.checks_fencing and is_refusal_candidate(exchange.status):
            await self._relay_unless_fenced_off(call, exchange, sink, progress)
            return
        streaming = content_type_of(exchange.headers) == EVENT_STREAM
        progress.streaming = streaming
        sink.set_head(exchange.status, exchange.headers, buffered=not streaming)
        if streaming and exchange.status == 200:
            await self._relay_events(exchange, permit, sink, progress)
        else:
            async for chunk in exchange.chunks():
                progress.meter.feed(chunk)
                await sink.write(chunk)
        await sink.finish()

    async def _relay_unless_fenced_off(
        self, call: Call, exchange: Exchange, sink: Sink, progress: Progress
    ) -> None:
        """Relay a response unless it rejects the permit's fencing number."""
        body = await exchange.read()
        try:
            raise_if_fenced_off(exchange.status, body)
        except FencedOff:
            call.sends -= 1  # rejected before execution, so it does not count as sent
            raise
        sink.set_head(exchange.status, exchange.headers, buffered=True)
        progress.meter.feed(body)
        await sink.write(body)
        await sink.finish()

    async def _relay_events(
        self, exchange: Exchange, permit: Permit, sink: Sink, progress: Progress
    ) -> None:
        splitter = progress.splitter
        splitter.discard_partial()
        async for chunk in exchange.chunks():
            try:
                complete_events = splitter.feed(chunk)
            except EventTooLong as exc:
                raise AnswerIncomplete(exc.detail) from exc
            if not complete_events:
                continue
            progress.meter.feed(complete_events)
            cost = progress.meter.cost_so_far
            if cost - progress.charged_cost >= CHARGE_INTERVAL_COST:
                progress.charged_cost = cost
                permit.charge(cost)
            await sink.write(complete_events)
        if not splitter.done:
            raise AnswerIncomplete("the stream ended before its last event")

    def _may_retry(self, call: Call, sink: Sink) -> bool:
        if not call.idempotent or sink.started:
            return False
        return call.sends < ATTEMPTS_MAX

    def _retry_or_raise(
        self, call: Call, sink: Sink, progress: Progress, exc: TeaseldykeError
    ) -> None:
        """Return if the call is to be retried; otherwise raise its final error."""
        state = AttemptState(
            idempotent=call.idempotent,
            sent_before=call.sends > 0,
            answer_started=sink.started,
            resumable=progress.streaming,
            may_retry=call.sends < ATTEMPTS_MAX,
        )
        decision = retry_decision(exc, state)
        if decision in (Decision.RETRY_ELSEWHERE, Decision.RESUME):
            if self.retry_budget.try_spend():
                RETRIES.bind(cause=exc.code).add()
                if decision is Decision.RESUME:
                    RESUMED.bind(service=call.service.name).add()
                return
            decision = retry_decision(exc, attrs.evolve(state, may_retry=False))
        if isinstance(exc, DeadlinePassed | AttemptLapsed):
            raise exc
        if decision is Decision.FAIL_NOT_EXECUTED:
            raise BackendUnreachable(exc.detail, retry_after_s=RETRY_AFTER_S) from exc
        raise OutcomeUncertain(exc.detail, retry_after_s=RETRY_AFTER_S) from exc


def check_resumed(exchange: Exchange, offset: int) -> None:
    """Raise `ResumeRefused` unless a stream resumes at the offset, in events."""
    resumed_at = exchange.header("resume-offset")
    if exchange.status != 200 or resumed_at != str(offset):
        raise ResumeRefused(
            f"stream resumed with status {exchange.status} at {resumed_at!r}, "
            f"expected 200 at {offset}"
        )


def backend_request_id(call: Call, progress: Progress) -> str:
    """Return the request id for the next attempt; the backend server echoes it.

    Each retry has its own id, but a resumed stream keeps the id of the attempt
    that began it.
    """
    if progress.splitter.event_count:
        return call.stream_id
    call.stream_id = call.request_id
    if call.sends:
        call.stream_id = f"{call.request_id}-{call.sends}"
    return call.stream_id


def backend_headers(
    call: Call, permit: Permit, progress: Progress, request_id: str
) -> Headers:
    """Return the request headers for the backend server."""
    headers = [
        (name, value)
        for name, value in end_to_end_headers(call.headers)
        if name.lower() not in DROPPED_REQUEST_HEADERS
    ]
    headers.append((b"x-request-id", request_id.encode()))
    headers.append((b"teaseldyke-organisation", call.organisation.name.encode()))
    if call.service.checks_fencing:
        headers.append((b"fencing-number", str(permit.fencing).encode()))
    if progress.splitter.event_count:
        headers.append((RESUME_OFFSET, str(progress.splitter.event_count).encode()))
    return headers
