"""Command ``teaseldyke-standin``."""

from __future__ import annotations

import math

import fire
import trio

from teaseldyke.http import serve
from teaseldyke.platform import Faults
from teaseldyke.settings import settings_or_exit

from .budget import CallBudget
from .engine import Engine
from .platform import Platform, View
from .process import (
    BackendProcess,
    limits,
    open_listener,
    print_ready,
    run_until_signal,
)
from .relay import Relay
from .service import PlainService
from .settings import (
    EngineSettings,
    PlatformSettings,
    RelaySettings,
    ServiceSettings,
)

RELAY_CONNECTIONS = 64  # connections to the administration address


class Standin:
    """Stand-ins for tests, demonstration and measurement.

    Each runs until SIGTERM and prints one line, ``ready name=... listen=...``, when
    it accepts connections.
    """

    def platform(self, settings: str) -> None:
        """Run the table service, object store and instance list.

        Parameters
        ----------
        settings : str
            Settings file, YAML.
        """
        trio.run(_run_platform, settings_or_exit(settings, PlatformSettings))

    def engine(self, settings: str) -> None:
        """Run a model engine.

        Parameters
        ----------
        settings : str
            Settings file, YAML.
        """
        engine = Engine(settings_or_exit(settings, EngineSettings))
        trio.run(BackendProcess(engine.state, engine.handle).run)

    def service(self, settings: str) -> None:
        """Run a plain service.

        Parameters
        ----------
        settings : str
            Settings file, YAML.
        """
        service = PlainService(settings_or_exit(settings, ServiceSettings))
        trio.run(BackendProcess(service.state, service.handle).run)

    def relay(self, settings: str) -> None:
        """Run a TCP relay that cuts, delays and half-closes connections on request.

        Parameters
        ----------
        settings : str
            Settings file, YAML.
        """
        trio.run(_run_relay, settings_or_exit(settings, RelaySettings))


async def _run_platform(settings: PlatformSettings) -> None:
    platform = Platform(
        Faults(lag_s=settings.list_lag_s),
        CallBudget("reads", settings.reads_per_s or math.inf),
        CallBudget("written rows", settings.writes_per_s or math.inf),
    )
    main_view = View(platform, settings.aliases)
    listener = await open_listener(settings.listen)
    async with trio.open_nursery() as nursery:
        for view in settings.views:
            handler = View(platform, view.aliases).handle
            server_limits = limits(settings.connections)
            nursery.start_soon(
                serve, await open_listener(view.listen), handler, server_limits
            )
        await run_until_signal(
            "platform", listener, main_view.handle, settings.connections
        )
        nursery.cancel_scope.cancel()


async def _run_relay(settings: RelaySettings) -> None:
    relay = Relay(settings)
    listeners = {
        route.name: await open_listener(route.listen) for route in settings.routes
    }
    admin = await open_listener(settings.admin)
    for name, listener in listeners.items():
        print_ready(name, listener)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(relay.relay_all, listeners)
        await run_until_signal("relay", admin, relay.handle, RELAY_CONNECTIONS)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the command line."""
    fire.Fire(Standin, name="teaseldyke-standin")
