"""HTTP server: one task for each caller's connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import h11
import trio
from absl import logging

from teaseldyke.types import TeaseldykeError

from .errors import (
    CallerGone,
    HeaderTooLarge,
    MalformedRequest,
    RequestTimedOut,
    TooManyConnections,
    TransferCodingUnsupported,
)
from .headers import Headers
from .limits import ServerLimits
from .problem import problem_response
from .request import Request
from .stream import (
    Stream,
    close_after_answer,
    close_now,
    close_with_reset,
    take_over,
)

Handler = Callable[[Request], Awaitable[None]]

SERVED_VERSIONS = (b"1.0", b"1.1")
CLOSE_TIMEOUT_S = 1.0
CLOSE_DISCARD_BYTES = 1024 * 1024
REFUSED_AT_ONCE = 64  # connections above the limit that are answered side by side
REFUSED_RETRY_AFTER_S = 1.0


async def serve(
    listener: trio.SocketListener,
    handler: Handler,
    limits: ServerLimits,
    *,
    stopping: trio.Event | None = None,
) -> None:
    """Serve callers until ``stopping`` is set and running requests have finished.

    Parameters
    ----------
    listener : trio.SocketListener
        Closed before the function returns.
    handler : callable
        Answers one `Request`. A `TeaseldykeError` out of it, before the answer has
        started, becomes a problem; after that the connection is reset.
    limits : ServerLimits
        Bounds of each caller.
    stopping : trio.Event, optional
        Once set, only requests that were already under way are taken, for
        ``limits.stop_linger_s``; running ones finish.
    """
    server = _Server(handler, limits, trio.Event() if stopping is None else stopping)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(server.accept, listener, connections)
            await server.stopping.wait()
            await trio.sleep(limits.stop_linger_s)
            accepting.cancel_scope.cancel()
        await listener.aclose()
        server.close_idle()


class _Server:
    def __init__(
        self, handler: Handler, limits: ServerLimits, stopping: trio.Event
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.stopping = stopping
        self.open_connections = 0
        self._idle_scopes: set[trio.CancelScope] = set()
        self._idle_closed = False

    @contextmanager
    def idle(self, scope: trio.CancelScope) -> Iterator[None]:
        """Run the block under a scope that is cancelled when the server stops."""
        if self._idle_closed:
            scope.cancel()
        self._idle_scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            self._idle_scopes.discard(scope)

    def close_idle(self) -> None:
        """End every wait for a next request, now and from now on."""
        self._idle_closed = True
        for scope in self._idle_scopes:
            scope.cancel()

    async def accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as exc:  # such as no free file descriptor
                logging.warning("event=accept_failed error=%r", str(exc))
                await trio.sleep(0.1)
                continue
            connections.start_soon(self._run_connection, take_over(stream))

    async def _run_connection(self, stream: Stream) -> None:
        self.open_connections += 1
        try:
            if self.open_connections > self.limits.connections:
                await self._refuse_connection(stream)
                return
            await _Connection(self, stream).run()
        except Exception as exc:
            logging.error("event=connection_failed error=%r", exc)
        finally:
            self.open_connections -= 1
            close_now(stream)

    async def _refuse_connection(self, stream: Stream) -> None:
        if self.open_connections > self.limits.connections + REFUSED_AT_ONCE:
            return
        error = TooManyConnections(
            f"server holds {self.limits.connections} connections",
            retry_after_s=REFUSED_RETRY_AFTER_S,
        )
        await _Connection(self, stream).refuse(error)


class _Connection:
    """The requests of one caller's connection, one after the other."""

    def __init__(self, server: _Server, stream: Stream) -> None:
        self._server = server
        self._limits = server.limits
        self._stream = stream
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )

    async def run(self) -> None:
        """Serve requests until one side closes the connection."""
        while True:
            try:
                request = await self._next_request()
            except TeaseldykeError as error:
                await self.refuse(error)
                return
            if request is None:
                return
            if not await self._handle(request):
                return
            self._parser.start_next_cycle()

    async def refuse(self, error: TeaseldykeError) -> None:
        """Answer with a problem and close."""
        status, headers, body = problem_response(error)
        try:
            data = self._error_answer(status, headers, body)
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, h11.LocalProtocolError):
            return
        await close_after_answer(self._stream, CLOSE_TIMEOUT_S, CLOSE_DISCARD_BYTES)

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
        head = self._parse_head()
        if head is None and not self._parser.trailing_data[0]:
            if not await self._wait_first_byte():
                return None
            head = self._parse_head()
        with trio.move_on_after(self._limits.header_timeout_s) as scope:
            while head is None:
                if not await self._receive():
                    return None
                head = self._parse_head()
        if scope.cancelled_caught or head is None:
            raise RequestTimedOut(
                f"header not complete after {self._limits.header_timeout_s} s"
            )
        return Request(
            self._parser, self._stream, head, self._limits, self._server.stopping
        )

    async def _wait_first_byte(self) -> bool:
        received = False
        scope = trio.CancelScope(
            deadline=trio.current_time() + self._limits.idle_timeout_s
        )
        with self._server.idle(scope):
            received = await self._receive()
        return received

    async def _receive(self) -> bool:
        """Give the parser what has arrived; return whether there was anything."""
        try:
            data = await self._stream.receive_some()
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
            await self._server.handler(request)
        except CallerGone:
            close_with_reset(self._stream)
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
            close_with_reset(self._stream)
            return False
        if self._parser.our_state is not h11.DONE or not request.body_complete:
            await close_after_answer(self._stream, CLOSE_TIMEOUT_S, CLOSE_DISCARD_BYTES)
            return False
        return True

    async def _report(self, request: Request, exc: Exception) -> bool:
        """Answer with a problem; return whether that was possible."""
        error = _sole_error(exc)
        if isinstance(error, CallerGone):
            close_with_reset(self._stream)
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
            close_with_reset(self._stream)
            return False
        return True


def _sole_error(exc: Exception) -> Exception:
    """Return the one exception that nurseries may have wrapped in groups."""
    while isinstance(exc, ExceptionGroup) and len(exc.exceptions) == 1:
        exc = exc.exceptions[0]
    return exc
