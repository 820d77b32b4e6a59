"""Server side of one request and its response."""

from __future__ import annotations

import json
import math
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
import trio

from .body import IncomingBody
from .caller_account import CallerAccount, Holding, HoldingState
from .errors import CallerGone, CallerTooSlow
from .headers import Headers, MixedHeaders, encode_headers, first_header
from .limits import ServerLimits
from .stream import (
    DISCONNECT_READ_BYTES,
    Stream,
    TcpStream,
    close_with_reset,
    has_peer_closed,
)
from .target import parse_query, split_target
from .watchdog import DisconnectWatch

REQUEST_ID_BYTES = 8
# A longer body is sent without a copy that joins it to the header. The copy would be
# held until a slow caller has read it.
JOINED_BODY_BYTES = 64 * 1024


class Request:
    """A caller's request, with methods to send the response.

    Parameters
    ----------
    connection : h11.Connection
        Parser that has just returned the event ``head``.
    stream : Stream
        The caller's connection.
    head : h11.Request
        Request line and header.
    limits : ServerLimits
        Limits of body size and timeouts.
    stopping : trio.Event
        Once set, responses carry ``Connection: close``, as they do while the account
        of the holding is crowded.
    caller : str
        Address of the peer.
    holding : Holding, optional
        What is held for the connection; by default it isn't limited.

    Attributes
    ----------
    id : str
        Identifier in responses, traces and requests to the backend server; may be
        replaced.
    method : str
        Exactly as sent.
    path : str
        Normalised by `split_target`.
    target : str
        Normalised path and raw query, as forwarded.
    raw_target : str
        Path and query exactly as the caller sent them.
    response_started : bool
        Whether a byte of a response may have been sent.
    unread_since_s : float
        Time before which the request cannot have arrived, on the clock of
        `boot_time_s`. It may have been pending for the whole scheduler pass before the
        poll that reported it.

    Raises
    ------
    MalformedRequest
        If the request target isn't a path, or the part of the body received so far
        is malformed.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: Stream,
        head: h11.Request,
        limits: ServerLimits,
        stopping: trio.Event,
        unread_since_s: float = math.inf,
        caller: str = "",
        holding: Holding | None = None,
    ) -> None:
        self.caller = caller
        self._holding = holding or CallerAccount().hold_unlimited()
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
        self._unsent_head: h11.Response | None = None
        self._finished = False
        length = first_header(self.headers, b"content-length")
        self._body = IncomingBody(
            connection, stream, length, limits, self._write, self._holding
        )
        if self.body_complete:
            self._holding.enter(HoldingState.FORWARDED)

    @property
    def query(self) -> dict[str, str]:
        """Fields of the query string."""
        return parse_query(self._query)

    @property
    def finished(self) -> bool:
        """Whether the whole response has been sent."""
        return self._finished

    @property
    def body_complete(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._body.complete.is_set()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its name in any case."""
        value = first_header(self.headers, name.lower().encode("ascii"))
        return None if value is None else value.decode("latin-1")

    async def read_body(
        self,
        limit_bytes: int,
        timeout_s: float = math.inf,
        on_data: Callable[[int], None] = lambda size_bytes: None,
    ) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        limit_bytes : int
            Largest body.
        timeout_s : float
            Longest wait for its end, if shorter than the server's.
        on_data : callable
            Called with the size of each part; what it raises ends the reading.

        Raises
        ------
        BodyTooLarge
            If it exceeds ``limit_bytes`` or the server's limit.
        RequestTimedOut
            If the caller sends no data or not the whole body in time.
        CallerGone
            If the caller closes its connection before the end of the body.
        """
        return await self._body.read(limit_bytes, timeout_s, on_data)

    def body_chunks(self) -> AsyncIterator[bytes]:
        """Return an iterator over the body as it arrives; raises as `read_body`."""
        return self._body.chunks()

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: MixedHeaders = (),
    ) -> None:
        """Send a complete response in one write."""
        fields = [*headers, (b"content-length", str(len(body)).encode())]
        if status in (204, 304):
            fields.pop()
        await self.start_response(status, fields, flush=False)
        data = self._take_head()
        has_body = bool(body) and self.method != "HEAD" and status not in (204, 304)
        if has_body:
            self._connection.send_with_data_passthrough(h11.Data(data=body))
        data += self._connection.send(h11.EndOfMessage()) or b""
        if has_body and len(body) <= JOINED_BODY_BYTES:
            data += body
            has_body = False
        await self._write(data, is_last=True)
        if has_body:
            await self._write(body, is_last=True)
        self._finished = True

    async def respond_json(
        self,
        status: int,
        value: Any,
        headers: MixedHeaders = (),
    ) -> None:
        """Send a value as a JSON response."""
        fields = [*headers, (b"content-type", b"application/json")]
        await self.respond(status, json.dumps(value).encode(), fields)

    async def start_response(
        self,
        status: int,
        headers: MixedHeaders,
        *,
        flush: bool = True,
    ) -> None:
        """Start a streamed response.

        Without ``Content-Length`` among the headers it uses chunked coding. With
        ``flush=False`` the header is sent together with the first data; until then
        another response may replace it.
        """
        if not self._body.complete.is_set():
            self._holding.reject()
        fields = encode_headers(headers)
        if not self._can_keep_connection():
            fields.append((b"connection", b"close"))
        self._unsent_head = h11.Response(status_code=status, headers=fields)
        if flush:
            await self._write(self._take_head())

    async def send(self, data: bytes) -> None:
        """Send a part of a streamed response immediately.

        Raises
        ------
        CallerGone
            If the caller closed its connection or doesn't read within the timeout.
        """
        if not data:
            return
        if self.method == "HEAD":
            return
        head = self._take_head()
        parts = self._connection.send_with_data_passthrough(h11.Data(data=data)) or []
        await self._write(b"".join([head, *parts]), is_held=True)

    async def finish(self) -> None:
        """End a streamed response.

        Raises
        ------
        CallerGone
            If the caller closed its connection or doesn't read within the timeout.
        """
        data = self._take_head()
        data += self._connection.send(h11.EndOfMessage()) or b""
        if data:
            await self._write(data, is_last=True)
        self._finished = True

    async def abort(self) -> None:
        """Reset the connection, so that the caller sees a broken response."""
        self.response_started = True
        self._connection.send_failed()
        close_with_reset(self._stream)

    async def wait_disconnect(self) -> None:
        """Wait until the caller closes its connection.

        Starts once the body has been read. Bytes of a pipelined request are buffered;
        when they exceed the header limit, the method stops reading and never returns.
        """
        await self._body.complete.wait()
        buffered_bytes = 0
        while buffered_bytes <= self._limits.header_bytes:
            try:
                data = await self._stream.receive_some(DISCONNECT_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            buffered_bytes += len(data)
            self._connection.receive_data(data)
        await trio.sleep_forever()

    def hold(self, size_bytes: int) -> bool:
        """Count bytes held for the response; return false if there is no room.

        They are counted until `unhold`, or the end of the request.
        """
        return self._holding.add(size_bytes)

    def unhold(self, size_bytes: int) -> None:
        """Count bytes held for the response as freed."""
        self._holding.free(size_bytes)

    def has_caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection, without waiting."""
        return has_peer_closed(self._stream)

    def on_disconnect(self, callback: Callable[[], None]) -> DisconnectWatch:
        """Return a context manager that calls back if the caller disconnects.

        It costs less than a task in `wait_disconnect`, but detects the disconnect up to
        0.25 s later. The callback is called at most once and must not raise.
        """
        return DisconnectWatch(self._stream, callback)

    def _can_keep_connection(self) -> bool:
        """Return whether the connection can serve another request.

        Near a limit an idle connection may soon be closed for another caller, at the
        moment in which the next request is sent. So its own caller is told beforehand.
        """
        if self._stopping.is_set() or self._holding.account.is_crowded:
            return False
        return self._body.complete.is_set()

    def _take_head(self) -> bytes:
        """Return the encoded header if it hasn't been sent; it is from now on."""
        head = self._unsent_head
        self._unsent_head = None
        self.response_started = True
        return b"" if head is None else self._connection.send(head) or b""

    async def _write(
        self, data: bytes, *, is_last: bool = False, is_held: bool = False
    ) -> None:
        """Send data; count it if it is held only here until the caller has read it."""
        rest: bytes | memoryview = data
        try:
            if isinstance(self._stream, TcpStream):
                rest = self._stream.try_send(data)
                if not rest:
                    # A cancellation there would discard a response sent completely.
                    if not is_last:
                        await self._stream.checkpoint_between_sends()
                    return
            if not is_held:
                await self._write_within_timeout(rest)
                return
            self.hold(len(data))
            try:
                await self._write_within_timeout(rest)
            finally:
                self.unhold(len(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGone("caller closed its connection") from exc

    async def _write_within_timeout(self, data: bytes | memoryview) -> None:
        with trio.move_on_after(self._limits.send_timeout_s) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise CallerTooSlow(
                f"caller did not read the response in {self._limits.send_timeout_s} s"
            )
