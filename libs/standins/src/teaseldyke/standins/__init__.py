"""Stand-ins for backend servers and the platform."""

from __future__ import annotations

from .backend import EXIT_COLD_OVERRUN, BackendState
from .engine import Engine
from .generation import Generation
from .platform import Platform, View
from .relay import Relay
from .service import PlainService
from .settings import (
    EngineSettings,
    PlatformSettings,
    RelaySettings,
    RouteSettings,
    ServiceSettings,
)

__all__ = [
    "BackendState",
    "EXIT_COLD_OVERRUN",
    "Engine",
    "EngineSettings",
    "Generation",
    "PlainService",
    "Platform",
    "PlatformSettings",
    "Relay",
    "RelaySettings",
    "RouteSettings",
    "ServiceSettings",
    "View",
]
