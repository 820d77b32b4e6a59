"""Stand-ins for the platform's engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import h11
import trio

PIECE_BYTES = 16 * 1024  # of an endless answer, written in one call


@attrs.define
class Arrival:
    """A request as an engine received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


Script = Callable[["EngineStandin", trio.SocketStream, Arrival], Any]


@attrs.define(eq=False)
class EngineStandin:
    """An engine that answers each request by running a script.

    Attributes
    ----------
    scripts : list of callable
        Scripts for the next requests, in order; `answer_with_id` follows.
    arrivals : list of Arrival
        Requests received.
    closed_by_peer : int
        Connections that the peer closed during an answer.
    endless_bytes : int
        Bytes of endless answers that the peer accepted.
    silent_until_s : float
        Until when streams and plain answers of versions pause.
    """

    id: str
    scripts: list[Script] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    connections: int = 0
    closed_by_peer: int = 0
    endless_bytes: int = 0
    silent_until_s: float = 0.0
    port: int = 0
    starts: int = 0
    _running: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def entry(self, service: str, zone: str = "zone-a", **fields: object) -> Any:
        """Return the engine's entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": max(1, self.starts),
            **fields,
        }

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or crashed."""
        listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        await self.serve_on(listeners, task_status=task_status)

    async def serve_on(
        self,
        listeners: list[trio.SocketListener],
        *,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on open listeners until cancelled or crashed."""
        self.port = listeners[0].socket.getsockname()[1]
        self.starts += 1
        with trio.CancelScope() as self._running:
            await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def crash(self) -> None:
        """Close all connections and the port; `run` starts it anew at its port."""
        self._running.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                arrival = await _read_request(parser, stream, number)
                if arrival is None:
                    return
                self.arrivals.append(arrival)
                script = self.scripts.pop(0) if self.scripts else answer_with_id
                if await script(self, stream, arrival) is False:
                    return
                _skip_answer(parser)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed_by_peer += 1


async def _read_request(
    parser: h11.Connection, stream: trio.SocketStream, number: int
) -> Arrival | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65536)
            if not data and head is None:
                return None
            parser.receive_data(data)
            continue
        if isinstance(event, h11.Request):
            head = event
            continue
        if isinstance(event, h11.Data):
            body += bytes(event.data)
            continue
        if isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {
                key.decode(): value.decode("latin-1") for key, value in head.headers
            }
            return Arrival(
                head.method.decode(), head.target.decode(), headers, body, number
            )
        return None


def _skip_answer(parser: h11.Connection) -> None:
    """Advance the parser past the answer, which the script wrote itself."""
    parser.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
    parser.send(h11.EndOfMessage())
    parser.start_next_cycle()


def answer_head(
    arrival: Arrival, status: int = 200, *extra: str, stamp: bool = True
) -> bytes:
    """Return the head of an answer without the blank line that ends it."""
    lines = [f"HTTP/1.1 {status} Status"]
    request_id = arrival.headers.get("x-teaseldyke-request-id", "")
    lines.append(f"X-Teaseldyke-Request-Id: {request_id}")
    if stamp:
        lines.append("X-Teaseldyke-Response-Stamp: 3e1b.07")
    lines.extend(extra)
    return "\r\n".join(lines).encode() + b"\r\n"


def complete_answer(
    arrival: Arrival, body: bytes, status: int = 200, *extra: str
) -> bytes:
    """Return a complete answer."""
    head = answer_head(arrival, status, f"Content-Length: {len(body)}", *extra)
    return head + b"\r\n" + body


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


async def answer_with_id(
    engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    """Answer with the engine's id."""
    await stream.send_all(complete_answer(arrival, f"answer of {engine.id}".encode()))


def answer_with(status: int, *extra: str, body: bytes = b"") -> Script:
    """Return a script that sends a complete answer with a status."""

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> None:
        await stream.send_all(complete_answer(arrival, body, status, *extra))

    return script


def not_run(status: int = 503) -> Script:
    """Return a script that refuses a request as not run."""
    return answer_with(status, "X-Teaseldyke-Not-Run: 1")


async def reset(
    _engine: EngineStandin, stream: trio.SocketStream, _arrival: Arrival
) -> bool:
    """Close the connection without an answer."""
    await stream.aclose()
    return False


async def hang(
    engine: EngineStandin, stream: trio.SocketStream, _arrival: Arrival
) -> bool:
    """Send no answer and count when the peer closes the connection."""
    await stream.receive_some(1)
    engine.closed_by_peer += 1
    return False


def answer_raw(make: Callable[[Arrival], bytes], *, close: bool) -> Script:
    """Return a script that writes bytes and closes the connection if `close` is set."""

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        await stream.send_all(make(arrival))
        if close:
            await stream.aclose()
        return not close

    return script


def endless(begin: Callable[[Arrival], bytes], piece: bytes) -> Script:
    """Return a script that writes pieces until the peer closes the connection."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        await stream.send_all(begin(arrival))
        block = piece * max(1, PIECE_BYTES // len(piece))
        while True:
            await stream.send_all(block)
            engine.endless_bytes += len(block)

    return script


def stream_of(
    first: int,
    last: int,
    *,
    cut_after: int | None = None,
    partial: bytes = b"",
    headers: tuple[str, ...] = (),
) -> Script:
    """Return a script that streams events and closes the stream after `cut_after`."""

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        head = answer_head(
            arrival,
            200,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *headers,
        )
        await stream.send_all(head + b"\r\n")
        for number in range(first, last + 1):
            await stream.send_all(chunk(event(number)))
            await trio.sleep(0.002)
            if number == cut_after:
                if partial:
                    await stream.send_all(chunk(partial))
                await stream.aclose()
                return False
        await stream.send_all(b"0\r\n\r\n")
        return True

    return script
