"""The three narrow interfaces through which the platform is met."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal, Protocol

import attrs

ANY_VERSION = -1  # a write with this expected version is unconditional
ABSENT = 0  # the expected version of a row that must not exist

InstanceState = Literal["live", "leaving"]
InstanceRole = Literal["router", "backend-server"]


@attrs.frozen
class Row:
    """One row of a table; the version grows by one with each write."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    table, key : str
        Where to write.
    value : bytes or None
        New value; ``None`` deletes the row.
    expected_version : int
        Version that must stand before, `ABSENT` or `ANY_VERSION`.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int = ANY_VERSION


class TableService(Protocol):
    """Transactional tables.

    Each method raises `PlatformUnavailable` when the request surely had no effect;
    `transact` raises `AnswerLost` when it may have had one and `WriteConflict` when
    an expected version did not stand.
    """

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None``."""
        ...

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows in key order whose key has the prefix and follows ``after``."""
        ...

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes or none; return the new version of each row."""
        ...


class ObjectStore(Protocol):
    """Whole objects by name; raises `PlatformUnavailable` and `AnswerLost`."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing one of the same name."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None``."""
        ...

    async def names(self, prefix: str = "") -> list[str]:
        """Return the sorted names with the prefix."""
        ...


@attrs.frozen
class Instance:
    """An entry of the platform's instance list.

    Parameters
    ----------
    name : str
        Identifier of a router, or name of a backend server.
    role : {"router", "backend-server"}
        What it is.
    state : {"live", "leaving"}
        A leaving instance gets no new work.
    failure_domain : str
        Failure domain that it stands in.
    host : str
        IP number.
    port : int
        Control port of a router, service port of a backend server.
    admin_port : int
        Administration port of a router; 0 for a backend server.
    """

    name: str
    role: InstanceRole
    state: InstanceState
    failure_domain: str
    host: str
    port: int
    admin_port: int = 0


class InstanceList(Protocol):
    """The platform's lagging list of instances; raises `PlatformUnavailable`."""

    async def instances(self) -> list[Instance]:
        """Return the live and leaving instances as the platform sees them."""
        ...

    async def announce(self, instance: Instance, ttl_s: float) -> None:
        """Enter or renew this process's own entry for ``ttl_s`` seconds."""
        ...
