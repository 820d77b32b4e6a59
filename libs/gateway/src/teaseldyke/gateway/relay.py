"""Passes one backend server's answer on to the caller."""

from __future__ import annotations

import re

import attrs

from teaseldyke.http import AnswerTooLarge, Exchange, ExchangeBroken, Request

from .interfaces import Headers, Wire

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
EVENT_MAX_BYTES = 1024 * 1024  # an event that never ends must not fill the memory
PLAIN_ANSWER_MAX_BYTES = 16 * 1024 * 1024
BUFFERED_MAX_BYTES = 32 * 1024 * 1024  # of all answers; a quarter of a small instance
BUFFER_GUARANTEED_BYTES = 256 * 1024  # of one answer, also when there are too many


class StreamBroken(ExchangeBroken):
    """A stream ended early, or went on at another event than was asked for."""

    code = "stream_broken"


@attrs.define(eq=False)
class AnswerBuffers:
    """Bounds what is held of answers that are passed on only as a whole.

    Attributes
    ----------
    buffered_bytes : int
        Of all answers.
    """

    buffered_bytes: int = 0

    async def read(self, exchange: Exchange) -> bytes:
        """Return a whole body.

        Raises
        ------
        AnswerTooLarge
            If all answers together are too large, and this one isn't small.
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
                        f"{self.buffered_bytes} bytes of answers are held, "
                        f"{own_bytes} of them of this one"
                    )
        finally:
            self.buffered_bytes -= own_bytes
        return b"".join(parts)


@attrs.define(eq=False)
class Relay:
    """What the caller has got of its answer, over all sends of its request.

    Parameters
    ----------
    request : Request
        The caller's.
    wire : Wire
        Formats of answers.
    buffers : AnswerMemory
        Of the instance.

    Attributes
    ----------
    events : int
        Blocks of whole events passed on.
    """

    request: Request
    wire: Wire
    buffers: AnswerBuffers
    events: int = 0
    _partial_event: bytes = b""
    _last_block: bytes = b""

    @property
    def started(self) -> bool:
        """Whether a byte of an answer may have reached the caller."""
        return self.request.response_started

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event passed on, if there is one."""
        found = EVENT_ID.findall(self._last_block)
        return int(found[-1]) if found else None

    async def forward_whole(self, exchange: Exchange, headers: Headers) -> None:
        """Pass an answer on after it has arrived as a whole."""
        body = await self.buffers.read(exchange)
        await self.request.respond(exchange.status, body, headers)

    async def start_stream(self, exchange: Exchange, headers: Headers) -> None:
        """Send the header of a stream, unless an earlier send's went out."""
        self._partial_event = b""
        if self.started:
            return
        await self.request.start_response(exchange.status, headers, flush=False)

    async def forward_events(self, data: bytes, expected_id: int | None) -> bool:
        """Pass the whole events of what arrived on; return whether there were any.

        Parameters
        ----------
        expected_id : int or None
            Id that the first event of a resumed stream must have.

        Raises
        ------
        StreamBroken
            If a resumed stream goes on at another event, or an event has no end or
            no id.
        """
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial_event = data
            if len(data) > EVENT_MAX_BYTES:
                raise StreamBroken(f"an event exceeds {EVENT_MAX_BYTES} bytes")
            return False
        end += len(EVENT_END)
        self._partial_event = data[end:]
        block = data[:end] if self._partial_event else data
        if len(EVENT_ID.findall(block)) < block.count(EVENT_END):
            raise StreamBroken("an event has no id")
        if expected_id is not None:
            found = EVENT_ID.search(block)
            if found is None or int(found[1]) != expected_id:
                raise StreamBroken(f"stream did not go on at event {expected_id}")
        await self.request.send(block)
        self._last_block = block
        self.events += 1
        return True

    async def end_stream(self) -> None:
        """End a stream whose last event has been passed on."""
        if self._partial_event:
            raise StreamBroken("the stream ended within an event")
        await self.request.finish()
