"""Interfaces to the table service, object store and instance list."""

from __future__ import annotations

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

__all__ = [
    "ABSENT",
    "ANY_VERSION",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "InstanceState",
    "ObjectStore",
    "Row",
    "TableService",
    "Write",
]
