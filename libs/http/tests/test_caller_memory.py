"""The account of what is held for callers, and which connections it closes."""

from __future__ import annotations

from contextlib import AsyncExitStack, suppress
from functools import partial

import attrs
import pytest
import trio

from teaseldyke.http import (
    CallerMemory,
    Holding,
    HoldingState,
    Request,
    ServerLimits,
    serve,
)
from teaseldyke.http.caller_memory import CONNECTION_BYTES

DISCARDING, IDLE, RECEIVING, FORWARDED = HoldingState
KIB = 1024
ROOM_BYTES = 64 * KIB


@attrs.define
class Fleet:
    """Connections of one account, whose clock is set by hand."""

    closed: list[str] = attrs.field(factory=list)
    refusals: list[HoldingState | None] = attrs.field(factory=list)
    changes: list[bool] = attrs.field(factory=list)
    now_s: float = 0.0
    memory: CallerMemory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.memory = CallerMemory(
            on_change=self.changes.append,
            on_closed=self.refusals.append,
            clock=lambda: self.now_s,
        )

    def open(
        self, name: str, state: HoldingState, size_bytes: int = 0, busy: bool = False
    ) -> Holding | None:
        def close(state: HoldingState) -> bool:
            if busy:
                return False
            self.closed.append(name)
            return True

        holding = self.memory.open(close)
        if holding is not None:
            holding.enter(state)
            holding.receive(size_bytes)
        return holding

    def limit(self, room_bytes: int) -> None:
        self.memory.limit_bytes = self.memory.held_bytes + room_bytes


@pytest.mark.parametrize(
    ("states", "closed"),
    [
        ([RECEIVING, IDLE, DISCARDING], "c"),
        ([RECEIVING, IDLE, IDLE], "b"),
        ([FORWARDED, FORWARDED, RECEIVING], "c"),
        ([FORWARDED, FORWARDED, FORWARDED], ""),
    ],
)
def test_order_of_closing(states: list[HoldingState], closed: str) -> None:
    """A crowd's connections must go before those whose requests are running."""
    fleet = Fleet()
    for name, state in zip("abc", states, strict=True):
        fleet.open(name, state, 100)
    fleet.limit(room_bytes=CONNECTION_BYTES // 2)
    opened = fleet.open("new", IDLE)
    assert "".join(fleet.closed) == closed
    assert (opened is not None) == bool(closed)
    assert fleet.refusals == (
        [HoldingState(states["abc".index(closed)])] if closed else [None]
    )


@pytest.mark.parametrize(
    ("sizes_bytes", "ages_s", "closed"),
    [((100, 200, 300), (1, 1, 1), "a"), ((900, 200, 300), (9, 1, 1), "a")],
)
def test_slowest_request_is_closed_first(
    sizes_bytes: tuple[int, ...], ages_s: tuple[int, ...], closed: str
) -> None:
    """An old request that has sent much must not outlive faster ones."""
    fleet = Fleet()
    for name, size_bytes, age_s in zip("abc", sizes_bytes, ages_s, strict=True):
        fleet.now_s = 10.0 - age_s
        fleet.open(name, RECEIVING, size_bytes)
    fleet.now_s = 10.0
    fleet.limit(room_bytes=CONNECTION_BYTES // 2)
    fleet.open("new", IDLE)
    assert "".join(fleet.closed) == closed


def test_idle_connection_with_a_request_stays_open() -> None:
    """A request that has arrived but isn't read yet would be lost."""
    fleet = Fleet()
    fleet.open("busy", IDLE, busy=True)
    fleet.open("idle", IDLE)
    fleet.limit(room_bytes=CONNECTION_BYTES // 2)
    fleet.open("new", IDLE)
    assert fleet.closed == ["idle"]


def test_request_without_room_is_rejected_by_its_own_code() -> None:
    """It would be closed without an answer, or a forwarded one in its place."""
    fleet = Fleet()
    fleet.open("running", FORWARDED, 100)
    own = fleet.open("own", RECEIVING, 100)
    assert own is not None
    fleet.limit(room_bytes=ROOM_BYTES)
    assert own.receive(ROOM_BYTES)
    assert not own.receive(1)
    assert (fleet.closed, fleet.refusals) == ([], [RECEIVING])


def test_everything_held_is_freed_once() -> None:
    """A connection that is closed and ends, too, was subtracted twice."""
    fleet = Fleet()
    kept, closed = fleet.open("kept", FORWARDED), fleet.open("closed", IDLE)
    assert kept is not None
    assert closed is not None
    fleet.limit(room_bytes=ROOM_BYTES)
    assert kept.add(ROOM_BYTES + 1)
    closed.add(100)
    closed.enter(RECEIVING)
    closed.release()
    assert fleet.memory.held_bytes == CONNECTION_BYTES + ROOM_BYTES + 1
    kept.keep(buffered_bytes=10)
    assert fleet.memory.held_bytes == CONNECTION_BYTES + 10
    kept.release()
    assert fleet.memory.held_bytes == 0


def test_change_is_told_once() -> None:
    """A log line for each connection would displace all others."""
    fleet = Fleet()
    own = fleet.open("own", FORWARDED)
    assert own is not None
    fleet.limit(room_bytes=ROOM_BYTES)
    for _ in range(3):
        own.add(ROOM_BYTES + 1)
        own.free(ROOM_BYTES + 1)
        own.add(10 * CONNECTION_BYTES)
    assert fleet.changes[0] is True
    before = len(fleet.changes)
    own.release()
    assert fleet.changes[-1] is False
    assert len(fleet.changes) == before + 1


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
HALF_BODY = HEAD + b"Content-Length: 4\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
ROOM_FOR = 2  # connections


@pytest.mark.parametrize(
    ("sent", "end", "refused"),
    [
        (HEAD, b"\r\n", "first"),
        (HALF_BODY, b"ok", "first"),
        (CHUNKED, b"0\r\n\r\n", "first"),
        (WHOLE, b"", "new"),
    ],
    ids=["head", "length", "chunked", "whole"],
)
async def test_refused_request_is_not_forwarded(
    sent: bytes, end: bytes, refused: str, nursery: trio.Nursery
) -> None:
    """A request would run although its caller was told that it never will."""
    memory = CallerMemory((ROOM_FOR + 0.5) * CONNECTION_BYTES)
    bodies: list[bytes] = []

    async def hold(request: Request) -> None:
        bodies.append(await request.read_body(100))
        await trio.sleep_forever()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    run = partial(serve, listener, hold, ServerLimits(), memory=memory)
    nursery.start_soon(run)

    async def send(data: bytes) -> trio.SocketStream:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await streams.enter_async_context(stream)
        await stream.send_all(data)
        await trio.sleep(0.05)
        return stream

    async with AsyncExitStack() as streams:
        await send(WHOLE)
        first = await send(sent)
        new = await send(WHOLE)
        with trio.fail_after(5):
            answer = await (first if refused == "first" else new).receive_some()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in answer.lower()
        if end:
            with suppress(trio.BrokenResourceError):
                await first.send_all(end)
        await trio.sleep(0.05)
        assert bodies == [b"ok"] * ROOM_FOR
    assert memory.held_bytes <= memory.limit_bytes
