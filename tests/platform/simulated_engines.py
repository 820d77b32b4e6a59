"""Engines of a simulation: sound, silent, breaking off, refusing, or early."""

from __future__ import annotations

import math
import os
import zlib
from random import Random
from typing import Any

import attrs
import h11
import trio

from tests.platform.simulated_behaviours import BEHAVIOURS
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    _skip_answer,
    answer_head,
    chunk,
)

# Of loopback, other than that of any process that sends or listens beside this one.
ADDRESS = f"127.47.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
STREAM_PATHS = ("/stream/", "/single/", "/fixed/")
DISCARDED_BYTES = 65536  # per read of a body after its answer


@attrs.define(eq=False)
class Run:
    """What an engine did with a request.

    Attributes
    ----------
    ran : bool
        Whether it began to work on it; false if it refused the request.
    body : bytes
        Whole body of its answer, also if it was not sent to its end.
    end : str
        ``"whole"``, ``"broke"`` if the engine ended it, ``"left"`` if the instance
        closed the connection, or empty while it runs.
    """

    request_id: str
    engine: str
    at_s: float
    behaviour: str
    target: str
    draw: Random
    received: bytes | None = None
    ran: bool = True
    body: bytes = b""
    status: int = 200
    end: str = ""


@attrs.define
class Silence:
    """Until when connections deliver nothing."""

    until_s: float = 0.0

    async def wait(self) -> None:
        """Wait until the silence is over."""
        while self.until_s > trio.current_time():
            await trio.sleep_until(self.until_s)


@attrs.define(eq=False)
class EngineConnection:
    """A connection that may fall silent by itself or with its engine or its link."""

    stream: trio.SocketStream
    silences: tuple[Silence, ...]
    own: Silence = attrs.field(factory=Silence)

    async def wait(self) -> None:
        """Wait until nothing on the way is silent."""
        for silence in (self.own, *self.silences):
            await silence.wait()

    async def send_all(self, data: bytes) -> None:
        """Send once nothing is silent."""
        await self.wait()
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive; the data is late by a silence that has begun."""
        data: bytes = await self.stream.receive_some(max_bytes)
        await self.wait()
        return data

    async def sleep_or_leave(self, pause_s: float) -> None:
        """Pause; raises `trio.BrokenResourceError` if the peer closes meanwhile."""
        with trio.move_on_after(pause_s):
            try:
                data = await self.stream.socket.recv(1, trio.socket.MSG_PEEK)
            except OSError as exc:
                raise trio.BrokenResourceError("reset by the peer") from exc
            if not data:
                raise trio.BrokenResourceError("closed by the peer")
            await trio.sleep_forever()  # the rest of a body, or the next request


def event_of(request_id: str, number: int) -> bytes:
    """Return an event of a request's stream, the same at all engines."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def events_of(request_id: str) -> int:
    """Return the number of events of a request's stream."""
    return 3 + zlib.crc32(request_id.encode()) % 10


@attrs.define(eq=False)
class SimulatedEngine(EngineStandin):
    """An engine that draws its behaviour for each request.

    Attributes
    ----------
    seed : int
        Fixes what is drawn for a request, whatever else the engine does.
    weights : dict of str to float
        Names of behaviours, by how often they are drawn.
    runs : list of Run
        Shared by all engines.
    pause : Silence
        Of the engine as a whole.
    """

    seed: int = 0
    weights: dict[str, float] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    pause: Silence = attrs.field(factory=Silence)
    link: Silence = attrs.field(factory=Silence)
    open: set[EngineConnection] = attrs.field(factory=set)

    def entry(self, service: str, zone: str = "zone-a", **fields: object) -> Any:
        """Return the engine's entry in the store."""
        address = f"{ADDRESS}:{self.port}"
        return super().entry(service, zone, **{"address": address, **fields})

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or crashed."""
        listeners = await trio.open_tcp_listeners(self.port, host=ADDRESS)
        self.port = listeners[0].socket.getsockname()[1]
        self.starts += 1
        with trio.CancelScope() as self._running:
            await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def silence_open_connections(self) -> None:
        """Have the open connections deliver nothing any more; new ones work."""
        for connection in self.open:
            connection.own.until_s = math.inf

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = EngineConnection(stream, (self.pause, self.link))
        self.open.add(connection)
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(parser, connection):
                _skip_answer(parser)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            self.closed_by_peer += 1
        finally:
            self.open.discard(connection)
            # A crash closes it; so does the end of a script.
            trio.lowlevel.notify_closing(stream.socket)
            stream.socket.close()

    async def _serve_request(
        self, parser: h11.Connection, connection: EngineConnection
    ) -> bool:
        """Serve one request; return whether the connection is kept."""
        arrival = await self._receive_head(parser, connection)
        if arrival is None:
            return False
        request_id = arrival.headers.get("x-teaseldyke-request-id", "")
        draw = self._draw_for(request_id)
        behaviour = draw.choices(
            list(self.weights), weights=list(self.weights.values())
        )[0]
        run = Run(
            request_id,
            self.id,
            trio.current_time(),
            behaviour,
            arrival.target,
            draw,
        )
        self.runs.append(run)
        try:
            if behaviour != "early":
                run.received = await self._receive_body(parser, connection)
            is_kept = await BEHAVIOURS[behaviour](self, connection, arrival, run)
            if behaviour == "early":
                run.received = await self._receive_body(parser, connection)
            return is_kept
        except trio.Cancelled:
            run.end = run.end or "broke"
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            run.end = run.end or "left"
            raise

    def _draw_for(self, request_id: str) -> Random:
        earlier = sum(run.request_id == request_id for run in self.runs)
        return Random(f"{self.seed} {self.id} {request_id} {earlier}")

    async def _receive_head(
        self, parser: h11.Connection, connection: EngineConnection
    ) -> Arrival | None:
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                headers = {
                    key.decode(): value.decode("latin-1")
                    for key, value in event.headers
                }
                return Arrival(
                    event.method.decode(),
                    event.target.decode(),
                    headers,
                    b"",
                    self.connections,
                )
            if event is not h11.NEED_DATA:
                return None
            parser.receive_data(await connection.receive_some(65536))

    async def _receive_body(
        self, parser: h11.Connection, connection: EngineConnection
    ) -> bytes:
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await connection.receive_some(DISCARDED_BYTES))
                continue
            if isinstance(event, h11.EndOfMessage):
                return body
            if not isinstance(event, h11.Data):
                raise trio.BrokenResourceError("request broke off")
            body += bytes(event.data)

    async def answer(
        self,
        connection: EngineConnection,
        arrival: Arrival,
        run: Run,
        *,
        silent_at: str = "",
        silent_s: float = 0.0,
        cut: bool = False,
        framed: bool = True,
    ) -> bool:
        """Answer, with a silence at a place or broken off in the middle."""
        await connection.sleep_or_leave(run.draw.choice([0.0, 0.02, 0.1, 0.4]))
        if silent_at == "head":
            await connection.sleep_or_leave(silent_s)
        if arrival.target.startswith(STREAM_PATHS):
            pieces = self._stream_pieces(arrival, run)
        else:
            pieces = self._plain_pieces(arrival, run, framed)
        silent_before = {"first": 1, "between": 1 + len(pieces) // 2}.get(silent_at, -1)
        cut_before = run.draw.randrange(len(pieces)) if cut else -1
        for number, piece in enumerate(pieces):
            if number == cut_before:
                run.end = "broke"
                if run.draw.random() < 0.5:
                    await connection.wait()
                    connection.stream.setsockopt(
                        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\1" + b"\0" * 7
                    )
                return False
            if number == silent_before:
                await connection.sleep_or_leave(silent_s)
            await connection.send_all(piece)
            if number < len(pieces) - 1:
                await connection.sleep_or_leave(run.draw.choice([0.0, 0.02, 0.06]))
        run.end = "whole"
        return framed

    def _stream_pieces(self, arrival: Arrival, run: Run) -> list[bytes]:
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        events = [
            event_of(run.request_id, number)
            for number in range(first, events_of(run.request_id) + 1)
        ]
        run.body = b"".join(events)
        head = answer_head(arrival, 200, *STREAM) + b"\r\n"
        return [head, *map(chunk, events), b"0\r\n\r\n"]

    def _plain_pieces(self, arrival: Arrival, run: Run, framed: bool) -> list[bytes]:
        size = run.draw.choice([0, 10, 2000, 40_000])
        run.body = f"{run.request_id} by {self.id} ".encode() + b"x" * size
        fields = [f"Content-Length: {len(run.body)}"] if framed else []
        if not framed:
            fields.append("Connection: close")
        head = answer_head(arrival, 200, *fields) + b"\r\n"
        half = len(run.body) // 2
        return [head, run.body[:half], run.body[half:]]
