"""One request of a caller and the answer to it."""

from __future__ import annotations

import json
import math
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
import trio

from .body import IncomingBody
from .errors import CallerGone
from .headers import Headers, MixedHeaders, encode_headers, first_header
from .limits import ServerLimits
from .stream import LISTEN_BYTES, Stream, TcpStream, close_with_reset, has_ended
from .target import parse_query, split_target
from .watchdog import DisconnectWatch

REQUEST_ID_BYTES = 8


class Request:
    """A caller's request; its methods also send the answer.

    Parameters
    ----------
    connection : h11.Connection
        Has just given the event ``head``.
    stream : Stream
        The caller's connection.
    head : h11.Request
        Request line and header.
    limits : ServerLimits
        Bounds of body and times.
    stopping : trio.Event
        Once set, answers ask the caller to close the connection.

    Attributes
    ----------
    id : str
        Identifier for answers, traces and the backend server; may be replaced.
    method : str
        In capitals, as sent.
    path : str
        In the one spelling that `split_target` gives.
    target : str
        Path and raw query, as they are passed on.
    raw_target : str
        Path and query exactly as the caller sent them.
    response_started : bool
        Whether an answer has been started.
    unread_since_s : float
        It arrived after this moment, on the clock of `boot_time_s`; what the process
        did between the two polls before the read was done while it waited.

    Raises
    ------
    MalformedRequest
        If the request target isn't a path, or what has arrived of the body is
        malformed.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: Stream,
        head: h11.Request,
        limits: ServerLimits,
        stopping: trio.Event,
        unread_since_s: float = math.inf,
    ) -> None:
        self.id = secrets.token_hex(REQUEST_ID_BYTES)
        self.method = head.method.decode("ascii")
        self.headers: Headers = list(head.headers)
        self.response_started = False
        self.unread_since_s = unread_since_s
        self.raw_target = head.target.decode("ascii")
        self.path, self._query = split_target(head.target)
        self.target = f"{self.path}?{self._query}" if self._query else self.path
        self._connection = connection
        self._stream = stream
        self._limits = limits
        self._stopping = stopping
        self._unsent_head = b""
        self._finished = False
        length = first_header(self.headers, b"content-length")
        self._body = IncomingBody(connection, stream, length, limits, self._write)

    @property
    def query(self) -> dict[str, str]:
        """Fields of the query."""
        return parse_query(self._query)

    @property
    def finished(self) -> bool:
        """Whether the whole answer has been sent."""
        return self._finished

    @property
    def body_complete(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._body.complete.is_set()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its name in any case."""
        value = first_header(self.headers, name.lower().encode("ascii"))
        return None if value is None else value.decode("latin-1")

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLarge
            If it exceeds ``limit_bytes`` or the server's limit.
        RequestTimedOut
            If the caller pauses or takes too long.
        CallerGone
            If the caller closes its connection before the end.
        """
        return await self._body.read(limit_bytes)

    def body_chunks(self) -> AsyncIterator[bytes]:
        """Return an iterator over the body as it arrives; raises as `read_body`."""
        return self._body.chunks()

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: MixedHeaders = (),
    ) -> None:
        """Send a whole answer in one write."""
        fields = [*headers, (b"content-length", str(len(body)).encode())]
        if status in (204, 304):
            fields.pop()
        await self.start_response(status, fields, flush=False)
        data = self._unsent_head
        self._unsent_head = b""
        if body and self.method != "HEAD" and status not in (204, 304):
            data += self._connection.send(h11.Data(data=body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        await self._write(data)
        self._finished = True

    async def respond_json(
        self,
        status: int,
        value: Any,
        headers: MixedHeaders = (),
    ) -> None:
        """Send a value as JSON."""
        fields = [*headers, (b"content-type", b"application/json")]
        await self.respond(status, json.dumps(value).encode(), fields)

    async def start_response(
        self,
        status: int,
        headers: MixedHeaders,
        *,
        flush: bool = True,
    ) -> None:
        """Start a streamed answer.

        Without ``Content-Length`` among the headers it goes out in chunks. With
        ``flush=False`` the header leaves together with the first data.
        """
        fields = encode_headers(headers)
        if self._stopping.is_set() or not self._body.complete.is_set():
            fields.append((b"connection", b"close"))
        head = h11.Response(status_code=status, headers=fields)
        self._unsent_head = self._connection.send(head) or b""
        self.response_started = True
        if flush:
            await self._flush_head()

    async def send(self, data: bytes) -> None:
        """Send a part of a streamed answer at once.

        Raises
        ------
        CallerGone
            If the caller closed its connection or takes nothing.
        """
        if not data:
            return
        if self.method == "HEAD":
            return
        parts = self._connection.send_with_data_passthrough(h11.Data(data=data)) or []
        if self._unsent_head:
            parts.insert(0, self._unsent_head)
            self._unsent_head = b""
        await self._write(b"".join(parts))

    async def finish(self) -> None:
        """End a streamed answer.

        Raises
        ------
        CallerGone
            If the caller closed its connection or takes nothing.
        """
        data = self._unsent_head
        self._unsent_head = b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        if data:
            await self._write(data)
        self._finished = True

    async def abort(self) -> None:
        """Reset the connection, so that the caller sees a broken answer."""
        self.response_started = True
        self._connection.send_failed()
        close_with_reset(self._stream)

    async def wait_disconnect(self) -> None:
        """Return when the caller closes its connection.

        Watches only once the body has been read; bytes of a following request are
        kept, and end the watch when they exceed the header's limit.
        """
        await self._body.complete.wait()
        kept_bytes = 0
        while kept_bytes <= self._limits.header_bytes:
            try:
                data = await self._stream.receive_some(LISTEN_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            kept_bytes += len(data)
            self._connection.receive_data(data)
        await trio.sleep_forever()

    def has_caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection by now."""
        return has_ended(self._stream)

    def on_disconnect(self, callback: Callable[[], None]) -> DisconnectWatch:
        """Return a block in which the callback is called if the caller goes away.

        It costs less than a task in `wait_disconnect` and is a quarter of a second
        slower. The callback is called at most once and must not raise.
        """
        return DisconnectWatch(self._stream, callback)

    async def _flush_head(self) -> None:
        data = self._unsent_head
        self._unsent_head = b""
        await self._write(data)

    async def _write(self, data: bytes) -> None:
        try:
            if isinstance(self._stream, TcpStream):
                data = self._stream.send_now(data)
                if not data:
                    await self._stream.pause_between_sends()
                    return
            await self._write_slowly(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGone("caller closed its connection") from exc

    async def _write_slowly(self, data: bytes) -> None:
        with trio.move_on_after(self._limits.send_timeout_s) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise CallerGone(
                f"caller did not take its answer within {self._limits.send_timeout_s} s"
            )
