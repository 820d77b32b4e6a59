"""A single attempt to send a request to a backend server."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from enum import Enum

import attrs
import trio

from teaseldyke.http import (
    AnswerBroken,
    AnswerTimedOut,
    AnswerTooLarge,
    BackendPool,
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    OutgoingRequest,
    ServerConnection,
)
from teaseldyke.placement import CrashEvidence
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, Route, RouteKind, ServiceDescription

from .errors import ChoiceLapsed
from .interfaces import AnswerFacts, CallFacts, Headers, Wire
from .relay import PLAIN_ANSWER_MAX_BYTES, Relay, StreamBroken
from .reservation import Reservation

STREAM_ANSWER_MAX_BYTES = 256 * 1024 * 1024
# Share of a server's keep-alive time for which an idle connection is reused. Near its
# end a send may cross the server's close; requests that may run only once stay well
# away from it.
KEEP_ALIVE_SHARE_REPEATABLE = 0.8
KEEP_ALIVE_SHARE_ONCE = 0.5
# Of an error body; beyond it, a new connection is cheaper.
DISCARD_MAX_BYTES = 64 * 1024
DISCARD_MAX_S = 0.05  # the body of a refusal arrives together with its head
# From the first event of a stream until its prompt counts as sound.
SOUND_AFTER_S = 0.25
UNBOUNDED_S = 3600.0  # no time-out but the request's deadline


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    EXPIRED = "expired"
    NOT_RUN = "not_run"
    OTHER_SERVER = "other_server"
    FAILED = "failed"
    BROKEN = "broken"


@attrs.frozen
class SendResult:
    """Result of an attempt.

    Parameters
    ----------
    outcome : Outcome
        How it ended.
    detail : str
        Reason, for logs and for the answer to the caller.
    status : int
        Status of the server's answer; 0 without one.
    first_event_s : float
        Time from the send to the first event of a stream; 0 without one.
    timed_out : bool
        Whether this instance gave the answer up, rather than the server.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    first_event_s: float = 0.0
    timed_out: bool = False


@attrs.frozen
class AttemptPolicy:
    """When an attempt is given up, so that the request can be retried.

    Parameters
    ----------
    first_byte_s : float
        Time-out for the first byte of the body.
    idle_s : float
        Time-out between two reads after it.
    forwards_errors : bool
        Whether a server's error status is passed to the caller rather than retried.
    """

    first_byte_s: float = UNBOUNDED_S
    idle_s: float = UNBOUNDED_S
    forwards_errors: bool = True


@attrs.define(eq=False)
class Attempt:
    """Sends a request to its reserved server and forwards the answer.

    Parameters
    ----------
    pool : BackendPool
        Connections to backend servers.
    wire : Wire
        Formats of requests and answers.
    reservation : Reservation
        Capacity held at the backend server.
    route, service
        Route and service of the request.
    facts : CallFacts
        What the caller's header states.
    relay : Relay
        Forwards the answer to the caller.
    policy : AttemptPolicy
        When this attempt is given up.
    evidence : CrashEvidence
        Learns which requests are answered.
    has_crashed : callable
        Finds out whether the server has crashed.
    is_repeated : bool
        Whether the server has got this request before. A faulty one may write its
        earlier answer again, which has the same id, so another connection is needed.

    Attributes
    ----------
    sent : bool
        Whether a connection was open, so that the server may have the request.
    is_proven : bool
        Whether the server has run the request, at least for a moment, and lives.
    is_trial : bool
        Whether the request is sent to find out if it still crashes servers.
    """

    pool: BackendPool
    wire: Wire
    reservation: Reservation
    route: Route
    service: ServiceDescription
    facts: CallFacts
    relay: Relay
    policy: AttemptPolicy
    evidence: CrashEvidence
    has_crashed: Callable[[], Awaitable[bool]]
    is_repeated: bool
    sent: bool = False
    is_proven: bool = attrs.field(default=False, init=False)
    is_trial: bool = attrs.field(default=False, init=False)
    _connection: ServerConnection | None = attrs.field(default=None, init=False)
    # As it was chosen; a later entry may state another software version.
    _server: AnnouncedServer = attrs.field(
        default=attrs.Factory(
            lambda self: self.reservation.state.server, takes_self=True
        ),
        init=False,
    )

    def abandon_unless_begun(self) -> None:
        """Reset the connection if no event has come, so that the server drops it."""
        if self._connection is None or self.reservation.measured_first_s:
            return
        self._connection.abort()

    async def run(
        self,
        prepare_request: Callable[[], OutgoingRequest],
        resumed_after: int | None,
    ) -> SendResult:
        """Send the request and release the reservation, whatever the outcome.

        Parameters
        ----------
        prepare_request : callable
            Returns the request, or raises if it must not be sent any more, or
            `ChoiceLapsed` if not to this server; called once a connection is open,
            right before the send.
        resumed_after : int or None
            Id of the last event before those that the answer must continue with.
        """
        failed: bool | None = None
        try:
            result = await self._run(prepare_request, resumed_after)
            failed = result.outcome in (
                Outcome.NOT_SENT,
                Outcome.FAILED,
                Outcome.BROKEN,
            )
            if result.outcome in (
                Outcome.NOT_RUN,
                Outcome.OTHER_SERVER,
                Outcome.EXPIRED,
            ):
                failed = None
            return result
        finally:
            self.reservation.release(failed)

    async def _run(
        self,
        prepare_request: Callable[[], OutgoingRequest],
        resumed_after: int | None,
    ) -> SendResult:
        server = self._server
        runs_once = not self.route.repeatable
        keep_alive_share = (
            KEEP_ALIVE_SHARE_ONCE if runs_once else KEEP_ALIVE_SHARE_REPEATABLE
        )
        try:
            connection = await self.pool.acquire(
                server.host,
                server.port,
                fresh=self.is_repeated,
                keep_alive_share=keep_alive_share,
            )
        except ConnectFailed as exc:
            return SendResult(Outcome.NOT_SENT, exc.detail)
        try:
            request = prepare_request()
        except ChoiceLapsed as exc:
            connection.close()
            return SendResult(Outcome.EXPIRED, exc.detail)
        except BaseException:
            connection.close()
            raise
        streaming = self.route.kind is RouteKind.STREAMING
        limit = STREAM_ANSWER_MAX_BYTES if streaming else PLAIN_ANSWER_MAX_BYTES
        exchange = Exchange(connection, limit, self.policy.first_byte_s, lenient=True)
        try:
            self.sent = True
            self._connection = connection
            await exchange.start(request, self.policy.first_byte_s)
            return await self._read(connection, exchange, resumed_after)
        except (ExchangeBroken, AnswerTooLarge) as exc:
            return SendResult(
                Outcome.BROKEN,
                exc.detail,
                exchange.status,
                timed_out=isinstance(exc, AnswerTimedOut),
            )
        finally:
            self._connection = None
            self.pool.release(connection, exchange)

    async def _read(
        self,
        connection: ServerConnection,
        exchange: Exchange,
        resumed_after: int | None,
    ) -> SendResult:
        status = exchange.status
        self.reservation.record_head()
        facts = self.wire.read_answer(status, exchange.headers)
        connection.keep_alive_s = facts.keep_alive_s
        self.reservation.record_statements(status, facts)
        if not self._is_own_answer(connection, facts):
            exchange.complete = False
            return SendResult(
                Outcome.BROKEN,
                "the answer carries another request's id, or none",
                status,
            )
        self.reservation.record_limit(status, facts)
        if facts.not_run or status == 421:
            await exchange.discard(DISCARD_MAX_BYTES, DISCARD_MAX_S)
            outcome = Outcome.OTHER_SERVER if status == 421 else Outcome.NOT_RUN
            return SendResult(
                outcome, f"server answered {status} without running the request", status
            )
        fault = self._answer_fault(status, facts)
        if fault:
            exchange.complete = False
            return SendResult(Outcome.BROKEN, fault, status)
        if status >= 500 and not self.policy.forwards_errors:
            self._record_survived()
            await exchange.discard(DISCARD_MAX_BYTES, DISCARD_MAX_S)
            return SendResult(Outcome.FAILED, f"server answered {status}", status)
        headers = self.wire.answer_headers(exchange.headers)
        if self.route.kind is RouteKind.STREAMING and status == 200:
            await self._forward_stream(exchange, headers, resumed_after)
        else:
            if self.relay.started:
                return SendResult(
                    Outcome.BROKEN,
                    f"server answered {status} to a resumed stream",
                    status,
                )
            body = await self.relay.buffers.read(exchange)
            await self._ensure_not_cut(exchange)
            await self.relay.request.respond(status, body, headers)
            if status < 400:
                self._record_sound(boot_time_s())
            else:
                self._record_survived()
            if not self.service.is_engine and status < 500:
                self.reservation.record_answer()
        if status >= 500:
            self.reservation.release(True)
        return SendResult(
            Outcome.DONE, status=status, first_event_s=self.reservation.measured_first_s
        )

    def _is_own_answer(self, connection: ServerConnection, facts: AnswerFacts) -> bool:
        """Return whether an answer belongs to this request.

        On a reused connection, a second copy of an earlier answer may come late. A
        refusal among them must not count as one of this request, which may run.
        """
        if facts.request_id is None:
            return not connection.used
        return facts.request_id == self.facts.request_id

    def _answer_fault(self, status: int, facts: AnswerFacts) -> str:
        if facts.is_encoded:
            return "the answer has a content encoding that was not requested"
        if 200 <= status < 300 and not facts.is_stamped:
            return "the answer lacks the server's signature"
        return ""

    async def _forward_stream(
        self, exchange: Exchange, headers: Headers, resumed_after: int | None
    ) -> None:
        expected_id = None if resumed_after is None else resumed_after + 1
        is_first_chunk = True
        event_due_s = trio.current_time() + self.policy.first_byte_s
        sound_at_s = math.inf
        async for data in exchange.chunks():
            now_s = trio.current_time()
            if now_s >= sound_at_s:
                sound_at_s = math.inf
                self._record_sound(boot_time_s())
            if is_first_chunk:
                is_first_chunk = False
                sound_at_s = now_s + SOUND_AFTER_S
                self.reservation.record_first_event()
                exchange.idle_timeout_s = self.policy.idle_s
                await self.relay.start_stream(exchange, headers)
            if await self.relay.forward_events(data, expected_id, self._server):
                expected_id = None
                event_due_s = now_s + self.policy.idle_s
            elif now_s > event_due_s:
                raise StreamBroken(
                    "bytes arrived, but no complete event before the time-out"
                )
        if is_first_chunk:
            if self.relay.started:
                # Nothing tells a stream that had only lost its end from one that an
                # engine didn't go on with, and the caller can resume it itself.
                raise StreamBroken("resumed stream ended without an event")
            if exchange.ends_with_connection:
                raise StreamBroken("stream without length ended before its first event")
            await self.relay.start_stream(exchange, headers)
        await self._ensure_not_cut(exchange)
        await self.relay.end_stream()
        self._record_sound(boot_time_s())

    async def _ensure_not_cut(self, exchange: Exchange) -> None:
        """Raise `AnswerBroken` if a crash ended a body that ends with its connection.

        The connections of a crashed process are closed like those of a complete answer.
        """
        if exchange.ends_with_connection and await self.has_crashed():
            raise AnswerBroken("server crashed at the end of an answer without length")

    def _record_sound(self, now_s: float) -> None:
        """Record that the server has begun to answer the request and lives."""
        self.is_proven = True
        work = self.reservation.work
        self.evidence.clear(work.parts, now_s, work.identity)

    def _record_survived(self) -> None:
        """Record that the server failed the request and lives."""
        self.is_proven = True
        self.evidence.clear((), boot_time_s(), self.reservation.work.identity)
