"""Decisions on waiting, refusal and placement, apart from input and output."""

from __future__ import annotations

from .choice import Choice, choose_engine, choose_plain, shortlist, weight
from .refusal import Refusal, refusal_of, return_pause_s, service_time_s
from .servers import (
    FAILURE_SHARE_MAX,
    CapacityQuota,
    Load,
    RoundSends,
    ServerState,
    usable,
)
from .shares import DecayingSum, FairShares, Standing, water_level
from .waiting import AwaitedServer, QueuedRequest, RequestQueue
from .window_budget import ColdAllowance, RetryBudget, cold_senders
from .work import Work

__all__ = [
    "FAILURE_SHARE_MAX",
    "AwaitedServer",
    "Choice",
    "ColdAllowance",
    "DecayingSum",
    "Load",
    "Refusal",
    "RetryBudget",
    "CapacityQuota",
    "RoundSends",
    "ServerState",
    "Standing",
    "FairShares",
    "QueuedRequest",
    "RequestQueue",
    "Work",
    "choose_engine",
    "choose_plain",
    "cold_senders",
    "refusal_of",
    "return_pause_s",
    "service_time_s",
    "shortlist",
    "usable",
    "water_level",
    "weight",
]
