"""Writes the response to a call to its caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs

from teaseldyke.http import CallerGone, Request, end_to_end_headers
from teaseldyke.outcomes import StoredOutcome

# Non-streaming responses up to this size are buffered until complete, so that a failed
# attempt can still be retried.
BUFFER_LIMIT_BYTES = 64 * 1024
EVENT_STREAM = "text/event-stream"
REPLAYED_HEADER = (b"idempotency-replayed", b"true")
# Backend headers that are not relayed; the router sets its own.
DROPPED_RESPONSE_HEADERS = frozenset(
    (b"content-length", b"teaseldyke-request-id", b"x-request-id")
)

Headers = list[tuple[bytes, bytes]]
StoreOutcome = Callable[[StoredOutcome], Awaitable[None]]


def content_type_of(headers: Headers) -> str:
    """Return the media type of a response, without parameters."""
    for name, value in headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1").partition(";")[0].strip().lower()
    return ""


@attrs.define
class Sink:
    """Relays a response to the caller; buffers it while a retry may still replace it.

    Parameters
    ----------
    request : Request
        The caller's request.
    survives_disconnect : bool
        Whether the response is read to its end after the caller disconnects.
    buffer_limit_bytes : int
        Size up to which a response is buffered until it is complete.
    store_outcome : callable, optional
        Called with the complete response before it is sent to the caller.

    Attributes
    ----------
    started : bool
        Whether sending to the caller has begun; the response can't be replaced then.
    complete : bool
        Whether the complete response was received from the backend server.
    caller_gone : bool
        Whether the caller has closed its connection.
    """

    request: Request
    survives_disconnect: bool
    buffer_limit_bytes: int = BUFFER_LIMIT_BYTES
    store_outcome: StoreOutcome | None = None
    started: bool = False
    complete: bool = False
    caller_gone: bool = False
    _status: int = 0
    _headers: Headers = attrs.field(factory=list)
    _buffer: bytearray = attrs.field(factory=bytearray)
    _buffering: bool = True

    def set_head(self, status: int, headers: Headers, *, buffered: bool) -> None:
        """Set status and headers; those of a new attempt replace unsent ones.

        Parameters
        ----------
        status : int
            Status of the response.
        headers : list of tuple of bytes
            Headers from the backend server.
        buffered : bool
            Whether the body is buffered until it is complete or exceeds the limit.
        """
        if self.started:
            return
        self._status = status
        self._headers = [
            (name, value)
            for name, value in end_to_end_headers(headers)
            if name.lower() not in DROPPED_RESPONSE_HEADERS
        ]
        self._buffer.clear()
        self._buffering = buffered or self.store_outcome is not None

    async def write(self, data: bytes) -> None:
        """Buffer or send the next bytes of the body."""
        if not self._buffering:
            await self._forward_body(data)
            return
        self._buffer += data
        if len(self._buffer) <= self.buffer_limit_bytes:
            return
        self._buffering = False
        body = bytes(self._buffer)
        self._buffer.clear()
        await self._forward_body(body)

    async def finish(self) -> None:
        """Complete the response: store it if required, then send the rest of it."""
        self.complete = True
        if not self._buffering:
            await self._deliver(self._end)
            return
        body = bytes(self._buffer)
        if self.store_outcome is not None:
            await self.store_outcome(
                StoredOutcome(self._status, tuple(self._headers), body)
            )
        await self._deliver(self._respond, body)

    async def replay(self, outcome: StoredOutcome) -> None:
        """Send the stored response of an earlier attempt."""
        self._status = outcome.status
        self._headers = [*outcome.headers, REPLAYED_HEADER]
        await self._respond(outcome.body)

    async def _forward_body(self, data: bytes) -> None:
        await self._deliver(self._send, data)

    async def _deliver(
        self, action: Callable[..., Awaitable[None]], *arguments: bytes
    ) -> None:
        if self.caller_gone:
            return
        try:
            await action(*arguments)
        except CallerGone:
            self.caller_gone = True
            if not self.survives_disconnect:
                raise

    async def _send(self, data: bytes) -> None:
        await self._start()
        await self.request.send(data)

    async def _end(self) -> None:
        await self._start()
        await self.request.finish()

    async def _respond(self, body: bytes) -> None:
        self.started = True
        await self.request.respond(self._status, body, self._caller_headers())

    async def _start(self) -> None:
        if self.started:
            return
        self.started = True
        await self.request.start_response(
            self._status, self._caller_headers(), flush=False
        )

    def _caller_headers(self) -> Headers:
        return [*self._headers, (b"teaseldyke-request-id", self.request.id.encode())]
