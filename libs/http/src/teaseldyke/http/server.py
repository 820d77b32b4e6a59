"""HTTP server: one task for each caller's connection."""

from __future__ import annotations

from collections.abc import Callable

import trio
from absl import logging

from teaseldyke.timers import scheduler_passes

from .admission import Admission
from .connection import CallerConnection, ErrorRenderer, Handler, Serving
from .errors import TooManyConnections
from .limits import ServerLimits
from .problem import problem_response
from .stream import Stream, accept_waiting, close_now

ACCEPT_RETRY_S = 0.1
ACCEPTED_AT_ONCE = 256  # connections; a burst larger than that takes another pass
REFUSED_AT_ONCE = 64  # connections above the limit that are answered side by side
REFUSED_RETRY_AFTER_S = 1.0


async def serve(
    listener: trio.SocketListener,
    handler: Handler,
    limits: ServerLimits,
    *,
    stopping: trio.Event | None = None,
    closing: trio.Event | None = None,
    render_error: ErrorRenderer = problem_response,
    admission: Admission | None = None,
    wrap: Callable[[Stream], Stream] | None = None,
) -> None:
    """Serve callers until ``stopping`` is set and running requests have finished.

    Parameters
    ----------
    listener : trio.SocketListener
        Closed before the function returns.
    handler : callable
        Answers one `Request`. A `TeaseldykeError` out of it, before the answer has
        started, becomes a problem; after that the connection is reset.
    limits : ServerLimits
        Bounds of each caller.
    stopping : trio.Event, optional
        Once set, only requests that were already under way are taken, for
        ``limits.stop_linger_s``; running ones finish.
    closing : trio.Event, optional
        Set by the caller, after ``stopping``, in place of that fixed time. Until then
        connections are taken, and each answer asks to close its connection.
    render_error : callable, optional
        Returns status, headers and body of the answer to a connection whose request
        is refused before the handler gets it; a problem by default.
    admission : Admission, optional
        Which requests are begun; all by default.
    wrap : callable, optional
        Returns what is used of an accepted connection in its place.
    """
    stopping = trio.Event() if stopping is None else stopping
    serving = Serving(handler, limits, stopping, render_error, admission or Admission())
    server = _Server(serving, wrap)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(server.accept, listener, connections)
            if closing is not None:
                await closing.wait()
            else:
                await stopping.wait()
                await trio.sleep(limits.stop_linger_s)
            accepting.cancel_scope.cancel()
        server.take_waiting(listener, connections, limits.connections)
        await listener.aclose()
        serving.close_idle()


class _Server:
    def __init__(
        self, serving: Serving, wrap: Callable[[Stream], Stream] | None
    ) -> None:
        self._serving = serving
        self._wrap = wrap
        self._limits = serving.limits
        self._open_connections = 0

    async def accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener.socket)
            # trio's own accept takes one in each pass of the scheduler. Passes are
            # long while the process is busy, and the queue would overflow.
            if not self.take_waiting(listener, connections, ACCEPTED_AT_ONCE):
                await trio.sleep(ACCEPT_RETRY_S)

    def take_waiting(
        self, listener: trio.SocketListener, connections: trio.Nursery, most: int
    ) -> bool:
        """Serve connections that wait; return whether they could be accepted."""
        try:
            streams = accept_waiting(listener, most)
        except OSError as exc:  # such as no free file descriptor
            logging.warning("event=accept_failed error=%r", str(exc))
            return False
        unread_since_s = scheduler_passes().unread_since_s
        for accepted, caller in streams:
            stream = accepted if self._wrap is None else self._wrap(accepted)
            connections.start_soon(self.run_connection, stream, unread_since_s, caller)
        return True

    async def run_connection(
        self, stream: Stream, unread_since_s: float, caller: str
    ) -> None:
        self._open_connections += 1
        try:
            if self._open_connections > self._limits.connections:
                await self._refuse_connection(stream)
                return
            connection = CallerConnection(self._serving, stream, unread_since_s, caller)
            await connection.run()
        except Exception as exc:
            logging.error("event=connection_failed error=%r", exc)
        finally:
            self._open_connections -= 1
            close_now(stream)

    async def _refuse_connection(self, stream: Stream) -> None:
        if self._open_connections > self._limits.connections + REFUSED_AT_ONCE:
            return
        error = TooManyConnections(
            f"server holds {self._limits.connections} connections",
            retry_after_s=REFUSED_RETRY_AFTER_S,
        )
        await CallerConnection(self._serving, stream).refuse(error)
