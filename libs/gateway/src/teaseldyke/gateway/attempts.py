"""A single attempt to send a request to a backend server."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from enum import Enum

import attrs

from teaseldyke.http import (
    AnswerBroken,
    AnswerTooLarge,
    BackendPool,
    ConnectFailed,
    Exchange,
    ExchangeBroken,
    OutgoingRequest,
    ServerConnection,
)
from teaseldyke.placement import CrashEvidence, Patience, Silence
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, Route, RouteKind, ServiceDescription

from .connection_use import ConnectionUse
from .errors import ChoiceLapsed
from .interfaces import AnswerFacts, CallFacts, Headers, Wire
from .race import Race
from .relay import PLAIN_ANSWER_MAX_BYTES, EventSplitter, Relay, StreamBroken
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
# From the first event of a stream until its pace is known; the events of a slow server
# come some 0.1 s apart.
PACE_AFTER_S = 0.4
# From the first event of a stream until its prompt counts as sound.
SOUND_AFTER_S = 0.25
UNBOUNDED_S = 3600.0  # no time-out but the request's deadline
# Statuses other than 421 that tell a caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 429, 503})


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    EXPIRED = "expired"
    NOT_RUN = "not_run"
    OTHER_SERVER = "other_server"
    FAILED = "failed"
    BROKEN = "broken"
    SUPERSEDED = "superseded"


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
        Whether this instance gave the answer up, as its silent server has crashed.
    """

    outcome: Outcome
    detail: str = ""
    status: int = 0
    first_event_s: float = 0.0
    timed_out: bool = False


class Superseded(ExchangeBroken):
    """Another attempt of the same call is ahead of this one."""

    code = "superseded"


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
    race : Race
        Attempts of the same call that run at the same time.
    patience : Patience
        Silences after which the call may be sent to a second server.
    draw : float
        From 0 to 1; spreads the second sends of requests that share a silence.
    forwards_errors : bool
        Whether a server's error status is passed to the caller rather than retried.
    evidence : CrashEvidence
        Learns which requests are answered.
    has_crashed : callable
        Finds out whether the server has crashed.
    is_repeated : bool
        Whether the server has got this request before. A faulty one may write its
        earlier answer again, which has the same id, so another connection is needed.
    proven_since_s : float
        Time since which a connection must have worked to be reused.

    Attributes
    ----------
    sent : bool
        Whether a connection was open, so that the server may have the request.
    is_proven : bool
        Whether the server has run the request, at least for a moment, and lives.
    is_trial : bool
        Whether the request is sent to find out if it still crashes servers.
    on_paced : callable
        Called once with the time for each event of a stream after the first, in
        seconds, when enough of them have come or at its end.
    connection : ConnectionUse or None
        How its connection was used; ``None`` until one is open.
    """

    pool: BackendPool
    wire: Wire
    reservation: Reservation
    route: Route
    service: ServiceDescription
    facts: CallFacts
    relay: Relay
    race: Race[Attempt]
    patience: Patience
    draw: float
    forwards_errors: bool
    evidence: CrashEvidence
    has_crashed: Callable[[], Awaitable[bool]]
    is_repeated: bool
    proven_since_s: float = 0.0
    sent: bool = False
    is_proven: bool = attrs.field(default=False, init=False)
    is_trial: bool = attrs.field(default=False, init=False)
    on_paced: Callable[[float], None] | None = attrs.field(default=None, init=False)
    is_superseded: bool = attrs.field(default=False, init=False)
    connection: ConnectionUse | None = attrs.field(default=None, init=False)
    _silence: Silence | None = attrs.field(default=None, init=False)
    _silence_counted: bool = attrs.field(default=False, init=False)
    _has_part_of_event: bool = attrs.field(default=False, init=False)
    _given_up: str = attrs.field(default="", init=False)
    _connection: ServerConnection | None = attrs.field(default=None, init=False)
    # As it was chosen; a later entry may state another software version.
    _server: AnnouncedServer = attrs.field(
        default=attrs.Factory(
            lambda self: self.reservation.state.server, takes_self=True
        ),
        init=False,
    )

    @property
    def has_begun(self) -> bool:
        """Whether the first bytes of a stream's events have come."""
        return self.reservation.measured_first_s > 0.0

    @property
    def is_about_to_begin(self) -> bool:
        """Whether the header of the answer has come, and nothing after it."""
        return self.reservation.measured_head_s > 0.0 and not self.has_begun

    def silent_for_s(self, now_s: float) -> float:
        """Return how long the attempt has been waiting for its server."""
        return 0.0 if self._silence is None else now_s - self._silence.since_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether its server's silence calls for a second server now.

        What lies unread, in an instance that is late itself, breaks the silence, unless
        what was read of it so far is no whole event.
        """
        if self._silence is None or self._connection is None:
            return False
        state = self.reservation.state
        self._silence.running = max(self._silence.running, state.own_load.running)
        if not self._silence.is_due(now_s, state.activity):
            return False
        return self._has_part_of_event or self._connection.is_idle()

    def count_silence(self) -> None:
        """Count a silence against its server, once."""
        if self._silence_counted:
            return
        self._silence_counted = True
        self.reservation.state.record_outcome(True, boot_time_s())

    def supersede(self) -> None:
        """End the attempt at once, since another one is ahead."""
        self._report_silence()
        self.is_superseded = True
        if self._connection is not None:
            self._connection.abort()

    def give_up(self, reason: str) -> None:
        """End the attempt, as its server has crashed without a word."""
        self._given_up = reason
        if self._connection is not None:
            self._connection.abort()

    def abandon_unless_begun(self) -> None:
        """Reset the connection if no event has come, so that the server drops it."""
        if self._connection is None or self.has_begun:
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
                Outcome.SUPERSEDED,
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
                proven_since_s=self.proven_since_s,
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
        exchange = Exchange(connection, limit, UNBOUNDED_S, lenient=True)
        try:
            self.sent = True
            self._connection = connection
            self.connection = ConnectionUse.begin(connection, boot_time_s())
            self._wait_for(self.patience.first_wait)
            await exchange.start(request, UNBOUNDED_S)
            return await self._read(connection, exchange, resumed_after)
        except (ExchangeBroken, AnswerTooLarge) as exc:
            if self.is_superseded:
                exchange.complete = False
                detail = "another server is ahead"
                return SendResult(Outcome.SUPERSEDED, detail, exchange.status)
            return SendResult(
                Outcome.BROKEN,
                self._given_up or exc.detail,
                exchange.status,
                timed_out=bool(self._given_up),
            )
        finally:
            silent_s = self.silent_for_s(boot_time_s())
            if not exchange.complete:
                self._report_silence()
            self._connection = None
            self._silence = None
            self.pool.release(connection, exchange)
            if self.connection is not None:
                self.connection.end(connection, silent_s)

    def _report_silence(self) -> None:
        """Close idle connections if this reused one ends in a silence.

        Bytes that lie unread, in an instance that is late itself, break the silence.
        """
        connection = self._connection
        if self._silence is None or connection is None or not connection.used:
            return
        deadline_at_s = self.reservation.work.deadline_at_s
        if not self._silence.casts_doubt_on_connections(boot_time_s(), deadline_at_s):
            return
        if connection.is_idle():
            self.pool.close_older(
                connection.host, connection.port, self._silence.since_s
            )

    def _wait_for(self, wait: Callable[[float], tuple[float, float]]) -> None:
        """Begin to wait for the server's next word."""
        now_s = boot_time_s()
        patience_s, spread_s = wait(self.reservation.work.deadline_at_s - now_s)
        self._silence = Silence(
            now_s,
            patience_s,
            spread_s,
            self.draw,
            self.reservation.state.own_load.running,
        )

    def _take_lead(self) -> None:
        """End the other attempts of the call, right before a part is forwarded.

        Raises
        ------
        Superseded
            If another one was ahead.
        """
        if not self.race.lead(self):
            self.is_superseded = True
            raise Superseded("another server is ahead")
        self._silence = None

    async def _read(
        self,
        connection: ServerConnection,
        exchange: Exchange,
        resumed_after: int | None,
    ) -> SendResult:
        status = exchange.status
        self._silence = None  # the server has just been heard
        self.reservation.record_head()
        self.reservation.state.activity.record(boot_time_s())
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
        is_raced = self.race.has_others(self)
        is_stream = self.route.kind is RouteKind.STREAMING
        is_error = status >= 500 or (is_raced and is_stream and status != 200)
        is_untrue = status in NOT_RUN_STATUSES  # the server doesn't say so itself
        if is_untrue or (is_error and (is_raced or not self.forwards_errors)):
            self._record_survived()
            await exchange.discard(DISCARD_MAX_BYTES, DISCARD_MAX_S)
            return SendResult(Outcome.FAILED, f"server answered {status}", status)
        headers = self.wire.answer_headers(exchange.headers)
        self._wait_for(self.patience.first_wait)
        if is_stream and status == 200:
            await self._forward_stream(exchange, headers, resumed_after)
        else:
            if self.relay.started:
                return SendResult(
                    Outcome.BROKEN,
                    f"server answered {status} to a resumed stream",
                    status,
                )
            request = self.relay.request
            async with self.relay.buffers.read(
                exchange, request, lambda: self._wait_for(self.patience.next_wait)
            ) as body:
                await self._ensure_not_cut(exchange)
                self._take_lead()
                await request.respond(status, body, headers)
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
        events = EventSplitter(None if resumed_after is None else resumed_after + 1)
        activity = self.reservation.state.activity
        is_first_chunk = True
        has_forwarded = False
        first_id: int | None = None
        first_at_s = 0.0
        sound_at_s = math.inf
        async for data in exchange.chunks():
            now_s = boot_time_s()
            activity.record(now_s)
            if now_s >= sound_at_s:
                sound_at_s = math.inf
                self._record_sound(now_s)
            if is_first_chunk:
                is_first_chunk = False
                sound_at_s = now_s + SOUND_AFTER_S
                self.reservation.record_first_event()
            block = events.add(data)
            self._has_part_of_event = not block
            if not block:
                continue
            self._take_lead()
            await self.relay.start_stream(exchange, headers)
            await self.relay.forward(block, self._server)
            has_forwarded = True
            if self.on_paced is not None:
                if first_id is None:
                    first_id, first_at_s = self.relay.last_event_id, now_s
                elif now_s - first_at_s >= PACE_AFTER_S:
                    self._report_pace(first_id, now_s - first_at_s)
            self._wait_for(self.patience.next_wait)
        if has_forwarded:
            self._report_pace(first_id, boot_time_s() - first_at_s)
        events.ensure_ended()
        if not has_forwarded:
            if self.relay.started:
                # Nothing tells a stream that had only lost its end from one that an
                # engine didn't go on with, and the caller can resume it itself.
                raise StreamBroken("resumed stream ended without an event")
            if exchange.ends_with_connection:
                raise StreamBroken("stream without length ended before its first event")
        await self._ensure_not_cut(exchange)
        self._take_lead()
        await self.relay.start_stream(exchange, headers)
        await self.relay.end_stream()
        self._record_sound(boot_time_s())

    def _report_pace(self, first_id: int | None, elapsed_s: float) -> None:
        """Report the time for each event since the first one, once."""
        if self.on_paced is None:
            return
        report, self.on_paced = self.on_paced, None
        last_id = self.relay.last_event_id
        if first_id is None or last_id is None:
            return
        report(elapsed_s / max(1, last_id - first_id))

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
