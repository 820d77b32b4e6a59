"""Forwards backend servers' answers to the caller."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from teaseldyke.http import AnswerTooLarge, Exchange, ExchangeBroken, Request
from teaseldyke.types import AnnouncedServer

from .interfaces import Headers, Wire

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
EVENT_MAX_BYTES = 1024 * 1024  # an event without an end must not exhaust memory
PLAIN_ANSWER_MAX_BYTES = 16 * 1024 * 1024
BUFFERED_MAX_BYTES = 32 * 1024 * 1024  # in total; a quarter of a small instance
BUFFER_GUARANTEED_BYTES = 256 * 1024  # per answer, also while the total is exceeded


class StreamBroken(ExchangeBroken):
    """A stream ended early, resumed at the wrong event, or has invalid events."""

    code = "stream_broken"


@attrs.define(eq=False)
class AnswerBuffers:
    """Bounds the memory for answers that are buffered completely before sending.

    Attributes
    ----------
    buffered_bytes : int
        Bytes buffered of all answers.
    limit_bytes : int
        Limit of their sum.
    guaranteed_bytes : int
        For each answer, also while the limit is exceeded.
    """

    buffered_bytes: int = 0
    limit_bytes: int = BUFFERED_MAX_BYTES
    guaranteed_bytes: int = BUFFER_GUARANTEED_BYTES

    @asynccontextmanager
    async def read(
        self,
        exchange: Exchange,
        request: Request,
        on_data: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[bytes]:
        """Read a complete body, which is held until the end of the context.

        Parameters
        ----------
        request : Request
            The caller's request, in whose holding the body is counted.
        on_data : callable
            Called for each part of it.

        Raises
        ------
        AnswerTooLarge
            If the buffers of all answers exceed their limit, or the memory for callers
            is full, and this one exceeds its guarantee.
        ExchangeBroken
            As `Exchange.chunks` does.
        """
        parts: list[bytes] = []
        own_bytes = 0
        try:
            async for chunk in exchange.chunks():
                on_data()
                parts.append(chunk)
                own_bytes += len(chunk)
                self.buffered_bytes += len(chunk)
                has_room = request.hold(len(chunk))
                if own_bytes <= self.guaranteed_bytes:
                    continue
                if not has_room or self.buffered_bytes > self.limit_bytes:
                    raise AnswerTooLarge(
                        f"{self.buffered_bytes} bytes of answers are buffered, "
                        f"{own_bytes} of them for this one; "
                        f"the limit is {self.limit_bytes}"
                    )
            body = b"".join(parts)
            parts.clear()
            yield body
        finally:
            self.buffered_bytes -= own_bytes
            request.unhold(own_bytes)


@attrs.define(eq=False)
class EventSplitter:
    """Splits what one server sends into complete events.

    Parameters
    ----------
    expected_id : int or None
        Id that the first event of a resumed stream must have.
    """

    expected_id: int | None
    _partial_event: bytes = b""

    def add(self, data: bytes) -> bytes:
        """Return the complete events received so far, or nothing.

        Raises
        ------
        StreamBroken
            If a resumed stream continues at another event, or an event is too long or
            has no id.
        """
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial_event = data
            if len(data) > EVENT_MAX_BYTES:
                raise StreamBroken(f"stream event exceeds {EVENT_MAX_BYTES} bytes")
            return b""
        end += len(EVENT_END)
        self._partial_event = data[end:]
        block = data[:end] if self._partial_event else data
        if len(EVENT_ID.findall(block)) < block.count(EVENT_END):
            raise StreamBroken("stream event has no id")
        if self.expected_id is not None:
            found = EVENT_ID.search(block)
            if found is None or int(found[1]) != self.expected_id:
                raise StreamBroken(
                    f"resumed stream did not continue at event {self.expected_id}"
                )
            self.expected_id = None
        return block

    def ensure_ended(self) -> None:
        """Raise `StreamBroken` if the last event is incomplete."""
        if self._partial_event:
            raise StreamBroken("stream ended in the middle of an event")


@attrs.define(eq=False)
class Relay:
    """Forwards the answer of a request to its caller, across all sends.

    A resumed stream continues after the last event that was forwarded.

    Parameters
    ----------
    request : Request
        The caller's request.
    wire : Wire
        Formats of requests and answers.
    buffers : AnswerBuffers
        Buffers of the instance.

    Attributes
    ----------
    events : int
        Blocks of complete events forwarded.
    begun_by : AnnouncedServer or None
        Backend server whose event was forwarded first.
    on_begun : callable or None
        Called with it right before that event is forwarded.
    """

    request: Request
    wire: Wire
    buffers: AnswerBuffers
    events: int = 0
    begun_by: AnnouncedServer | None = None
    on_begun: Callable[[AnnouncedServer], None] | None = None
    _last_block: bytes = b""

    @property
    def started(self) -> bool:
        """Whether a byte of an answer may have reached the caller."""
        return self.request.response_started

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event forwarded, if there is one."""
        found = EVENT_ID.findall(self._last_block)
        return int(found[-1]) if found else None

    async def start_stream(self, exchange: Exchange, headers: Headers) -> None:
        """Send the header of a stream, unless an earlier attempt already did."""
        if self.started:
            return
        await self.request.start_response(exchange.status, headers, flush=False)

    async def forward(self, block: bytes, server: AnnouncedServer) -> None:
        """Forward complete events.

        Parameters
        ----------
        server : AnnouncedServer
            Backend server that sent them.
        """
        if self.begun_by is None:
            self.begun_by = server
            if self.on_begun is not None:
                self.on_begun(server)
        await self.request.send(block)
        self._last_block = block
        self.events += 1

    async def end_stream(self) -> None:
        """End the stream."""
        await self.request.finish()
