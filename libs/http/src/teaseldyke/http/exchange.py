"""One request to a server and its answer, on one connection."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Iterable

import attrs
import h11
import trio

from .errors import AnswerBroken, AnswerTimedOut, AnswerTooLarge, ExchangeBroken
from .headers import Headers, first_header
from .stream import TcpStream, close_now, is_quiet
from .watchdog import Watch

ANSWER_HEADER_BYTES = 64 * 1024
INFORMATIONAL_MAX = 16  # 1xx answers skipped before the final one


@attrs.frozen
class OutgoingRequest:
    """A request as it goes to a server.

    Parameters
    ----------
    method, target : str
        Of the request line.
    headers : list of (bytes, bytes)
        Without ``Content-Length``; the server's address stands for a missing
        ``Host``.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


class ServerConnection:
    """A client's connection to a server, for one exchange after the other.

    Parameters
    ----------
    stream : TcpStream
        Freshly opened.
    host : str
        IP number of the server.
    port : int
        Its port.

    Attributes
    ----------
    used : bool
        Whether an earlier exchange ran on it.
    idle_since_s : float
        When the last exchange ended, on trio's clock.
    keep_alive_s : float or None
        How long the server keeps the idle connection, if it said so.
    """

    def __init__(self, stream: TcpStream, host: str, port: int) -> None:
        self.stream = stream
        self.host = host
        self.port = port
        self.used = False
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=ANSWER_HEADER_BYTES
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended cleanly and nothing unexpected came."""
        if self._parser.trailing_data[0]:
            return False
        states = self._parser.states
        return states[h11.CLIENT] is h11.DONE and states[h11.SERVER] is h11.DONE

    def is_quiet(self) -> bool:
        """Whether an idle connection has received neither bytes nor its end."""
        return is_quiet(self.stream)

    def next_cycle(self) -> None:
        """Make a reusable connection ready for the next exchange."""
        self._parser.start_next_cycle()

    def close(self) -> None:
        """Close without waiting."""
        close_now(self.stream)

    def encode(self, request: OutgoingRequest) -> bytes:
        """Return the bytes of a request; raises `h11.LocalProtocolError`."""
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
        """Send the bytes of a request.

        A server may answer and close before it has read them all, so a broken
        connection shows only when the answer is read.
        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def receive_head(self) -> h11.Response:
        """Return the final answer's status line and header."""
        informational = 0
        await self._receive()
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if isinstance(event, h11.Response):
                return event
            informational += 1
            if informational > INFORMATIONAL_MAX or event is h11.PAUSED:
                raise AnswerBroken("server sent no final answer")

    def take_body(self) -> tuple[bytes, bool]:
        """Return the body bytes that have arrived and whether the answer ended."""
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
        """Wait for further bytes of the answer."""
        await self._receive()

    def has_extra_bytes(self) -> bool:
        """Whether bytes follow the complete answer."""
        return bool(self._parser.trailing_data[0])

    def _host_value(self) -> bytes:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}".encode("ascii")

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise AnswerBroken(f"answer is malformed or truncated: {exc}") from exc

    async def _receive(self) -> None:
        try:
            data = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeBroken("server reset the connection") from exc
        self._parser.receive_data(data)


class Exchange:
    """The answer to one request, streamed.

    Parameters
    ----------
    connection : ServerConnection
        Where the request goes.
    answer_limit_bytes : int
        Largest answer body.
    idle_timeout_s : float
        Longest pause in the body.
    lenient : bool
        Whether a body may end with its connection, if that ends cleanly, and whether
        an answer counts that further bytes follow; these spoil only the connection.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names in lower case.
    sent : bool
        Whether a byte of the request may have left.
    complete : bool
        Whether the whole answer has been read.
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
        self._connection = connection
        self._watch = Watch(connection.stream)
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
        """Send the request and wait for the answer's header."""
        data = self._connection.encode(request)
        self._watch.start()
        self._watch.deadline_s = trio.current_time() + first_byte_timeout_s
        self.sent = True
        try:
            await self._connection.send(data)
            response = await self._connection.receive_head()
        except ExchangeBroken as exc:
            if self._watch.expired:
                raise AnswerTimedOut(
                    f"no answer within {first_byte_timeout_s} s"
                ) from exc
            raise
        self._watch.deadline_s = math.inf
        self.status = response.status_code
        self.headers = list(response.headers)
        self._check_framing(request.method)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, joining what arrived together.

        Raises
        ------
        AnswerBroken
            If the answer is truncated, malformed, or followed by extra bytes.
        AnswerTimedOut
            If nothing arrives for the idle timeout.
        AnswerTooLarge
            If the body exceeds the limit.
        """
        while True:
            data, ended = self._connection.take_body()
            if data:
                self._count(len(data))
                if ended:
                    self._end()
                yield data
            if ended:
                self._end()
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
        """Read the rest of a body that nobody needs, so that the connection is kept.

        A longer or slower one is left unread, which spoils the connection only.
        """
        self._answer_limit_bytes = self._body_bytes + limit_bytes
        with trio.move_on_after(timeout_s):
            try:
                async for _ in self.chunks():
                    pass
            except (ExchangeBroken, AnswerTooLarge):
                self.complete = False

    def close_watch(self) -> None:
        """End the time limits; the exchange is over."""
        self._watch.stop()

    async def _receive_more(self) -> None:
        self._watch.deadline_s = trio.current_time() + self.idle_timeout_s
        try:
            await self._connection.receive_more()
        except ExchangeBroken as exc:
            if self._watch.expired:
                raise AnswerTimedOut(
                    f"answer paused for {self.idle_timeout_s} s"
                ) from exc
            raise
        self._watch.deadline_s = math.inf

    def _count(self, size_bytes: int) -> None:
        self._body_bytes += size_bytes
        if self._body_bytes > self._answer_limit_bytes:
            raise AnswerTooLarge(f"answer exceeds {self._answer_limit_bytes} bytes")

    def _end(self) -> None:
        if self._connection.has_extra_bytes() and not self._lenient:
            raise AnswerBroken("bytes follow the complete answer")
        self.complete = True

    def _check_framing(self, method: str) -> None:
        if method == "HEAD" or self.status in (204, 304):
            return
        if first_header(self.headers, b"transfer-encoding") is not None:
            return
        length = first_header(self.headers, b"content-length")
        if length is None and self._lenient:
            return
        if length is None:
            raise AnswerBroken(
                "answer has neither Content-Length nor chunked coding, "
                "so its truncation could not be seen"
            )
        if int(length) > self._answer_limit_bytes:
            raise AnswerTooLarge(
                f"answer of {int(length)} bytes exceeds "
                f"{self._answer_limit_bytes} bytes"
            )


def with_request_id(headers: Iterable[tuple[bytes, bytes]], value: bytes) -> Headers:
    """Return headers whose ``X-Request-Id`` is the given value.

    Examples
    --------
    >>> with_request_id([(b"x-request-id", b"old")], b"new")
    [(b'x-request-id', b'new')]
    """
    kept = [item for item in headers if item[0].lower() != b"x-request-id"]
    return [*kept, (b"x-request-id", value)]
