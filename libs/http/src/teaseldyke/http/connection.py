"""The requests on one caller's connection."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import h11
import trio
from absl import logging

from teaseldyke.timers import boot_time_s, scheduler_passes
from teaseldyke.types import TeaseldykeError

from .admission import Admission, Decision
from .errors import (
    Busy,
    CallerGone,
    HeaderTooLarge,
    MalformedRequest,
    RequestTimedOut,
    TransferCodingUnsupported,
)
from .headers import Headers, first_header
from .limits import ServerLimits
from .problem import problem_response
from .request import Request
from .stream import (
    Stream,
    close_after_answer,
    close_now,
    close_with_reset,
    is_quiet,
)
from .watchdog import Watch

Handler = Callable[[Request], Awaitable[None]]
ErrorRenderer = Callable[[TeaseldykeError], tuple[int, Headers, bytes]]

SERVED_VERSIONS = (b"1.0", b"1.1")
CLOSE_TIMEOUT_S = 1.0
CLOSE_DISCARD_BYTES = 1024 * 1024
BUSY_PAUSE_S = (0.05, 0.15)  # drawn; another instance may take the request at once


@attrs.define
class Serving:
    """What all connections of one server share.

    Parameters
    ----------
    handler : callable
        Answers one `Request`.
    limits : ServerLimits
        Bounds of each caller.
    stopping : trio.Event
        Set when the server is to stop.
    render_error : callable
        Returns status, headers and body that report an error before any request.
    admission : Admission
        Which requests are begun.

    Attributes
    ----------
    idle : set of CallerConnection
        Connections that wait for their next request.
    idle_closed : bool
        Whether connections may no longer wait.
    """

    handler: Handler
    limits: ServerLimits
    stopping: trio.Event
    render_error: ErrorRenderer = problem_response
    admission: Admission = attrs.field(factory=Admission)
    idle: set[CallerConnection] = attrs.field(factory=set)
    idle_closed: bool = False

    def close_idle(self) -> None:
        """End every wait for a next request that is not on its way yet."""
        self.idle_closed = True
        for connection in self.idle:
            if is_quiet(connection.stream):
                close_now(connection.stream)


class CallerConnection:
    """The requests of one caller's connection, one after the other.

    Parameters
    ----------
    serving : Serving
        What all connections of the server share.
    stream : Stream
        The caller's connection.
    unread_since_s : float
        Its first request came after this moment, on the clock of `boot_time_s`.
    caller : str
        Address of the other side.
    """

    def __init__(
        self,
        serving: Serving,
        stream: Stream,
        unread_since_s: float = math.inf,
        caller: str = "",
    ) -> None:
        self._serving = serving
        self._limits = serving.limits
        self.stream = stream
        self._watch = Watch(stream)
        self._passes = scheduler_passes()
        self._unread_since_s = unread_since_s
        self._caller = caller
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=serving.limits.header_bytes
        )

    async def run(self) -> None:
        """Serve requests until one side closes the connection."""
        self._watch.start()
        try:
            await self._serve_requests()
        finally:
            self._watch.stop()

    async def _serve_requests(self) -> None:
        while True:
            try:
                request = await self._next_request()
            except TeaseldykeError as error:
                await self.refuse(error)
                return
            if request is None:
                return
            try:
                goes_on = await self._handle(request)
            except BaseException:
                close_with_reset(self.stream)  # a cut answer must not look whole
                raise
            if not goes_on:
                return
            self._unread_since_s = math.inf
            self._parser.start_next_cycle()

    async def refuse(self, error: TeaseldykeError) -> None:
        """Answer with a problem and close."""
        status, headers, body = self._serving.render_error(error)
        try:
            data = self._error_answer(status, headers, body)
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self.stream.send_all(data)
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            return
        await close_after_answer(self.stream, CLOSE_TIMEOUT_S, CLOSE_DISCARD_BYTES)

    def _error_answer(self, status: int, headers: Headers, body: bytes) -> bytes:
        fields = [
            *headers,
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        data = self._parser.send(h11.Response(status_code=status, headers=fields))
        data = (data or b"") + (self._parser.send(h11.Data(data=body)) or b"")
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _next_request(self) -> Request | None:
        """Return the next request, or ``None`` when there will be none."""
        if not self._parser.trailing_data[0] and not await self._wait_first_byte():
            return None
        await self._wait_admission()
        head = self._parse_head()
        if head is None:
            head = await self._rest_of_head()
        if head is None:
            return None
        return Request(
            self._parser,
            self.stream,
            head,
            self._limits,
            self._serving.stopping,
            self._unread_since_s,
        )

    async def _wait_admission(self) -> None:
        admission = self._serving.admission
        admission.recent.count(self._caller, boot_time_s())
        while True:
            decision = admission.decide(self._unread_since_s, self._caller)
            if decision is Decision.ADMIT:
                return
            if decision is Decision.REFUSE:
                raise Busy(
                    "more requests arrive than this instance can begin",
                    retry_after_s=random.uniform(*BUSY_PAUSE_S),
                )
            await trio.lowlevel.checkpoint()

    async def _rest_of_head(self) -> h11.Request | None:
        head = None
        with trio.move_on_after(self._limits.header_timeout_s) as scope:
            while head is None:
                if not await self._receive():
                    return None
                head = self._parse_head()
        if scope.cancelled_caught:
            raise RequestTimedOut(
                f"header not complete after {self._limits.header_timeout_s} s"
            )
        return head

    async def _wait_first_byte(self) -> bool:
        try:
            if self._serving.idle_closed and is_quiet(self.stream):
                return False
            self._serving.idle.add(self)
            self._watch.deadline_s = trio.current_time() + self._limits.idle_timeout_s
            received = await self._receive()
            # A new connection's request may have waited with it to be accepted.
            self._unread_since_s = min(
                self._unread_since_s, self._passes.unread_since_s
            )
            return received
        finally:
            self._watch.deadline_s = math.inf
            self._serving.idle.discard(self)

    async def _receive(self) -> bool:
        """Give the parser what has arrived; return whether there was anything."""
        try:
            data = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        if not data:
            return False
        self._parser.receive_data(data)
        return True

    def _parse_head(self) -> h11.Request | None:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise self._head_error(exc) from exc
        if not isinstance(event, h11.Request):
            return None
        if event.http_version not in SERVED_VERSIONS:
            version = event.http_version.decode("ascii")
            raise MalformedRequest(f"HTTP/{version} is not served, use HTTP/1.1")
        codings = first_header(event.headers, b"transfer-encoding")
        if codings and first_header(event.headers, b"content-length") is not None:
            # Another server may go by the other one and read a request in the body.
            raise MalformedRequest(
                "both Transfer-Encoding and Content-Length are given, use one"
            )
        size_bytes = len(event.target)
        for key, value in event.headers:
            size_bytes += len(key) + len(value) + 4  # colon, space, line end
        if size_bytes > self._limits.header_bytes:
            raise HeaderTooLarge(f"header exceeds {self._limits.header_bytes} bytes")
        return event

    def _head_error(self, exc: h11.RemoteProtocolError) -> TeaseldykeError:
        if exc.error_status_hint == HeaderTooLarge.status:
            return HeaderTooLarge(f"header exceeds {self._limits.header_bytes} bytes")
        if exc.error_status_hint == TransferCodingUnsupported.status:
            return TransferCodingUnsupported(f"{exc}")
        return MalformedRequest(f"malformed request: {exc}")

    async def _handle(self, request: Request) -> bool:
        """Run the handler; return whether the connection can go on."""
        try:
            await self._serving.handler(request)
        except CallerGone:
            close_with_reset(self.stream)
            return False
        except Exception as exc:
            if not await self._report(request, exc):
                return False
        except BaseExceptionGroup as group:
            # Cancelled from outside: an error at the same moment must not get out.
            _, cancelled = group.split(Exception)
            raise cancelled or group from None
        if not request.response_started:
            error = TeaseldykeError("the handler gave no answer")
            await self._report(request, error)
        if not request.finished:
            close_with_reset(self.stream)
            return False
        if self._parser.our_state is not h11.DONE or not request.body_complete:
            await close_after_answer(self.stream, CLOSE_TIMEOUT_S, CLOSE_DISCARD_BYTES)
            return False
        return True

    async def _report(self, request: Request, exc: Exception) -> bool:
        """Answer with a problem; return whether that was possible."""
        error = _sole_error(exc)
        if isinstance(error, CallerGone):
            close_with_reset(self.stream)
            return False
        if not isinstance(error, TeaseldykeError):
            logging.exception("event=handler_failed request_id=%s", request.id)
            error = TeaseldykeError("the request failed inside the server")
        if request.response_started:
            await request.abort()
            return False
        status, headers, body = problem_response(error, request.id)
        try:
            await request.respond(status, body, headers)
        except (CallerGone, h11.LocalProtocolError):
            close_with_reset(self.stream)
            return False
        return True


def _sole_error(exc: Exception) -> Exception:
    """Return the one exception that nurseries may have wrapped in groups."""
    while isinstance(exc, ExceptionGroup) and len(exc.exceptions) == 1:
        exc = exc.exceptions[0]
    return exc
