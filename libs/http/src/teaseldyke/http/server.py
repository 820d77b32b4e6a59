"""HTTP server with one task per connection."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio
from absl import logging

from teaseldyke.timers import scheduler_passes
from teaseldyke.types import TeaseldykeError

from .admission import Admission
from .caller_account import CallerAccount
from .closures import Cause, RequestState, record_closure
from .connection import (
    CLOSE_TIMEOUT_S,
    CallerConnection,
    Handler,
    RefusalRecorder,
    ServerContext,
)
from .errors import CallerMemoryFull, TooManyConnections
from .limits import ServerLimits
from .problem import problem_response
from .refusals import ErrorRenderer
from .stream import Stream, accept_pending, close_now

ACCEPT_RETRY_S = 0.1
ACCEPT_BATCH_MAX = 256  # connections per scheduler pass
# The same above the limit of connections: each is a descriptor until it is closed.
EXCESS_ACCEPT_BATCH_MAX = 32
REFUSALS_MAX = 64  # concurrent error responses to connections above the limit


async def serve(
    listener: trio.SocketListener,
    handler: Handler,
    limits: ServerLimits,
    *,
    stopping: trio.Event | None = None,
    closing: trio.Event | None = None,
    render_error: ErrorRenderer = problem_response,
    admission: Admission | None = None,
    record_refusal: RefusalRecorder = lambda error: None,
    wrap: Callable[[Stream], Stream] | None = None,
    account: CallerAccount | None = None,
    idle_limit_s: Callable[[], float] = lambda: math.inf,
) -> None:
    """Serve requests until ``stopping`` is set and running requests have finished.

    Parameters
    ----------
    listener : trio.SocketListener
        Closed before the function returns.
    handler : callable
        Responds to one `Request`. A `TeaseldykeError` raised before the response has
        started is sent as a problem document; later the connection is reset.
    limits : ServerLimits
        Size and time limits of each caller.
    stopping : trio.Event, optional
        Starts a graceful shutdown: for ``limits.stop_linger_s``, requests that were
        already in transit are still accepted; running requests finish.
    closing : trio.Event, optional
        Ends the grace period in place of ``limits.stop_linger_s``; to be set after
        ``stopping``. Until then connections are accepted, and each response carries
        ``Connection: close``.
    render_error : callable, optional
        Returns status, headers and body of the response to a request that is refused
        before it reaches the handler; a problem document by default.
    admission : Admission, optional
        Admission control; admits all requests by default.
    record_refusal : callable, optional
        Called with the error of each request that is refused before it reaches the
        handler. The response to an overload is rendered only a few times.
    wrap : callable, optional
        Returns the stream to use in place of an accepted connection.
    account : CallerAccount, optional
        Counts the connections and what is held for them, and closes some of them above
        its limits; by default ``limits.connections`` is the only one.
    idle_limit_s : callable, optional
        Returns the longest wait for the next request that is allowed at the time, if
        shorter than ``limits.idle_timeout_s``.
    """
    stopping = trio.Event() if stopping is None else stopping
    context = ServerContext(
        handler,
        limits,
        stopping,
        render_error,
        admission or Admission(),
        record_refusal,
        account or CallerAccount(connections_max=limits.connections),
        idle_limit_s,
    )
    server = _Server(context, wrap)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(server.accept, listener, connections)
            if closing is not None:
                await closing.wait()
            else:
                await stopping.wait()
                await trio.sleep(limits.stop_linger_s)
            accepting.cancel_scope.cancel()
        server.serve_pending(listener, connections, limits.connections)
        await listener.aclose()
        context.close_idle()


class _Server:
    def __init__(
        self, context: ServerContext, wrap: Callable[[Stream], Stream] | None
    ) -> None:
        self._context = context
        self._wrap = wrap
        self._limits = context.limits
        self._open_connections = 0
        self._refusals = 0

    async def accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener.socket)
            # trio's accept takes one connection per scheduler pass. Passes are long
            # while the process is busy, and the accept queue would overflow.
            room = self._limits.connections + REFUSALS_MAX - self._open_connections
            batch = min(ACCEPT_BATCH_MAX, max(EXCESS_ACCEPT_BATCH_MAX, room))
            if not self.serve_pending(listener, connections, batch):
                await trio.sleep(ACCEPT_RETRY_S)

    def serve_pending(
        self, listener: trio.SocketListener, connections: trio.Nursery, max_count: int
    ) -> bool:
        """Accept and serve pending connections; return false if accepting failed."""
        try:
            streams = accept_pending(listener, max_count)
        except OSError as exc:  # such as a lack of file descriptors
            logging.warning("event=accept_failed error=%r", str(exc))
            return False
        unread_since_s = scheduler_passes().unread_since_s
        for accepted, caller in streams:
            stream = accepted if self._wrap is None else self._wrap(accepted)
            self._open_connections += 1
            connections.start_soon(self.run_connection, stream, unread_since_s, caller)
        return True

    async def run_connection(
        self, stream: Stream, unread_since_s: float, caller: str
    ) -> None:
        try:
            connection = CallerConnection(self._context, stream, unread_since_s, caller)
            try:
                await connection.run()
            except (CallerMemoryFull, TooManyConnections) as error:
                await self._refuse_connection(stream, caller, error)
        except Exception as exc:
            logging.error("event=connection_failed error=%r", exc)
        finally:
            self._open_connections -= 1
            close_now(stream)

    async def _refuse_connection(
        self, stream: Stream, caller: str, error: TeaseldykeError
    ) -> None:
        connection = CallerConnection(self._context, stream)
        if self._refusals >= REFUSALS_MAX:
            record_closure(Cause.CONNECTION_LIMIT, RequestState.UNREAD, caller)
            connection.refuse_at_once(error)
            return
        # It counts as open, and must not keep others out for long.
        self._refusals += 1
        try:
            await connection.refuse(error, CLOSE_TIMEOUT_S)
        finally:
            self._refusals -= 1
