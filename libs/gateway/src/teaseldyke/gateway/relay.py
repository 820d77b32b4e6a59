"""Forwards backend servers' answers to the caller."""

from __future__ import annotations

import re
from collections.abc import Callable

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
    """

    buffered_bytes: int = 0

    async def read(self, exchange: Exchange) -> bytes:
        """Read and return a complete body.

        Raises
        ------
        AnswerTooLarge
            If the buffers of all answers exceed their limit and this one its guarantee.
        ExchangeBroken
            As `Exchange.chunks` does.
        """
        parts: list[bytes] = []
        own_bytes = 0
        try:
            async for chunk in exchange.chunks():
                parts.append(chunk)
                own_bytes += len(chunk)
                self.buffered_bytes += len(chunk)
                if own_bytes <= BUFFER_GUARANTEED_BYTES:
                    continue
                if self.buffered_bytes > BUFFERED_MAX_BYTES:
                    raise AnswerTooLarge(
                        f"{self.buffered_bytes} bytes of answers are buffered, "
                        f"{own_bytes} of them for this one; "
                        f"the limit is {BUFFERED_MAX_BYTES}"
                    )
        finally:
            self.buffered_bytes -= own_bytes
        return b"".join(parts)


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
    _partial_event: bytes = b""
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
        self._partial_event = b""
        if self.started:
            return
        await self.request.start_response(exchange.status, headers, flush=False)

    async def forward_events(
        self, data: bytes, expected_id: int | None, server: AnnouncedServer
    ) -> bool:
        """Forward the complete events received so far; return whether there were any.

        Parameters
        ----------
        expected_id : int or None
            Id that the first event of a resumed stream must have.
        server : AnnouncedServer
            Backend server that sent them.

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
            return False
        end += len(EVENT_END)
        self._partial_event = data[end:]
        block = data[:end] if self._partial_event else data
        if len(EVENT_ID.findall(block)) < block.count(EVENT_END):
            raise StreamBroken("stream event has no id")
        if expected_id is not None:
            found = EVENT_ID.search(block)
            if found is None or int(found[1]) != expected_id:
                raise StreamBroken(
                    f"resumed stream did not continue at event {expected_id}"
                )
        if self.begun_by is None:
            self.begun_by = server
            if self.on_begun is not None:
                self.on_begun(server)
        await self.request.send(block)
        self._last_block = block
        self.events += 1
        return True

    async def end_stream(self) -> None:
        """End the stream; raises `StreamBroken` if its last event is incomplete."""
        if self._partial_event:
            raise StreamBroken("stream ended in the middle of an event")
        await self.request.finish()
