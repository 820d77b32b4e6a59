"""At-most-once records, retry budgets and retry decisions."""

from __future__ import annotations

from .attempt import Attempt, BeginResult, Finished, Started
from .decision import AttemptState, Decision, retry_decision
from .errors import (
    AttemptLapsed,
    AttemptRunning,
    FencedOff,
    KeyReused,
    OutcomeUnknown,
    RecordUnavailable,
)
from .fencing import is_refusal_candidate, raise_if_fenced_off
from .fingerprint import fingerprint_of
from .limits import RecordLimits
from .record import StoredOutcome
from .records import OutcomeRecords
from .retry_budget import RetryBudget

__all__ = [
    "Attempt",
    "AttemptLapsed",
    "AttemptRunning",
    "AttemptState",
    "BeginResult",
    "Decision",
    "FencedOff",
    "Finished",
    "KeyReused",
    "OutcomeRecords",
    "OutcomeUnknown",
    "RecordLimits",
    "RecordUnavailable",
    "RetryBudget",
    "Started",
    "StoredOutcome",
    "fingerprint_of",
    "is_refusal_candidate",
    "raise_if_fenced_off",
    "retry_decision",
]
