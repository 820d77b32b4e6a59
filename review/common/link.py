"""A link between two processes that can be partitioned for a while."""

from __future__ import annotations

import attrs
import trio


@attrs.define(eq=False)
class Link:
    """Passes bytes on to a port; holds them up while it is cut, as TCP does.

    Attributes
    ----------
    port : int
        Port of this end.
    """

    target_port: int
    port: int = 0
    _is_open: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self._is_open.set()

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self._is_open = trio.Event()

    def heal(self) -> None:
        """Deliver what was held up."""
        self._is_open.set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        await self._is_open.wait()
        target = await trio.open_tcp_stream("127.0.0.1", self.target_port)
        async with target, stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, stream, target, nursery)
            nursery.start_soon(self._pass_on, target, stream, nursery)

    async def _pass_on(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while True:
                data = await source.receive_some(65536)
                await self._is_open.wait()
                if not data:
                    break
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()
