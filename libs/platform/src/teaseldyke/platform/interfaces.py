"""The three interfaces to the platform: tables, objects and the instance list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal, Protocol

import attrs

ANY_VERSION = -1  # expected version of an unconditional write
ABSENT = 0  # expected version of a row that must not exist

InstanceState = Literal["live", "leaving"]
InstanceRole = Literal["router", "backend-server"]


@attrs.frozen
class Row:
    """One row of a table; each write increases the version by one."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    table, key : str
        Row to write.
    value : bytes or None
        New value; ``None`` deletes the row.
    expected_version : int
        Version that the row must have before the write, `ABSENT` or `ANY_VERSION`.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int = ANY_VERSION


class TableService(Protocol):
    """Transactional tables.

    Each method raises `PlatformUnavailable` if the call had no effect; `transact`
    raises `AnswerLost` if it may have had one and `WriteConflict` if a row did not have
    its expected version.
    """

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        ...

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return at most ``limit`` rows in key order.

        Their keys start with the prefix and sort after ``after``.
        """
        ...

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes atomically; return the new version of each row."""
        ...


class ObjectStore(Protocol):
    """Named objects, read and written as a whole.

    Each method raises `PlatformUnavailable` if the call had no effect; `put` raises
    `AnswerLost` if it may have had one.
    """

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any of the same name."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        ...

    async def names(self, prefix: str = "") -> list[str]:
        """Return the sorted names that start with the prefix."""
        ...


@attrs.frozen
class Instance:
    """An entry of the platform's instance list.

    Parameters
    ----------
    name : str
        Identifier of a router, or name of a backend server.
    role : {"router", "backend-server"}
        Kind of process.
    state : {"live", "leaving"}
        A leaving instance is draining and gets no new work.
    failure_domain : str
        Failure domain that it belongs to.
    host : str
        IP address.
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
    """The platform's list of instances, which lags behind their announcements.

    Each method raises `PlatformUnavailable` if the call had no effect; `announce`
    raises `AnswerLost` if it may have had one.
    """

    async def instances(self) -> list[Instance]:
        """Return the live and leaving instances known to the platform."""
        ...

    async def announce(self, instance: Instance, ttl_s: float) -> None:
        """Create or renew this process's own entry for ``ttl_s`` seconds."""
        ...
