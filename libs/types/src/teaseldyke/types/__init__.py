"""Data classes and errors shared by all libraries."""

from __future__ import annotations

from .configuration import (
    BackendServer,
    Configuration,
    Organisation,
    RequestRule,
    Service,
    ServiceKind,
    Switches,
)
from .errors import (
    AnswerLost,
    Executed,
    PlatformUnavailable,
    SettingsError,
    TeaseldykeError,
    WriteConflict,
)
from .routing import (
    AnnouncedServer,
    CallerBounds,
    KeyedOrganisation,
    RolloutOrder,
    Route,
    RouteKind,
    RoutingTable,
    ServiceDescription,
)
from .store_version import NO_VERSION, StoreVersion

__all__ = [
    "AnnouncedServer",
    "AnswerLost",
    "BackendServer",
    "CallerBounds",
    "Configuration",
    "Executed",
    "KeyedOrganisation",
    "NO_VERSION",
    "Organisation",
    "PlatformUnavailable",
    "RequestRule",
    "RolloutOrder",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Service",
    "ServiceDescription",
    "ServiceKind",
    "SettingsError",
    "StoreVersion",
    "Switches",
    "TeaseldykeError",
    "WriteConflict",
]
