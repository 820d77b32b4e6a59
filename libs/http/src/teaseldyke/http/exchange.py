"""Client side of one request and its response on one connection."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Iterable

import attrs
import h11
import trio

from .closures import Side, side_of
from .errors import AnswerBroken, AnswerTimedOut, AnswerTooLarge, ExchangeBroken
from .headers import Headers, first_header
from .stream import TcpStream, close_now, close_with_reset, is_idle
from .watchdog import Watch

RESPONSE_HEADER_MAX_BYTES = 64 * 1024
STATUS_MAX = 599  # the parser accepts up to 999; it rejects statuses below 100
INFORMATIONAL_MAX = 16  # 1xx responses skipped before the final one


@attrs.frozen
class OutgoingRequest:
    """A request to send to a server.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of (bytes, bytes)
        Without ``Content-Length``. ``Host`` defaults to the server's address.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


class ServerConnection:
    """A keep-alive connection to a server; runs one exchange at a time.

    Parameters
    ----------
    stream : TcpStream
        Newly opened connection.
    host : str
        IP address of the server.
    port : int
        Port of the server.

    Attributes
    ----------
    used : bool
        Whether the connection was reused after an earlier exchange.
    idle_since_s : float
        End of the last exchange, on the clock of `boot_time_s`.
    keep_alive_s : float or None
        Keep-alive timeout that the server announced, if any.
    closed_by : Side or None
        Which side closed it first, as far as that is known; ``None`` while it is open.
    """

    def __init__(self, stream: TcpStream, host: str, port: int) -> None:
        self.stream = stream
        self.host = host
        self.port = port
        self.used = False
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.closed_by: Side | None = None
        # Side that broke the connection during a send, unless a FIN came before that.
        self._send_broken_by: Side | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEADER_MAX_BYTES
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange left the connection open and no bytes unread."""
        if self.closed_by is not None or self._send_broken_by is not None:
            return False
        if self._parser.trailing_data[0]:
            return False
        states = self._parser.states
        return states[h11.CLIENT] is h11.DONE and states[h11.SERVER] is h11.DONE

    def is_idle(self) -> bool:
        """Whether the connection is open with neither data nor EOF pending."""
        return is_idle(self.stream)

    def next_cycle(self) -> None:
        """Prepare a reusable connection for the next exchange."""
        self._parser.start_next_cycle()

    def close(self) -> None:
        """Close without waiting."""
        self.closed_by = self.closed_by or Side.INSTANCE
        close_now(self.stream)

    def abort(self) -> None:
        """Close with a reset, which drops what the server has not received yet."""
        self.closed_by = self.closed_by or Side.INSTANCE
        close_with_reset(self.stream)

    def encode(self, request: OutgoingRequest) -> bytes:
        """Return a request as bytes; raises `h11.LocalProtocolError` if invalid."""
        headers = request.headers
        if first_header(headers, b"host") is None:
            headers = [(b"host", self._host_value()), *headers]
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._parser.send(head) or b""
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def send(self, data: bytes) -> None:
        """Send an encoded request.

        An error is not raised here: a server may respond and close before it has read
        the whole request. The socket reports a reset only once, so it is noted
        for the read that finds the end of the connection.
        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            if not _is_after_eof(exc):
                self._send_broken_by = side_of(exc, Side.SERVER)

    async def receive_head(self) -> h11.Response:
        """Return status line and header of the final response."""
        informational = 0
        await self._receive()
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if isinstance(event, h11.Response):
                if event.status_code > STATUS_MAX:
                    raise AnswerBroken(f"status {event.status_code} is out of range")
                return event
            informational += 1
            if informational > INFORMATIONAL_MAX or event is h11.PAUSED:
                raise AnswerBroken("server sent no final response")

    def read_buffered_body(self) -> tuple[bytes, bool]:
        """Return body bytes received so far, and whether the response is complete."""
        parts: list[bytes] = []
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                return b"".join(parts), False
            if isinstance(event, h11.Data):
                parts.append(event.data)
                continue
            return b"".join(parts), True

    async def receive_more(self) -> None:
        """Wait for further bytes of the response."""
        await self._receive()

    def has_extra_bytes(self) -> bool:
        """Whether bytes follow the complete response."""
        return bool(self._parser.trailing_data[0])

    def _host_value(self) -> bytes:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}".encode("ascii")

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise AnswerBroken(f"response is malformed or truncated: {exc}") from exc

    async def _receive(self) -> None:
        try:
            data = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.closed_by = self.closed_by or side_of(exc, Side.SERVER)
            raise ExchangeBroken("server reset the connection") from exc
        if not data and self._send_broken_by is not None:
            self.closed_by = self.closed_by or self._send_broken_by
            raise ExchangeBroken("connection broke while the request was sent")
        if not data:
            self.closed_by = Side.SERVER
        self._parser.receive_data(data)


class Exchange:
    """One request and its streamed response.

    Parameters
    ----------
    connection : ServerConnection
        Connection that the request is sent on.
    answer_limit_bytes : int
        Largest response body.
    idle_timeout_s : float
        Longest time without data while the body is read.
    lenient : bool
        Whether to accept a body that is delimited by a clean close of the connection,
        and a response that is followed by extra bytes. Extra bytes then only make
        the connection unusable.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names in lower case.
    sent : bool
        Whether any byte of the request may have been sent.
    complete : bool
        Whether the whole response has been read.
    ends_with_connection : bool
        Whether the body has neither length nor chunked coding, so that only a close of
        the connection ends it.
    """

    def __init__(
        self,
        connection: ServerConnection,
        answer_limit_bytes: int,
        idle_timeout_s: float,
        *,
        lenient: bool = False,
    ) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.status = 0
        self.headers: Headers = []
        self.sent = False
        self.complete = False
        self.ends_with_connection = False
        self._connection = connection
        self._watch = Watch(connection.stream, close_with_reset)
        self._answer_limit_bytes = answer_limit_bytes
        self._lenient = lenient
        self._body_bytes = 0

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its name in any case."""
        value = first_header(self.headers, name.lower().encode("ascii"))
        return None if value is None else value.decode("latin-1")

    async def start(
        self, request: OutgoingRequest, first_byte_timeout_s: float
    ) -> None:
        """Send the request and wait for the header of the response."""
        data = self._connection.encode(request)
        self._watch.start()
        self._watch.deadline_s = trio.current_time() + first_byte_timeout_s
        self.sent = True
        try:
            await self._connection.send(data)
            del data  # a second copy of the body; the answer may take long
            response = await self._connection.receive_head()
        except ExchangeBroken as exc:
            if self._watch.expired:
                raise AnswerTimedOut(
                    f"no response header within {first_byte_timeout_s} s"
                ) from exc
            raise
        self._watch.deadline_s = math.inf
        self.status = response.status_code
        self.headers = list(response.headers)
        self._check_framing(request.method)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; data received together is one chunk.

        Raises
        ------
        AnswerBroken
            If the response is truncated, malformed, or followed by extra bytes.
        AnswerTimedOut
            If no data arrives within the idle timeout.
        AnswerTooLarge
            If the body exceeds the limit.
        """
        while True:
            data, ended = self._connection.read_buffered_body()
            if data:
                self._count_body_bytes(len(data))
                if ended:
                    self._mark_complete()
                yield data
            if ended:
                self._mark_complete()
                return
            if data:
                continue
            await self._receive_more()

    async def read(self) -> bytes:
        """Return the rest of the body; raises as `chunks` does."""
        parts = []
        async for chunk in self.chunks():
            parts.append(chunk)
        return b"".join(parts)

    async def discard(self, limit_bytes: int, timeout_s: float) -> None:
        """Read and drop the rest of the body, so that the connection can be reused.

        A body that exceeds a limit is left unread; the connection is then closed
        instead of reused.
        """
        self._answer_limit_bytes = self._body_bytes + limit_bytes
        with trio.move_on_after(timeout_s):
            try:
                async for _ in self.chunks():
                    pass
            except (ExchangeBroken, AnswerTooLarge):
                self.complete = False

    def stop_watch(self) -> None:
        """Stop enforcing the timeouts at the end of the exchange."""
        self._watch.stop()

    async def _receive_more(self) -> None:
        self._watch.deadline_s = trio.current_time() + self.idle_timeout_s
        try:
            await self._connection.receive_more()
        except ExchangeBroken as exc:
            if self._watch.expired:
                raise AnswerTimedOut(
                    f"response body paused for {self.idle_timeout_s} s"
                ) from exc
            raise
        self._watch.deadline_s = math.inf

    def _count_body_bytes(self, size_bytes: int) -> None:
        self._body_bytes += size_bytes
        if self._body_bytes > self._answer_limit_bytes:
            raise AnswerTooLarge(
                f"response body exceeds {self._answer_limit_bytes} bytes"
            )

    def _mark_complete(self) -> None:
        if self._connection.has_extra_bytes() and not self._lenient:
            raise AnswerBroken("extra bytes follow the complete response")
        self.complete = True

    def _check_framing(self, method: str) -> None:
        if method == "HEAD" or self.status in (204, 304):
            return
        if first_header(self.headers, b"transfer-encoding") is not None:
            return
        length = first_header(self.headers, b"content-length")
        if length is None and self._lenient:
            self.ends_with_connection = True
            return
        if length is None:
            raise AnswerBroken(
                "response has neither Content-Length nor chunked coding, "
                "so truncation could not be detected"
            )
        if int(length) > self._answer_limit_bytes:
            raise AnswerTooLarge(
                f"response body of {int(length)} bytes exceeds "
                f"{self._answer_limit_bytes} bytes"
            )


def _is_after_eof(error: Exception) -> bool:
    """Return whether a send failed only after the server had closed its direction.

    Linux reports a reset that follows a FIN as EPIPE, and one without as ECONNRESET;
    see ``tcp_reset`` in its ``net/ipv4/tcp_input.c``.
    """
    return isinstance(error.__cause__, BrokenPipeError)


def with_request_id(headers: Iterable[tuple[bytes, bytes]], value: bytes) -> Headers:
    """Return the headers with ``X-Request-Id`` set to the given value.

    Examples
    --------
    >>> with_request_id([(b"x-request-id", b"old")], b"new")
    [(b'x-request-id', b'new')]
    """
    other_headers = [item for item in headers if item[0].lower() != b"x-request-id"]
    return [*other_headers, (b"x-request-id", value)]
