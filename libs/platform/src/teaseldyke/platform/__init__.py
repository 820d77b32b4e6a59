"""Interfaces to the platform's table service, object store and instance list."""

from __future__ import annotations

from .drivers import (
    ERA_HEADER,
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from .faults import CallCounts, Faults
from .interfaces import (
    ABSENT,
    ANY_VERSION,
    Instance,
    InstanceList,
    InstanceRole,
    InstanceState,
    ObjectStore,
    Row,
    TableService,
    Write,
)
from .memory import MemoryInstanceList, MemoryObjectStore, MemoryTableService

__all__ = [
    "ABSENT",
    "ANY_VERSION",
    "CallCounts",
    "ERA_HEADER",
    "Faults",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTableService",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "InstanceState",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryTableService",
    "ObjectStore",
    "Row",
    "TableService",
    "Write",
]
