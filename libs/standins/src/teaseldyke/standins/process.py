"""Lifecycle of a stand-in process: listening, readiness, signals, draining."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import trio

from teaseldyke.http import HttpClient, Request, ServerLimits, serve
from teaseldyke.platform import HttpInstanceList, Instance
from teaseldyke.settings import Address

from .announcing import announce_periodically
from .backend import BackendState
from .faults import extra_bytes_wrapper

BODY_LIMIT_BYTES = 64 * 1024 * 1024
IDLE_POLL_S = 0.05
PLATFORM_TIMEOUT_S = 2.0

Handler = Callable[[Request], Awaitable[None]]


async def open_listener(address: Address) -> trio.SocketListener:
    """Open a listening socket at an address."""
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    return listeners[0]


def limits(connections: int) -> ServerLimits:
    """Return the limits of a stand-in's HTTP server."""
    return ServerLimits(
        body_bytes=BODY_LIMIT_BYTES, connections=connections, idle_timeout_s=600.0
    )


def print_ready(name: str, listener: trio.SocketListener) -> None:
    """Print the line that says that a process accepts connections."""
    host, port = listener.socket.getsockname()[:2]
    print(f"ready name={name} listen={host}:{port}", flush=True)


async def run_until_signal(
    name: str, listener: trio.SocketListener, handler: Handler, connections: int
) -> None:
    """Serve until SIGTERM or SIGINT; running requests finish first.

    A second signal exits at once.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, signals, stopping)
            print_ready(name, listener)
            await serve(listener, handler, limits(connections), stopping=stopping)
            nursery.cancel_scope.cancel()


@attrs.define
class BackendProcess:
    """Process of an engine or a plain service.

    On SIGTERM or SIGINT it announces itself as leaving, serves for another
    ``leave_s`` seconds and then exits as soon as no request is running or queued. A
    second signal exits at once.

    Parameters
    ----------
    state : BackendState
        Settings and load of the server.
    handler : Callable
        Handles one request.
    """

    state: BackendState
    handler: Handler

    async def run(self) -> None:
        """Serve until a signal stops the process."""
        settings = self.state.settings
        listener = await open_listener(settings.listen)
        port = listener.socket.getsockname()[1]
        leaving = trio.Event()
        stopping = trio.Event()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._drain_on_signal, signals, leaving, stopping)
                nursery.start_soon(self._announce, port, leaving)
                print_ready(settings.name, listener)
                await serve(
                    listener,
                    self.handler,
                    limits(settings.connections),
                    stopping=stopping,
                    wrap=extra_bytes_wrapper(self.state.extra),
                )
                nursery.cancel_scope.cancel()

    async def _announce(self, port: int, leaving: trio.Event) -> None:
        settings = self.state.settings
        if settings.platform is None:
            return
        instances = HttpInstanceList(
            HttpClient(PLATFORM_TIMEOUT_S),
            settings.platform.host,
            settings.platform.port,
        )
        instance = Instance(
            name=settings.name,
            role="backend-server",
            state="live",
            failure_domain=settings.failure_domain,
            host=settings.listen.host,
            port=port,
        )
        await announce_periodically(
            instances, instance, settings.announce_ttl_s, leaving
        )

    async def _drain_on_signal(
        self,
        signals: AsyncIterator[int],
        leaving: trio.Event,
        stopping: trio.Event,
    ) -> None:
        async with trio.open_nursery() as nursery:
            async for _ in signals:
                if leaving.is_set():
                    raise SystemExit(1)
                leaving.set()
                nursery.start_soon(self._stop_when_drained, stopping)

    async def _stop_when_drained(self, stopping: trio.Event) -> None:
        await trio.sleep(self.state.settings.leave_s)
        while self.state.load.running + self.state.load.waiting > 0:
            await trio.sleep(IDLE_POLL_S)
        stopping.set()


async def _stop_on_signal(signals: AsyncIterator[int], stopping: trio.Event) -> None:
    async for _ in signals:
        if stopping.is_set():
            raise SystemExit(1)
        stopping.set()
