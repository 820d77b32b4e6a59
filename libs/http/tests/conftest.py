from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio
import trio.testing

from teaseldyke.http import Request, ServerLimits, serve

HOST = "127.0.0.1"


async def answer_ok(request: Request) -> None:
    await request.respond(200, b"ok")


@attrs.define
class ScriptedServer:
    """A TCP server that sends a list of prepared responses, one per request."""

    port: int
    requests: list[bytes] = attrs.field(factory=list)
    streams: list[trio.SocketStream] = attrs.field(factory=list)

    @property
    def connections(self) -> int:
        return len(self.streams)


@pytest.fixture
def clock() -> trio.testing.MockClock:
    """A mock clock that jumps ahead once all tasks have been blocked for 0.02 s."""
    return trio.testing.MockClock(autojump_threshold=0.02)


@pytest.fixture
def start_server(nursery: trio.Nursery) -> Callable[..., Awaitable[int]]:
    async def start(
        handler: Callable[[Request], Awaitable[None]] = answer_ok,
        limits: ServerLimits | None = None,
        stopping: trio.Event | None = None,
    ) -> int:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        run = functools.partial(
            serve, listeners[0], handler, limits or ServerLimits(), stopping=stopping
        )
        nursery.start_soon(run)
        return int(listeners[0].socket.getsockname()[1])

    return start


@pytest.fixture
def exchange_bytes() -> Callable[..., Awaitable[bytes]]:
    async def exchange(port: int, *parts: bytes) -> bytes:
        """Send the parts and return all bytes received until the server closes."""
        stream = await trio.open_tcp_stream(HOST, port)
        async with stream:
            received = b""
            try:
                for part in parts:
                    await stream.send_all(part)
                async for data in stream:
                    received += data
            except trio.BrokenResourceError:
                received += b"<reset>"
            return received

    return exchange


@pytest.fixture
def start_scripted(nursery: trio.Nursery) -> Callable[..., Awaitable[ScriptedServer]]:
    async def start(
        *answers: bytes, close: bool = True, close_on_empty: bool = False
    ) -> ScriptedServer:
        """Send one response per request, and close the connection after it or not."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        server = ScriptedServer(int(listeners[0].socket.getsockname()[1]))
        remaining = list(answers)

        async def run(stream: trio.SocketStream) -> None:
            server.streams.append(stream)
            while True:
                try:
                    request = await stream.receive_some()
                except trio.BrokenResourceError:
                    return
                if not request:
                    return
                server.requests.append(request)
                answer = remaining.pop(0) if remaining else b""
                try:
                    await stream.send_all(answer)
                except trio.BrokenResourceError:
                    return
                if close or (close_on_empty and not answer):
                    await stream.aclose()
                    return

        nursery.start_soon(
            functools.partial(
                trio.serve_listeners, run, listeners, handler_nursery=nursery
            )
        )
        return server

    return start
