"""HTTP/1.1 request loop of one caller's connection."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
import h11
import trio
from absl import logging

from teaseldyke.timers import boot_time_s, scheduler_passes
from teaseldyke.types import TeaseldykeError

from .admission import Admission, Decision
from .caller_account import CallerAccount, Holding, HoldingState, Scarcity
from .closures import Cause, IdleClose, RequestState, record_closure, record_idle_close
from .errors import (
    Busy,
    CallerGone,
    CallerTooSlow,
    HeaderTooLarge,
    MalformedRequest,
    RequestTimedOut,
    TransferCodingUnsupported,
)
from .headers import first_header
from .limits import ServerLimits
from .problem import problem_response
from .refusals import (
    EncodedRefusals,
    ErrorRenderer,
    busy_error,
    encode_error,
    is_whole_request,
)
from .request import Request
from .stream import (
    UNFRAMED_RECEIVE_BYTES,
    Stream,
    TcpStream,
    close_gracefully,
    close_now,
    close_with_reset,
    is_idle,
)
from .watchdog import Watch

Handler = Callable[[Request], Awaitable[None]]
RefusalRecorder = Callable[[TeaseldykeError], None]

SUPPORTED_VERSIONS = (b"1.0", b"1.1")
CLOSE_TIMEOUT_S = 1.0  # to write an error; without data before a close
IDLE_CLOSES = {
    Scarcity.MEMORY: IdleClose.MEMORY,
    Scarcity.CONNECTIONS: IdleClose.CONNECTION_LIMIT,
}
# From the end of accepting; covers several round trips between failure domains.
FIRST_REQUEST_GRACE_S = 0.2


@attrs.define
class ServerContext:
    """State shared by all connections of one server.

    Parameters
    ----------
    handler : callable
        Responds to one `Request`.
    limits : ServerLimits
        Size and time limits of each caller.
    stopping : trio.Event
        Set when the server starts to shut down.
    render_error : callable
        Returns status, headers and body of the response to an error that occurs before
        a request reaches the handler.
    admission : Admission
        Decides which requests are admitted.
    record_refusal : callable
        Called with the error of each refusal before a request reaches the handler.
    account : CallerAccount
        Counts what is held for the connections.
    idle_limit_s : callable
        Returns the longest wait for the next request that is allowed at the time, if
        shorter than that of ``limits``.

    Attributes
    ----------
    idle : set of CallerConnection
        Connections waiting for their next request.
    idle_closed : bool
        Whether idle connections have been closed; no connection becomes idle again.
    refusals : EncodedRefusals
        Responses that are sent without a parser.
    """

    handler: Handler
    limits: ServerLimits
    stopping: trio.Event
    render_error: ErrorRenderer = problem_response
    admission: Admission = attrs.field(factory=Admission)
    record_refusal: RefusalRecorder = lambda error: None
    account: CallerAccount = attrs.field(factory=CallerAccount)
    idle_limit_s: Callable[[], float] = lambda: math.inf
    idle: set[CallerConnection] = attrs.field(factory=set)
    idle_closed: bool = False
    refusals: EncodedRefusals = attrs.field(
        default=attrs.Factory(
            lambda self: EncodedRefusals(self.render_error), takes_self=True
        ),
        init=False,
    )

    def close_idle(self) -> None:
        """Close every idle connection on which no request has started to arrive.

        On a new connection the first request is usually on its way, so it is awaited
        for a moment.
        """
        self.idle_closed = True
        for connection in self.idle:
            if not connection.is_used:
                connection.limit_idle_time(FIRST_REQUEST_GRACE_S)
                continue
            if is_idle(connection.stream):
                connection.close_idle(IdleClose.STOPPING)


class CallerConnection:
    """Serves the requests of one caller's connection in order.

    Parameters
    ----------
    context : ServerContext
        State shared by all connections of the server.
    stream : Stream
        The caller's connection.
    unread_since_s : float
        Time before which its first request cannot have arrived, on the clock of
        `boot_time_s`.
    caller : str
        Address of the peer.

    Attributes
    ----------
    is_used : bool
        Whether a request has been served on the connection.
    """

    def __init__(
        self,
        context: ServerContext,
        stream: Stream,
        unread_since_s: float = math.inf,
        caller: str = "",
    ) -> None:
        self._context = context
        self._holding: Holding | None = None
        self._limits = context.limits
        self.stream = stream
        self._watch = Watch(stream, self._close_idle)
        self._passes = scheduler_passes()
        self._unread_since_s = unread_since_s
        self._caller = caller
        self.is_used = False
        self._has_handler = False
        self._is_idle_closed = False
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=context.limits.header_bytes
        )

    def close_idle(self, cause: IdleClose) -> None:
        """Close the connection, on which no request has started to arrive."""
        record_idle_close(cause)
        self._is_idle_closed = True
        close_now(self.stream)

    def limit_idle_time(self, seconds: float) -> None:
        """Close the connection unless the next request starts in time."""
        self._watch.deadline_s = trio.current_time() + seconds

    async def run(self) -> None:
        """Serve requests until one side closes the connection.

        Raises
        ------
        TooManyConnections, CallerMemoryFull
            If there is no room for the connection; it is still open.
        """
        self._holding = holding = self._context.account.open(self._make_room)
        self._watch.start()
        try:
            discard_timeout_s = await self._serve_requests(holding)
            if discard_timeout_s is not None:
                await self._close_after_response(discard_timeout_s)
        finally:
            self._watch.stop()
            holding.release()

    def _make_room(self, state: HoldingState, scarcity: Scarcity) -> bool:
        """Close the connection for others, unless a request has just arrived."""
        if state in (HoldingState.UNUSED, HoldingState.IDLE):
            if not is_idle(self.stream):
                return False
            if state is HoldingState.UNUSED:
                # Its first request is usually on its way.
                self._send_scarcity(scarcity)
            self.close_idle(IDLE_CLOSES[scarcity])
            return True
        if state is HoldingState.RECEIVING:
            if not self._has_handler:
                self._context.record_refusal(scarcity.error())
            self._send_scarcity(scarcity)
        close_now(self.stream)
        return True

    def _send_scarcity(self, scarcity: Scarcity) -> None:
        if not isinstance(self.stream, TcpStream):
            return
        with suppress(trio.BrokenResourceError):
            self.stream.try_send(self._context.refusals.of(scarcity.error))

    async def _serve_requests(self, holding: Holding) -> float | None:
        """Serve requests.

        Returns
        -------
        float or None
            How long to discard what still arrives before the connection is closed;
            ``None`` if it has ended. Until then, errors and requests that hold what
            was received are freed.
        """
        while True:
            try:
                request = await self._next_request(holding)
            except Busy as error:
                if holding.is_closed or self._refuse_whole_request(error):
                    return None
                return await self._send_refusal(error, math.inf)
            except TeaseldykeError as error:
                return await self._send_refusal(error, math.inf)
            if request is None:
                return None
            self._has_handler = True
            try:
                discard_timeout_s = await self._handle(request)
            except BaseException:
                if not request.finished:
                    self._record_closure(Cause.PROCESS_ENDED, request)
                    # Reset, so that a truncated response doesn't look complete.
                    close_with_reset(self.stream)
                raise
            finally:
                self._has_handler = False
            if discard_timeout_s is None or discard_timeout_s > 0.0:
                return discard_timeout_s
            self.is_used = True
            self._unread_since_s = math.inf
            self._parser.start_next_cycle()
            del request  # with its body
            buffered = self._parser.trailing_data[0]
            holding.keep(len(buffered))
            holding.enter(HoldingState.RECEIVING if buffered else HoldingState.IDLE)

    async def refuse(
        self, error: TeaseldykeError, discard_timeout_s: float = math.inf
    ) -> None:
        """Send an error response and close the connection.

        Parameters
        ----------
        discard_timeout_s : float
            Longest time in which what the caller still sends is read and dropped, if
            shorter than that of a body.
        """
        timeout_s = await self._send_refusal(error, discard_timeout_s)
        if timeout_s is not None:
            await self._close_after_response(timeout_s)

    async def _send_refusal(
        self, error: TeaseldykeError, discard_timeout_s: float
    ) -> float | None:
        """Send an error response; return how long to discard, or none if it ended."""
        if self._holding is not None:
            self._holding.reject()
            if self._holding.is_closed:
                return None
        self._context.record_refusal(error)
        status, headers, body = self._context.render_error(error)
        try:
            data = encode_error(self._parser, status, headers, body)
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self.stream.send_all(data)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return None
        return min(discard_timeout_s, self._limits.body_timeout_s)

    def _refuse_whole_request(self, error: Busy) -> bool:
        """Refuse a request that has arrived whole; return false if it hasn't.

        Its connection can be closed at once: there is nothing left to discard. An
        overloaded process refuses many requests, which must not take up the time that
        it has for others.
        """
        if not isinstance(self.stream, TcpStream):
            return False
        received, _ = self._parser.trailing_data
        if not is_whole_request(received):
            return False
        self._context.record_refusal(error)
        with suppress(trio.BrokenResourceError):
            self.stream.try_send(self._context.refusals.of(busy_error))
        close_now(self.stream)
        return True

    def refuse_at_once(self, error: TeaseldykeError) -> None:
        """Send an error response, dropping what has arrived, without waiting.

        A request that arrives after it makes the kernel reset the connection, which
        leaves the response readable: it is still better than none.
        """
        if not isinstance(self.stream, TcpStream):
            return
        with suppress(trio.BrokenResourceError):
            self.stream.discard_pending()
            self._context.record_refusal(error)
            status, headers, body = self._context.render_error(error)
            self.stream.try_send(encode_error(self._parser, status, headers, body))

    async def _close_after_response(self, timeout_s: float) -> None:
        """Close the connection, after the rest of a body that wasn't read."""
        self._parser = h11.Connection(h11.SERVER)  # frees what the last one buffered
        if self._holding is not None:
            self._holding.keep(0)
            self._holding.enter(HoldingState.DISCARDING)
        async with trio.open_nursery() as nursery:
            if timeout_s > CLOSE_TIMEOUT_S:
                nursery.start_soon(self._end_discard_at_stop, nursery.cancel_scope)
            await close_gracefully(
                self.stream,
                CLOSE_TIMEOUT_S,
                timeout_s,
                self._limits.body_bytes,
                self._context.account.discard_pause_s,
            )
            nursery.cancel_scope.cancel()
        close_now(self.stream)

    async def _end_discard_at_stop(self, scope: trio.CancelScope) -> None:
        """End the discarding of a body soon after the server starts to shut down."""
        await self._context.stopping.wait()
        await trio.sleep(CLOSE_TIMEOUT_S)
        scope.cancel()

    def _close_idle(self, stream: Stream) -> None:
        """Close the connection at the end of its idle time.

        After a pause of the process, a request may lie unread that came in time.
        """
        if not is_idle(stream):
            return
        if self._context.idle_closed:
            self.close_idle(IdleClose.FIRST_REQUEST_GRACE)
            return
        self.close_idle(IdleClose.IDLE_TIMEOUT)

    def _record_closure(self, cause: Cause, request: Request) -> None:
        state = (
            RequestState.CUT if request.response_started else RequestState.UNANSWERED
        )
        record_closure(cause, state, self._caller)

    async def _next_request(self, holding: Holding) -> Request | None:
        """Return the next request, or ``None`` once the connection has ended."""
        if not self._parser.trailing_data[0] and not await self._wait_first_byte(
            holding
        ):
            return None
        await self._wait_admission()
        head = self._parse_head()
        if head is None:
            head = await self._receive_rest_of_head(holding)
        if head is None or holding.is_closed:
            return None
        return Request(
            self._parser,
            self.stream,
            head,
            self._limits,
            self._context.stopping,
            self._unread_since_s,
            self._caller,
            holding,
        )

    async def _wait_admission(self) -> None:
        admission = self._context.admission
        admission.recent.count(self._caller, boot_time_s())
        while True:
            decision = admission.decide(self._unread_since_s, self._caller)
            if decision is Decision.ADMIT:
                return
            if decision is Decision.REFUSE:
                raise busy_error()
            await trio.lowlevel.checkpoint()

    async def _receive_rest_of_head(self, holding: Holding) -> h11.Request | None:
        head = None
        with trio.move_on_after(self._limits.header_timeout_s) as scope:
            while head is None:
                if not await self._receive(holding):
                    if holding.is_closed:
                        return None
                    record_idle_close(IdleClose.CALLER_IN_HEADER)
                    return None
                head = self._parse_head()
        if scope.cancelled_caught:
            raise RequestTimedOut(
                f"request header incomplete after {self._limits.header_timeout_s} s"
            )
        return head

    async def _wait_first_byte(self, holding: Holding) -> bool:
        try:
            idle_timeout_s = min(
                self._limits.idle_timeout_s, self._context.idle_limit_s()
            )
            if self._context.idle_closed:
                if self.is_used and is_idle(self.stream):
                    self.close_idle(IdleClose.STOPPING)
                    return False
                idle_timeout_s = FIRST_REQUEST_GRACE_S
            self._context.idle.add(self)
            self.limit_idle_time(idle_timeout_s)
            received = await self._receive(holding)
            if not received and not self._is_idle_closed:
                record_idle_close(IdleClose.CALLER)
            # On a new connection the request may have arrived before it was accepted.
            self._unread_since_s = min(
                self._unread_since_s, self._passes.unread_since_s
            )
            return received
        finally:
            self._watch.deadline_s = math.inf
            self._context.idle.discard(self)

    async def _receive(self, holding: Holding) -> bool:
        """Feed received bytes to the parser; return false if the connection ended."""
        try:
            data = await self.stream.receive_some(UNFRAMED_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        if not data:
            return False
        self._parser.receive_data(data)
        if holding.state in (HoldingState.UNUSED, HoldingState.IDLE):
            holding.enter(HoldingState.RECEIVING)
        if not holding.receive(len(data)):
            raise holding.error()
        return True

    def _parse_head(self) -> h11.Request | None:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise self._head_error(exc) from exc
        if not isinstance(event, h11.Request):
            return None
        if event.http_version not in SUPPORTED_VERSIONS:
            version = event.http_version.decode("ascii")
            raise MalformedRequest(f"HTTP/{version} is not supported, use HTTP/1.1")
        codings = first_header(event.headers, b"transfer-encoding")
        if codings and first_header(event.headers, b"content-length") is not None:
            # Request smuggling: a server that trusts the other header would parse part
            # of the body as a request.
            raise MalformedRequest(
                "request has both Transfer-Encoding and Content-Length, use one"
            )
        size_bytes = len(event.target)
        for key, value in event.headers:
            size_bytes += len(key) + len(value) + 4  # colon, space, CRLF
        if size_bytes > self._limits.header_bytes:
            raise HeaderTooLarge(
                f"request header exceeds {self._limits.header_bytes} bytes"
            )
        return event

    def _head_error(self, exc: h11.RemoteProtocolError) -> TeaseldykeError:
        if exc.error_status_hint == HeaderTooLarge.status:
            return HeaderTooLarge(
                f"request header exceeds {self._limits.header_bytes} bytes"
            )
        if exc.error_status_hint == TransferCodingUnsupported.status:
            return TransferCodingUnsupported(f"{exc}")
        return MalformedRequest(f"malformed request: {exc}")

    async def _handle(self, request: Request) -> float | None:
        """Run the handler.

        Returns
        -------
        float or None
            0 if the connection can be reused, ``None`` if it has ended, else for how
            long to discard what still arrives before it is closed.
        """
        try:
            await self._context.handler(request)
        except CallerGone as exc:
            if isinstance(exc, CallerTooSlow):
                self._record_closure(Cause.SEND_TIMEOUT, request)
            close_with_reset(self.stream)
            return None
        except Exception as exc:
            if not await self._send_problem(request, exc):
                return None
        except BaseExceptionGroup as group:
            # The task was cancelled: propagate the cancellation alone, since an error
            # raised at the same time would reach the nursery of the server.
            _, cancelled = group.split(Exception)
            raise cancelled or group from None
        if not request.response_started:
            error = TeaseldykeError("the handler sent no response")
            await self._send_problem(request, error)
        if not request.finished:
            if not request.has_caller_disconnected():
                self._record_closure(Cause.ANSWER_FAILED, request)
            close_with_reset(self.stream)
            return None
        if not request.body_complete:
            return self._limits.body_timeout_s
        if self._parser.our_state is not h11.DONE:
            return CLOSE_TIMEOUT_S
        return 0.0

    async def _send_problem(self, request: Request, exc: Exception) -> bool:
        """Send an error response; return whether it was sent completely."""
        error = _unwrap_group(exc)
        if isinstance(error, CallerGone):
            close_with_reset(self.stream)
            return False
        if not isinstance(error, TeaseldykeError):
            logging.exception("event=handler_failed request_id=%s", request.id)
            error = TeaseldykeError("internal error while handling the request")
        if request.response_started:
            self._record_closure(Cause.ANSWER_FAILED, request)
            await request.abort()
            return False
        status, headers, body = problem_response(error, request.id)
        try:
            await request.respond(status, body, headers)
        except (CallerGone, h11.LocalProtocolError) as failure:
            if not isinstance(failure, CallerGone):
                self._record_closure(Cause.ANSWER_FAILED, request)
            close_with_reset(self.stream)
            return False
        return True


def _unwrap_group(exc: Exception) -> Exception:
    """Return the exception inside nested groups that hold only one each."""
    while isinstance(exc, ExceptionGroup) and len(exc.exceptions) == 1:
        exc = exc.exceptions[0]
    return exc
