"""One send of a request to a backend server."""

from __future__ import annotations

from enum import Enum

import attrs
import trio

from teaseldyke.http import (
    AnswerTooLarge,
    BackendPool,
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    OutgoingRequest,
    ServerConnection,
)
from teaseldyke.types import Route, RouteKind, ServiceDescription

from .interfaces import AnswerFacts, CallFacts, Headers, Wire
from .relay import PLAIN_ANSWER_MAX_BYTES, Relay, StreamBroken
from .reservation import Reservation

STREAM_ANSWER_MAX_BYTES = 256 * 1024 * 1024
KEEP_ALIVE_SHARE_REPEATABLE = (
    0.8  # of a server's keep-alive, after which a send may cross
)
KEEP_ALIVE_SHARE_ONCE = 0.5  # its end; requests that may run once keep well inside
DISCARD_MAX_BYTES = 64 * 1024  # of a failure's body; a new connection costs less
DISCARD_MAX_S = 0.05  # a body that belongs to a refusal arrives with its head
UNBOUNDED_S = 3600.0  # where only the request's deadline bounds a wait


class Outcome(Enum):
    """How a send ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    OTHER_SERVER = "other_server"
    FAILED = "failed"
    BROKEN = "broken"


@attrs.frozen
class SendResult:
    """The end of a send.

    Parameters
    ----------
    outcome : Outcome
        What is known.
    detail : str
        For logs and the answer.
    status : int
        Status of the server's answer; 0 without one.
    first_s : float
        From the send to the first event of a stream; 0 without one.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    first_s: float = 0.0


@attrs.frozen
class AttemptTimeouts:
    """How long a send may stay silent before the request goes elsewhere.

    Parameters
    ----------
    first_s : float
        Until the first byte of the body.
    idle_s : float
        Between two reads after it.
    forwards_errors : bool
        Whether an error of the server is its answer to the caller.
    """

    first_s: float = UNBOUNDED_S
    idle_s: float = UNBOUNDED_S
    forwards_errors: bool = True


@attrs.define(eq=False)
class Attempt:
    """Sends a request to its place and passes the answer on.

    Parameters
    ----------
    pool : BackendPool
        Connections to backend servers.
    wire : Wire
        Formats of requests and answers.
    reservation : Placed
        Where the request goes.
    route, service
        What was asked.
    facts : CallFacts
        The caller's header.
    relay : Relay
        Gets the answer.
    limits : AttemptLimits
        Of this send.
    """

    pool: BackendPool
    wire: Wire
    reservation: Reservation
    route: Route
    service: ServiceDescription
    facts: CallFacts
    relay: Relay
    limits: AttemptTimeouts
    sent: bool = False

    async def run(
        self, request: OutgoingRequest, resumed_after: int | None
    ) -> SendResult:
        """Send the request; the place is given up whatever happens."""
        failed: bool | None = None
        try:
            result = await self._run(request, resumed_after)
            failed = result.outcome in (
                Outcome.NOT_SENT,
                Outcome.FAILED,
                Outcome.BROKEN,
            )
            if result.outcome in (Outcome.NOT_RUN, Outcome.OTHER_SERVER):
                failed = None
            return result
        finally:
            self.reservation.end(failed)

    async def _run(
        self, request: OutgoingRequest, resumed_after: int | None
    ) -> SendResult:
        server = self.reservation.state.server
        once = not self.route.repeatable
        kept_part = KEEP_ALIVE_SHARE_ONCE if once else KEEP_ALIVE_SHARE_REPEATABLE
        try:
            connection = await self.pool.take(
                server.host, server.port, kept_part=kept_part
            )
        except ConnectFailed as exc:
            return SendResult(Outcome.NOT_SENT, exc.detail)
        streaming = self.route.kind is RouteKind.STREAMING
        limit = STREAM_ANSWER_MAX_BYTES if streaming else PLAIN_ANSWER_MAX_BYTES
        exchange = Exchange(connection, limit, self.limits.first_s, lenient=True)
        try:
            self.sent = True
            await exchange.start(request, self.limits.first_s)
            return await self._read(connection, exchange, resumed_after)
        except (ExchangeBroken, AnswerTooLarge) as exc:
            return SendResult(Outcome.BROKEN, exc.detail)
        finally:
            self.pool.give_back(connection, exchange)

    async def _read(
        self,
        connection: ServerConnection,
        exchange: Exchange,
        resumed_after: int | None,
    ) -> SendResult:
        status = exchange.status
        facts = self.wire.read_answer(status, exchange.headers)
        connection.kept_s = facts.keep_alive_s
        if facts.not_run or status == 421:
            await exchange.discard(DISCARD_MAX_BYTES, DISCARD_MAX_S)
            outcome = Outcome.OTHER_SERVER if status == 421 else Outcome.NOT_RUN
            return SendResult(outcome, f"server answered {status}, not run", status)
        fault = self._answer_fault(status, facts)
        if fault:
            exchange.complete = False
            return SendResult(Outcome.BROKEN, fault, status)
        if status >= 500 and not self.limits.forwards_errors:
            await exchange.discard(DISCARD_MAX_BYTES, DISCARD_MAX_S)
            return SendResult(Outcome.FAILED, f"server answered {status}", status)
        headers = self.wire.answer_headers(exchange.headers)
        if self.route.kind is RouteKind.STREAMING and status == 200:
            await self._forward_stream(exchange, headers, resumed_after)
        else:
            if self.relay.started:
                return SendResult(
                    Outcome.BROKEN, f"resumed stream got {status}", status
                )
            await self.relay.forward_whole(exchange, headers)
            if not self.service.is_engine and status < 500:
                self.reservation.record_answer()
        if status >= 500:
            self.reservation.end(True)
        return SendResult(
            Outcome.DONE, status=status, first_s=self.reservation.measured_first_s
        )

    def _answer_fault(self, status: int, facts: AnswerFacts) -> str:
        if facts.request_id is not None and facts.request_id != self.facts.request_id:
            return "the answer belongs to another request"
        if facts.is_encoded:
            return "the answer is in an encoding that nobody asked for"
        if 200 <= status < 300 and not facts.is_stamped:
            return "the answer lacks the server's signature"
        return ""

    async def _forward_stream(
        self, exchange: Exchange, headers: Headers, resumed_after: int | None
    ) -> None:
        expected_id = None if resumed_after is None else resumed_after + 1
        is_first_chunk = True
        event_due_s = trio.current_time() + self.limits.first_s
        async for data in exchange.chunks():
            if is_first_chunk:
                is_first_chunk = False
                self.reservation.record_first_event()
                exchange.idle_timeout_s = self.limits.idle_s
                await self.relay.start_stream(exchange, headers)
            now_s = trio.current_time()
            if await self.relay.forward_events(data, expected_id):
                expected_id = None
                event_due_s = now_s + self.limits.idle_s
            elif now_s > event_due_s:
                raise StreamBroken("bytes arrive, but no whole event in time")
        await self.relay.start_stream(exchange, headers)
        await self.relay.end_stream()
