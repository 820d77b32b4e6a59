"""The answer to one call on its way to the caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs

from teaseldyke.http import CallerGone, Request, end_to_end_headers
from teaseldyke.outcomes import StoredOutcome

HOLD_BYTES = 64 * 1024  # answers up to this size are passed on only when whole
EVENT_STREAM = "text/event-stream"
REPLAYED_HEADER = (b"idempotency-replayed", b"true")
OWN_HEADERS = frozenset((b"content-length", b"teaseldyke-request-id", b"x-request-id"))

Headers = list[tuple[bytes, bytes]]
KeepAnswer = Callable[[StoredOutcome], Awaitable[None]]


def content_type_of(headers: Headers) -> str:
    """Return the media type of an answer, without parameters."""
    for name, value in headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1").partition(";")[0].strip().lower()
    return ""


@attrs.define
class Sink:
    """Passes an answer on, holding it back while it may still be replaced.

    Parameters
    ----------
    request : Request
        The caller's request.
    runs_on : bool
        Whether the answer is read to its end when the caller goes away.
    hold_bytes : int
        Size up to which an answer is held until it is whole.
    keep : callable, optional
        Called with the whole answer before it is passed on.

    Attributes
    ----------
    started : bool
        Whether the caller has got the first byte; no other answer can follow.
    whole : bool
        Whether the whole answer has arrived from the backend server.
    caller_gone : bool
        Whether the caller has closed its connection.
    """

    request: Request
    runs_on: bool
    hold_bytes: int = HOLD_BYTES
    keep: KeepAnswer | None = None
    started: bool = False
    whole: bool = False
    caller_gone: bool = False
    _status: int = 0
    _headers: Headers = attrs.field(factory=list)
    _held: bytearray = attrs.field(factory=bytearray)
    _holding: bool = True

    def head(self, status: int, headers: Headers, *, hold: bool) -> None:
        """Take the head of an answer; a held one is sent when whole or large."""
        if self.started:
            return
        self._status = status
        self._headers = [
            (name, value)
            for name, value in end_to_end_headers(headers)
            if name.lower() not in OWN_HEADERS
        ]
        self._held.clear()
        self._holding = hold or self.keep is not None

    async def write(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        if not self._holding:
            await self._pass_on(data)
            return
        self._held += data
        if len(self._held) <= self.hold_bytes:
            return
        self._holding = False
        held = bytes(self._held)
        self._held.clear()
        await self._pass_on(held)

    async def finish(self) -> None:
        """End a whole answer."""
        self.whole = True
        if not self._holding:
            await self._to_caller(self._end)
            return
        body = bytes(self._held)
        if self.keep is not None:
            await self.keep(StoredOutcome(self._status, tuple(self._headers), body))
        await self._to_caller(self._respond, body)

    async def replay(self, outcome: StoredOutcome) -> None:
        """Give the kept answer of an earlier attempt."""
        self._status = outcome.status
        self._headers = [*outcome.headers, REPLAYED_HEADER]
        await self._respond(outcome.body)

    async def _pass_on(self, data: bytes) -> None:
        await self._to_caller(self._send, data)

    async def _to_caller(
        self, action: Callable[..., Awaitable[None]], *arguments: bytes
    ) -> None:
        if self.caller_gone:
            return
        try:
            await action(*arguments)
        except CallerGone:
            self.caller_gone = True
            if not self.runs_on:
                raise

    async def _send(self, data: bytes) -> None:
        await self._start()
        await self.request.send(data)

    async def _end(self) -> None:
        await self._start()
        await self.request.finish()

    async def _respond(self, body: bytes) -> None:
        self.started = True
        await self.request.respond(self._status, body, self._named_headers())

    async def _start(self) -> None:
        if self.started:
            return
        self.started = True
        await self.request.start_response(
            self._status, self._named_headers(), flush=False
        )

    def _named_headers(self) -> Headers:
        return [*self._headers, (b"teaseldyke-request-id", self.request.id.encode())]
