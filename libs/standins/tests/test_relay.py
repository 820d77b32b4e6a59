from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.http.stream import close_with_reset
from teaseldyke.settings import Address
from teaseldyke.standins import Relay, RelaySettings, RouteSettings
from teaseldyke.standins.relay import Mode, Route, RouteOrder, _Connection

Start = Callable[..., Awaitable[Any]]


@attrs.define
class _Relayed:
    orders: Any
    port: int
    received: bytearray = attrs.field(factory=bytearray)
    ended: trio.Event = attrs.field(factory=trio.Event)
    accepted: list[trio.SocketStream] = attrs.field(factory=list)

    def reset(self) -> None:
        """Reset the target's connections."""
        for stream in self.accepted:
            close_with_reset(stream)

    async def echo(self, stream: trio.SocketStream) -> None:
        self.accepted.append(stream)
        with suppress(trio.ClosedResourceError):
            await self._echo(stream)

    async def _echo(self, stream: trio.SocketStream) -> None:
        async for data in stream:
            self.received += data
            await stream.send_all(data)
        self.ended.set()
        await stream.send_all(b"after the end")

    async def order(self, text: str) -> None:
        response = await self.orders.call("PUT", "/routes/r", text.encode())
        assert response.status == 204


@pytest.fixture
async def relayed(start: Start, nursery: trio.Nursery) -> AsyncIterator[_Relayed]:
    target = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    address = Address("127.0.0.1", target.socket.getsockname()[1])
    route = RouteSettings("r", Address("127.0.0.1", 0), address)
    relay = Relay(RelaySettings(Address("127.0.0.1", 0), [route]))
    orders = await start(relay.handle)
    relayed = _Relayed(orders, listener.socket.getsockname()[1])
    nursery.start_soon(trio.serve_listeners, relayed.echo, [target])
    nursery.start_soon(relay.relay_all, {"r": listener})
    yield relayed
    nursery.cancel_scope.cancel()


async def _connect(relayed: _Relayed) -> trio.SocketStream:
    stream = await trio.open_tcp_stream("127.0.0.1", relayed.port)
    await stream.send_all(b"hello")
    assert await stream.receive_some() == b"hello"
    return stream


async def test_cut_closes_open_and_new_connections(relayed: _Relayed) -> None:
    stream = await _connect(relayed)
    await relayed.order('{"mode": "cut"}')
    for cut in (stream, await trio.open_tcp_stream("127.0.0.1", relayed.port)):
        try:
            assert await cut.receive_some() == b""
        except trio.BrokenResourceError:
            continue
    await relayed.order("{}")
    await _connect(relayed)


async def test_hold_withholds_bytes_until_pass(relayed: _Relayed) -> None:
    stream = await _connect(relayed)
    await relayed.order('{"mode": "hold"}')
    await stream.send_all(b"held")
    with trio.move_on_after(0.1):
        await stream.receive_some()
        pytest.fail("bytes passed")
    assert relayed.received == b"hello"
    await relayed.order("{}")
    assert await stream.receive_some() == b"held"


async def test_half_closes_one_direction(relayed: _Relayed) -> None:
    stream = await _connect(relayed)
    await relayed.order('{"mode": "half-to-target"}')
    await relayed.ended.wait()
    assert await stream.receive_some() == b"after the end"


async def test_delay_and_injection(relayed: _Relayed) -> None:
    stream = await _connect(relayed)
    await relayed.order('{"delay_s": 0.1, "inject": "rubbish"}')
    assert await stream.receive_some() == b"rubbish"
    started_at_s = trio.current_time()
    await stream.send_all(b"late")
    assert await stream.receive_some() == b"late"
    assert trio.current_time() - started_at_s >= 0.2


async def test_reset_of_the_target_reaches_the_caller_as_a_reset(
    relayed: _Relayed,
) -> None:
    """A clean end would make an answer without a length look complete."""
    stream = await _connect(relayed)
    relayed.reset()
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some()


async def test_unknown_route(relayed: _Relayed) -> None:
    assert (await relayed.orders.call("PUT", "/routes/x", b"{}")).status == 404


@pytest.mark.parametrize("mode", ["half-to-target", "half-to-caller", "cut"])
async def test_order_skips_connections_that_have_just_closed(mode: Mode) -> None:
    """One side was reset between the last relayed byte and the order."""
    route = Route(RouteSettings("r", Address("127.0.0.1", 1), Address("127.0.0.1", 2)))
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    caller = await trio.open_tcp_stream("127.0.0.1", port)
    target = await trio.open_tcp_stream("127.0.0.1", port)
    route._connections.add(_Connection(caller, target))
    caller.socket.close()
    target.socket.close()
    await route.apply(RouteOrder(mode))
    await listeners[0].aclose()
