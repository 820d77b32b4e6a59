"""Links between routers, their codec and the fleet's membership."""

from __future__ import annotations

from .codec import Codec, MessageInvalid
from .interfaces import Handler, LinkState, PeerAddress, PeerLinks
from .links import LinkCounters, Links
from .membership import Membership
from .memory import MemoryLinks, MemoryNetwork

__all__ = [
    "Codec",
    "Handler",
    "LinkCounters",
    "LinkState",
    "Links",
    "Membership",
    "MemoryLinks",
    "MemoryNetwork",
    "MessageInvalid",
    "PeerAddress",
    "PeerLinks",
]
