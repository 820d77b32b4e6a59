"""Runs a router process from startup to planned stop."""

from __future__ import annotations

import signal

import trio

from teaseldyke.http import ServerLimits, serve
from teaseldyke.settings import Address, RouterSettings
from teaseldyke.telemetry import log_change, log_fault
from teaseldyke.timers import Timers

from .administration import SHEET_LIMIT_BYTES, Administration
from .instances import InstanceListSync
from .parts import Components, build_administration, build_components, caller_limits

ADMINISTRATION_LIMITS = ServerLimits(body_bytes=SHEET_LIMIT_BYTES, connections=256)
# Startup waits this long for a configuration, enough for several reads of a slow store;
# after that the router starts and refuses requests until one is loaded.
CONFIGURATION_WAIT_S = 3.0
# Delay between losing readiness and closing the port, so that the load balancer stops
# sending new connections first.
READINESS_GRACE_S = 1.0


async def run_router(settings: RouterSettings) -> None:
    """Run a router until it is stopped by a signal."""
    components = build_components(settings)
    stopping, listening = trio.Event(), trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(components.links.run)
        components.links.set_peers(components.membership.addresses)
        instance_sync = InstanceListSync(
            components.platform.instances,
            settings,
            components.membership,
            components.links,
            components.records,
        )
        await instance_sync.refresh()
        Timers(nursery).every(settings.list_poll_s, instance_sync.refresh)
        await nursery.start(components.dispatching.run)
        await nursery.start(components.records.run)
        await nursery.start(components.reader.run)
        nursery.start_soon(
            _serve_administration,
            build_administration(components, stopping.is_set, listening.is_set),
            await _listen(settings.administration),
        )
        nursery.start_soon(
            _stop_on_signal, components, instance_sync, stopping, nursery
        )
        # While the port is closed, callers connect to another router.
        with trio.move_on_after(CONFIGURATION_WAIT_S):
            await components.reader.loaded.wait()
        callers = await _listen(settings.callers)
        listening.set()
        log_change("router_started", router=settings.name, callers=settings.callers)
        limits = caller_limits(settings.limits)
        await _serve_callers(components, callers, limits, stopping)
        await components.dispatching.drain()
        await components.records.drained()
        nursery.cancel_scope.cancel()
    components.tracing.close()
    log_change("router_stopped", router=settings.name)


async def _listen(address: Address) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    return listeners[0]


async def _serve_callers(
    components: Components,
    listener: trio.SocketListener,
    limits: ServerLimits,
    stopping: trio.Event,
) -> None:
    closing = trio.Event()

    async def close_after_grace() -> None:
        await stopping.wait()
        await trio.sleep(READINESS_GRACE_S)
        closing.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(close_after_grace)
        await serve(listener, components.callers.handle, limits, stopping=closing)


async def _serve_administration(
    administration: Administration, listener: trio.SocketListener
) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(administration.run)
        await serve(listener, administration.handle, ADMINISTRATION_LIMITS)


async def _stop_on_signal(
    components: Components,
    instance_sync: InstanceListSync,
    stopping: trio.Event,
    nursery: trio.Nursery,
) -> None:
    """Start a planned stop on the first signal; stop immediately on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping.is_set():
                log_fault("stopped_at_once", running=components.callers.running)
                nursery.cancel_scope.cancel()
                return
            stopping.set()
            log_change("stopping", running=components.callers.running)
            nursery.start_soon(instance_sync.leave)
            nursery.start_soon(_cancel_after_drain_timeout, components, nursery)


async def _cancel_after_drain_timeout(
    components: Components, nursery: trio.Nursery
) -> None:
    await trio.sleep(components.settings.drain_timeout_s)
    log_fault("drain_timed_out", running=components.callers.running)
    nursery.cancel_scope.cancel()
