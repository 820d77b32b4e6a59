"""Settings of processes, loaded from YAML into attrs classes."""

from __future__ import annotations

from .address import Address
from .conversion import Fault, convert_mapping
from .description import SettingDescription, describe
from .fields import spec
from .loading import (
    EXIT_SETTINGS,
    load_settings,
    parse_settings,
    settings_or_exit,
)
from .router import (
    NAME_PATTERN,
    CallerLimits,
    OperatorRole,
    OperatorToken,
    PeerSettings,
    RouterSettings,
    TracingSettings,
)

__all__ = [
    "Address",
    "CallerLimits",
    "EXIT_SETTINGS",
    "Fault",
    "NAME_PATTERN",
    "OperatorRole",
    "OperatorToken",
    "PeerSettings",
    "RouterSettings",
    "SettingDescription",
    "TracingSettings",
    "convert_mapping",
    "describe",
    "load_settings",
    "parse_settings",
    "spec",
    "settings_or_exit",
]
