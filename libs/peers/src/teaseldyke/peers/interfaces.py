"""What the dispatch library needs of the links between routers."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs

Handler = Callable[[str, Any], Awaitable[None]]


class LinkState(enum.Enum):
    """What is known of a peer's process."""

    UP = "up"
    DOWN = "down"  # unreachable, or not connected yet
    GONE = "gone"  # its host refused a plain TCP connection: no such process


@attrs.frozen
class PeerAddress:
    """Where a peer listens for control messages."""

    host: str
    port: int


class PeerLinks(Protocol):
    """Links to the other routers."""

    def send(self, peer: str, message: object) -> None:
        """Queue a message; drops it when the peer is not up. Never blocks."""
        ...

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``await handler(sender, message)`` for each message of a type."""
        ...

    def state(self, peer: str) -> LinkState:
        """Return what is known of a peer's process."""
        ...

    def last_received_at_s(self, peer: str) -> float:
        """Return when the last message of a peer came, or minus infinity."""
        ...
