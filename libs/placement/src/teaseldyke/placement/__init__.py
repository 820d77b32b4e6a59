"""Queueing, admission control and placement decisions, without input and output."""

from __future__ import annotations

from .begun_streams import (
    BegunStream,
    BegunStreams,
    FactSource,
    News,
    ServiceVersion,
    split_keys,
    stream_key,
)
from .choice import Choice, choose_engine, choose_plain, rendezvous_weight, shortlist
from .crash_evidence import CrashEvidence
from .demand import ServiceDemand
from .fleet_room import FleetRoom
from .limit_shares import FleetDemand, limit_senders, limit_share
from .limited_service import capacity_within_limits, limits_allow_in_s
from .recheck import CHOICE_TTL_S, lapse_reason
from .refusal import (
    STREAM_START_S,
    Refusal,
    answer_time_s,
    check_admission,
    retry_delay_s,
    service_time_s,
)
from .request_identity import RequestIdentity
from .resumption import EventSizes, work_left
from .rollout import (
    Rollout,
    RouteAnswers,
    Stage,
    Verdict,
    VersionSide,
    trial_server,
)
from .servers import (
    FAILURE_RATE_MAX,
    CapacityQuota,
    Load,
    RoundSends,
    ServerState,
    next_accepting_in_s,
    usable,
)
from .shares import DecayingSum, FairShares, Standing, water_level
from .silence import Patience, ServerActivity, Silence, engine_patience, plain_patience
from .stated_limit import LimitReport, StatedLimit
from .stream_origins import StreamOrigin, StreamVersions
from .stream_version import (
    bound_to,
    may_copy_memory,
    servers_for,
    services_to_resume_at,
)
from .suspects import REQUEST_DEPTH, SuspectReport, is_request
from .waiting import AwaitedServer, QueuedRequest, RequestQueue
from .window_budget import ColdRateLimit, RetryBudget, cold_senders_max
from .work import Work

__all__ = [
    "CHOICE_TTL_S",
    "EventSizes",
    "FAILURE_RATE_MAX",
    "REQUEST_DEPTH",
    "STREAM_START_S",
    "AwaitedServer",
    "BegunStream",
    "BegunStreams",
    "CapacityQuota",
    "Choice",
    "ColdRateLimit",
    "CrashEvidence",
    "DecayingSum",
    "FactSource",
    "FairShares",
    "FleetDemand",
    "FleetRoom",
    "LimitReport",
    "Load",
    "News",
    "Patience",
    "QueuedRequest",
    "Refusal",
    "RequestIdentity",
    "Rollout",
    "RouteAnswers",
    "Stage",
    "Verdict",
    "VersionSide",
    "trial_server",
    "RequestQueue",
    "RetryBudget",
    "RoundSends",
    "ServerState",
    "ServerActivity",
    "ServiceDemand",
    "ServiceVersion",
    "Silence",
    "Standing",
    "StatedLimit",
    "StreamOrigin",
    "StreamVersions",
    "SuspectReport",
    "Work",
    "answer_time_s",
    "bound_to",
    "capacity_within_limits",
    "check_admission",
    "choose_engine",
    "choose_plain",
    "cold_senders_max",
    "engine_patience",
    "is_request",
    "lapse_reason",
    "limit_senders",
    "limit_share",
    "limits_allow_in_s",
    "may_copy_memory",
    "next_accepting_in_s",
    "plain_patience",
    "rendezvous_weight",
    "retry_delay_s",
    "servers_for",
    "services_to_resume_at",
    "service_time_s",
    "shortlist",
    "split_keys",
    "stream_key",
    "usable",
    "water_level",
    "work_left",
]
