"""TCP relay that cuts, delays, holds and half-closes connections on orders."""

from __future__ import annotations

from typing import Literal

import attrs
import trio
from absl import logging

from teaseldyke.http import Request
from teaseldyke.http.stream import close_with_reset

from .orders import UnknownPath, read_order, split_path, unknown_path
from .settings import RelaySettings, RouteSettings

RECEIVE_BYTES = 65536

Mode = Literal["pass", "cut", "hold", "half-to-target", "half-to-caller"]


@attrs.define
class RouteOrder:
    """Body of ``PUT /routes/<name>``.

    Parameters
    ----------
    mode : str
        ``pass`` relays; ``cut`` closes open and new connections; ``hold`` keeps
        them open and withholds all bytes, as a network partition does;
        ``half-to-target`` and ``half-to-caller`` close that direction and relay the
        other.
    delay_s : float
        Delay added to the bytes of each direction.
    inject : str
        Text sent once to the caller of every open connection.
    """

    mode: Mode = "pass"
    delay_s: float = 0.0
    inject: str = ""


@attrs.define(eq=False)
class _Connection:
    """One relayed connection."""

    caller: trio.SocketStream
    target: trio.SocketStream


@attrs.define(eq=False)
class Route:
    """A listening address and the connections accepted there.

    Parameters
    ----------
    settings : RouteSettings
        Listening address and target.
    """

    settings: RouteSettings
    order: RouteOrder = attrs.field(factory=RouteOrder, init=False)
    relayed_bytes: int = attrs.field(default=0, init=False)
    _connections: set[_Connection] = attrs.field(factory=set, init=False)
    _order_changed: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def apply(self, order: RouteOrder) -> None:
        """Apply an order to open and new connections."""
        self.order = order
        self._order_changed.set()
        self._order_changed = trio.Event()
        for connection in list(self._connections):
            if order.mode == "cut":
                connection.caller.socket.close()
                connection.target.socket.close()
                continue
            try:
                await self._apply_to(connection, order)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                # Its own tasks close the connection; the others still get the order.
                logging.info(
                    "event=link_ended route=%s error=%r", self.settings.name, exc
                )

    async def _apply_to(self, connection: _Connection, order: RouteOrder) -> None:
        if order.inject:
            await connection.caller.send_all(order.inject.encode())
        if order.mode == "half-to-target":
            await connection.target.send_eof()
        if order.mode == "half-to-caller":
            await connection.caller.send_eof()

    async def relay(self, caller: trio.SocketStream) -> None:
        """Relay one connection until one side closes it."""
        if self.order.mode == "cut":
            caller.socket.close()
            return
        target_address = self.settings.target
        try:
            target = await trio.open_tcp_stream(
                target_address.host, target_address.port
            )
        except OSError:
            caller.socket.close()
            return
        connection = _Connection(caller, target)
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, caller, target, "half-to-target")
                nursery.start_soon(self._copy, target, caller, "half-to-caller")
        finally:
            self._connections.discard(connection)
            caller.socket.close()
            target.socket.close()

    def describe(self) -> dict[str, object]:
        """Return the order in force and the counters."""
        return {
            "order": attrs.asdict(self.order),
            "connections": len(self._connections),
            "relayed_bytes": self.relayed_bytes,
        }

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, half_closed: Mode
    ) -> None:
        """Copy one direction; an error or reset on either side resets both."""
        try:
            async for data in source:
                await self._wait_while_held()
                if self.order.mode == half_closed:
                    continue
                self.relayed_bytes += len(data)
                await sink.send_all(data)
            await self._wait_while_held()
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            close_with_reset(source)
            close_with_reset(sink)

    async def _wait_while_held(self) -> None:
        await trio.sleep(self.order.delay_s)
        while self.order.mode == "hold":
            await self._order_changed.wait()


class Relay:
    """All routes of one relay process, and the orders that control them.

    Parameters
    ----------
    settings : RelaySettings
        Administration address and routes.
    """

    def __init__(self, settings: RelaySettings) -> None:
        self.routes = {route.name: Route(route) for route in settings.routes}

    async def handle(self, request: Request) -> None:
        """Handle one order."""
        match request.method, split_path(request):
            case "GET", ["routes"]:
                value = {name: r.describe() for name, r in self.routes.items()}
                await request.respond_json(200, value)
            case "PUT", ["routes", name]:
                route = self.routes.get(name)
                if route is None:
                    raise UnknownPath(f"no route {name!r}; known: {list(self.routes)}")
                await route.apply(await read_order(request, RouteOrder))
                await request.respond(204)
            case _:
                raise unknown_path(request)

    async def relay_all(self, listeners: dict[str, trio.SocketListener]) -> None:
        """Relay the connections of each route's listener until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, listener in listeners.items():
                route = self.routes[name]
                nursery.start_soon(trio.serve_listeners, route.relay, [listener])
