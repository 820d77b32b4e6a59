"""Replay of request traces, checked against expected outcomes."""

from __future__ import annotations

from .bounds import Bound, BoundResult, Expectations
from .deployments import write_book_closing, write_storm_night
from .executions import (
    Execution,
    ExecutionsUnreadable,
    Harms,
    count_harms,
    read_executions,
)
from .measures import ReplayResult, Selection, quantile
from .replayer import Replayer
from .results import Attempt, CallResult
from .switching import SwitchClient
from .trace import Arrival, Entry, SwitchOrder, TraceInvalid, read_trace, write_trace

__all__ = [
    "Arrival",
    "Attempt",
    "Bound",
    "BoundResult",
    "CallResult",
    "Entry",
    "Execution",
    "ExecutionsUnreadable",
    "Expectations",
    "Harms",
    "ReplayResult",
    "Replayer",
    "Selection",
    "SwitchOrder",
    "SwitchClient",
    "TraceInvalid",
    "count_harms",
    "quantile",
    "read_executions",
    "read_trace",
    "write_book_closing",
    "write_storm_night",
    "write_trace",
]
