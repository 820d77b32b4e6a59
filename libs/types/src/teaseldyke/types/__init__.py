"""Data classes and errors shared by every library."""

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

__all__ = [
    "AnswerLost",
    "BackendServer",
    "Configuration",
    "Executed",
    "Organisation",
    "PlatformUnavailable",
    "RequestRule",
    "Service",
    "ServiceKind",
    "SettingsError",
    "Switches",
    "TeaseldykeError",
    "WriteConflict",
]
