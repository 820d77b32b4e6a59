"""Request queues, demand reports, grants and the dispatcher role."""

from __future__ import annotations

from .dispatching import Dispatching
from .errors import (
    DispatchError,
    NotReady,
    OrganisationRefused,
    PermitLapsed,
    QueueFull,
    QueueTimeout,
    ServiceUnknown,
)
from .messages import dispatch_codec
from .options import DispatchOptions
from .permit import Completion, Permit
from .snapshot import DispatchSnapshot, QueueSnapshot, ServerSnapshot, ShardSnapshot

__all__ = [
    "Completion",
    "DispatchError",
    "DispatchOptions",
    "DispatchSnapshot",
    "Dispatching",
    "NotReady",
    "OrganisationRefused",
    "Permit",
    "PermitLapsed",
    "QueueFull",
    "QueueSnapshot",
    "QueueTimeout",
    "ServerSnapshot",
    "ServiceUnknown",
    "ShardSnapshot",
    "dispatch_codec",
]
