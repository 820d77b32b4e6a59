"""A gateway for fleets run by a platform, which is accessed through interfaces."""

from __future__ import annotations

from .feed_polls import FeedPolls
from .interfaces import (
    AnswerFacts,
    CallFacts,
    CallMalformed,
    Directory,
    DirectoryListener,
    FeedRole,
    Headers,
    KnownVersions,
    LostCalls,
    Peer,
    RolloutState,
    Wire,
)
from .process import Gateway
from .settings import FleetBounds, GatewaySettings

__all__ = [
    "AnswerFacts",
    "CallFacts",
    "CallMalformed",
    "Directory",
    "DirectoryListener",
    "FeedPolls",
    "FeedRole",
    "FleetBounds",
    "Gateway",
    "GatewaySettings",
    "Headers",
    "KnownVersions",
    "LostCalls",
    "Peer",
    "RolloutState",
    "Wire",
]
