"""Runs a router process from its start to its planned stop."""

from __future__ import annotations

import signal

import trio

from teaseldyke.http import ServerLimits, serve
from teaseldyke.settings import Address, RouterSettings
from teaseldyke.telemetry import log_change, log_fault
from teaseldyke.timers import Timers

from .administration import SHEET_LIMIT_BYTES
from .instances import InstanceListKeeper
from .parts import Parts, administration_of, assemble, caller_limits

ADMINISTRATION_LIMITS = ServerLimits(body_bytes=SHEET_LIMIT_BYTES, connections=256)
CONFIGURATION_WAIT_S = 3.0  # several looks at a slow store; then refusals say so
READINESS_GRACE_S = 1.0  # the balancer sees the readiness go before the port closes


async def run_router(settings: RouterSettings) -> None:
    """Run a router until a signal stops it."""
    parts = assemble(settings)
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(parts.links.run)
        parts.links.set_peers(parts.membership.addresses)
        keeper = InstanceListKeeper(
            parts.platform.instances,
            settings,
            parts.membership,
            parts.links,
            parts.records,
        )
        await keeper.refresh()
        Timers(nursery).every(settings.list_poll_s, keeper.refresh)
        await nursery.start(parts.dispatching.run)
        await nursery.start(parts.records.run)
        await nursery.start(parts.reader.run)
        administration = await _listen(settings.administration)
        nursery.start_soon(_serve_administration, parts, administration, stopping)
        nursery.start_soon(_stop_on_signal, parts, keeper, stopping, nursery)
        # Callers go to another router as long as the port is closed.
        with trio.move_on_after(CONFIGURATION_WAIT_S):
            await parts.reader.first.wait()
        callers = await _listen(settings.callers)
        log_change("router_started", router=settings.name, callers=settings.callers)
        limits = caller_limits(settings.limits)
        await _serve_callers(parts, callers, limits, stopping)
        await parts.dispatching.drain()
        await parts.records.drained()
        nursery.cancel_scope.cancel()
    parts.tracing.close()
    log_change("router_stopped", router=settings.name)


async def _listen(address: Address) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    return listeners[0]


async def _serve_callers(
    parts: Parts,
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
        await serve(listener, parts.callers.handle, limits, stopping=closing)


async def _serve_administration(
    parts: Parts, listener: trio.SocketListener, stopping: trio.Event
) -> None:
    administration = administration_of(parts, stopping.is_set)
    async with trio.open_nursery() as nursery:
        await nursery.start(administration.run)
        await serve(listener, administration.handle, ADMINISTRATION_LIMITS)


async def _stop_on_signal(
    parts: Parts,
    keeper: InstanceListKeeper,
    stopping: trio.Event,
    nursery: trio.Nursery,
) -> None:
    """Start a planned stop at the first signal; end at once at the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping.is_set():
                log_fault("stopped_at_once", running=parts.callers.running)
                nursery.cancel_scope.cancel()
                return
            stopping.set()
            log_change("stopping", running=parts.callers.running)
            nursery.start_soon(keeper.leave)
            nursery.start_soon(_end_at_deadline, parts, nursery)


async def _end_at_deadline(parts: Parts, nursery: trio.Nursery) -> None:
    await trio.sleep(parts.settings.drain_timeout_s)
    log_fault("drain_timed_out", running=parts.callers.running)
    nursery.cancel_scope.cancel()
