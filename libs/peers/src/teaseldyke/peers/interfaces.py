"""Interface of the links between routers."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs

Handler = Callable[[str, Any], Awaitable[None]]


class LinkState(enum.Enum):
    """State of a peer's process, as seen by this router."""

    UP = "up"
    DOWN = "down"  # unreachable, or not connected yet
    GONE = "gone"  # its host refused a TCP connection: the process has ended


@attrs.frozen
class PeerAddress:
    """Address on which a peer listens for control messages."""

    host: str
    port: int


class PeerLinks(Protocol):
    """Links to the other routers."""

    def send(self, peer: str, message: object) -> None:
        """Queue a message; dropped if the peer is not up. Never blocks."""
        ...

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``await handler(sender, message)`` for each message of a type."""
        ...

    def state(self, peer: str) -> LinkState:
        """Return the state of a peer's process."""
        ...

    def last_received_at_s(self, peer: str) -> float:
        """Return when a peer's last message was received, or minus infinity."""
        ...
