"""Streaming reader for the body of a request."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import trio

from .errors import BodyTooLarge, CallerGone, MalformedRequest, RequestTimedOut
from .limits import ServerLimits
from .stream import Stream


class IncomingBody:
    """A request body that is read on demand, within the limits of the server.

    Parameters
    ----------
    connection : h11.Connection
        Parser that has just returned the request line and header.
    stream : Stream
        The caller's connection.
    length : bytes or None
        Value of ``Content-Length``.
    limits : ServerLimits
        Size and time limits.
    write : callable
        Sends bytes to the caller; used for ``100 Continue``.

    Attributes
    ----------
    complete : trio.Event
        Set once the whole body has arrived.

    Raises
    ------
    MalformedRequest
        If the part received so far is malformed.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: Stream,
        length: bytes | None,
        limits: ServerLimits,
        write: Callable[[bytes], Awaitable[None]],
    ) -> None:
        self.complete = trio.Event()
        self._connection = connection
        self._stream = stream
        self._length_bytes = None if length is None else int(length)
        self._limits = limits
        self._write = write
        self._pending: list[bytes] = []
        self._received_bytes = 0
        self._deadline_s = trio.current_time() + limits.body_timeout_s
        self._parse_buffered()

    async def read(
        self,
        limit_bytes: int,
        timeout_s: float = math.inf,
        on_data: Callable[[int], None] = lambda size_bytes: None,
    ) -> bytes:
        """Return the whole body; raises as `chunks` and ``on_data`` do."""
        self._deadline_s = min(self._deadline_s, trio.current_time() + timeout_s)
        limit_bytes = min(limit_bytes, self._limits.body_bytes)
        self._check_length(limit_bytes)
        body = bytearray()  # many small chunks would take far more memory
        async for chunk in self.chunks():
            body += chunk
            on_data(len(chunk))
            if len(body) > limit_bytes:
                raise BodyTooLarge(f"request body exceeds {limit_bytes} bytes")
        return bytes(body)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        BodyTooLarge
            If it exceeds the limit.
        MalformedRequest
            If its framing is malformed.
        RequestTimedOut
            If the caller sends no data or not the whole body in time.
        CallerGone
            If the caller closes its connection before the end of the body.
        """
        self._check_length(self._limits.body_bytes)
        while True:
            while self._pending:
                yield self._pending.pop(0)
            if self.complete.is_set():
                return
            await self._receive()

    def _parse_buffered(self) -> None:
        """Move the body bytes buffered in the parser into ``_pending``."""
        while not self.complete.is_set():
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as exc:
                raise MalformedRequest(f"request body is malformed: {exc}") from exc
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Data):
                self._received_bytes += len(event.data)
                self._pending.append(bytes(event.data))
                continue
            self.complete.set()

    async def _receive(self) -> None:
        if self._connection.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._connection.send(head) or b"")
        data = await self._receive_within_limits()
        if not data:
            raise CallerGone("caller closed its connection within the request body")
        self._connection.receive_data(data)
        self._parse_buffered()
        if self._received_bytes > self._limits.body_bytes:
            raise BodyTooLarge(f"request body exceeds {self._limits.body_bytes} bytes")

    async def _receive_within_limits(self) -> bytes:
        idle_deadline_s = trio.current_time() + self._limits.body_idle_timeout_s
        with trio.CancelScope(deadline=min(idle_deadline_s, self._deadline_s)):
            try:
                return await self._stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise CallerGone(
                    "caller closed its connection within the request body"
                ) from exc
        raise RequestTimedOut(
            f"request body timed out after {self._received_bytes} bytes"
        )

    def _check_length(self, limit_bytes: int) -> None:
        if self._length_bytes is None or self._length_bytes <= limit_bytes:
            return
        raise BodyTooLarge(
            f"request body of {self._length_bytes} bytes exceeds {limit_bytes} bytes"
        )
