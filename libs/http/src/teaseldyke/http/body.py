"""Streaming reader for the body of a request."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import trio

from teaseldyke.timers import scheduler_passes

from .caller_account import Holding, HoldingState
from .errors import (
    BodyTooLarge,
    CallerGone,
    MalformedRequest,
    RequestTimedOut,
)
from .limits import ServerLimits
from .stream import RECEIVE_BYTES, UNFRAMED_RECEIVE_BYTES, Stream

# Parsing a chunk takes 5 us whatever its size, so that many bodies in
# chunks of a byte would take all of the process's time.
SMALL_CHUNK_BYTES = 64  # mean of a read
SMALL_CHUNKS_RECEIVE_BYTES = 4096
FIRST_CHUNKS_RECEIVE_BYTES = 1024  # the size of chunks isn't known yet
# Time in a pass of the scheduler in which bodies in small chunks are parsed.
SMALL_CHUNKS_WINDOW_S = 0.005


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
    holding : Holding
        What is held for the connection; has counted what the parser has received.

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
        holding: Holding,
    ) -> None:
        self.complete = trio.Event()
        self._connection = connection
        self._stream = stream
        self._length_bytes = None if length is None else int(length)
        self._limits = limits
        self._write = write
        self._holding = holding
        # One buffer: an object for each of many small chunks takes far more memory.
        self._buffer = bytearray()
        self._received_bytes = 0
        self._has_small_chunks = False
        self._chunked_receive_bytes = FIRST_CHUNKS_RECEIVE_BYTES
        self._passes = scheduler_passes()
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
        counted_bytes = 0
        try:
            while True:
                size_bytes = len(self._buffer)
                if size_bytes > counted_bytes:
                    on_data(size_bytes - counted_bytes)
                    counted_bytes = size_bytes
                if size_bytes > limit_bytes:
                    raise BodyTooLarge(f"request body exceeds {limit_bytes} bytes")
                if self.complete.is_set():
                    break
                await self._receive()
            self._start_forwarding()
            return bytes(self._buffer)
        finally:
            self._buffer = bytearray()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; its parts may be forwarded.

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
        self._start_forwarding()
        while True:
            if self._buffer:
                data = bytes(self._buffer)
                self._buffer.clear()
                yield data
            if self.complete.is_set():
                return
            await self._receive()

    def _parse_buffered(self) -> None:
        """Move the body bytes buffered in the parser into ``_buffer``."""
        received_bytes = self._received_bytes
        parts = 0
        while not self.complete.is_set():
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as exc:
                raise MalformedRequest(f"request body is malformed: {exc}") from exc
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Data):
                parts += 1
                self._received_bytes += len(event.data)
                self._buffer += event.data
                continue
            self.complete.set()
        mean_bytes = (self._received_bytes - received_bytes) / max(1, parts)
        self._has_small_chunks = parts > 1 and mean_bytes < SMALL_CHUNK_BYTES
        if parts:
            self._chunked_receive_bytes = (
                SMALL_CHUNKS_RECEIVE_BYTES
                if self._has_small_chunks
                else UNFRAMED_RECEIVE_BYTES
            )

    async def _receive(self) -> None:
        if self._connection.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._connection.send(head) or b"")
        data = await self._receive_within_limits()
        if not data:
            raise CallerGone("caller closed its connection within the request body")
        counted_bytes = self._received_bytes
        self._connection.receive_data(data)
        self._parse_buffered()
        held_bytes = self._received_bytes - counted_bytes
        if self.complete.is_set():
            held_bytes += len(self._connection.trailing_data[0])
        if not self._holding.receive(held_bytes) and self._is_rejectable:
            raise self._holding.error()
        if self._received_bytes > self._limits.body_bytes:
            raise BodyTooLarge(f"request body exceeds {self._limits.body_bytes} bytes")

    async def _receive_within_limits(self) -> bytes:
        idle_deadline_s = trio.current_time() + self._limits.body_idle_timeout_s
        with trio.CancelScope(deadline=min(idle_deadline_s, self._deadline_s)):
            try:
                data = await self._stream.receive_some(self._read_bytes())
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                if self._holding.is_closed:
                    raise self._holding.error() from exc
                raise CallerGone(
                    "caller closed its connection within the request body"
                ) from exc
            while self._has_small_chunks and (
                self._passes.elapsed_s > SMALL_CHUNKS_WINDOW_S
            ):
                await trio.lowlevel.checkpoint()
            return data
        raise RequestTimedOut(
            f"request body timed out after {self._received_bytes} bytes"
        )

    @property
    def _is_rejectable(self) -> bool:
        return self._holding.state is not HoldingState.FORWARDED

    def _start_forwarding(self) -> None:
        """Protect the connection from a close; raises if it has been closed."""
        if self._holding.is_closed:
            raise self._holding.error()
        self._holding.enter(HoldingState.FORWARDED)

    def _read_bytes(self) -> int:
        if self._length_bytes is None:
            return self._chunked_receive_bytes
        # Not more than the body: what follows is read once the response is sent.
        return min(RECEIVE_BYTES, self._length_bytes - self._received_bytes)

    def _check_length(self, limit_bytes: int) -> None:
        if self._length_bytes is None or self._length_bytes <= limit_bytes:
            return
        raise BodyTooLarge(
            f"request body of {self._length_bytes} bytes exceeds {limit_bytes} bytes"
        )
