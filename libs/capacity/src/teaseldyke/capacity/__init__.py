"""Concurrency limits of backend servers and their delegation to dispatchers."""

from __future__ import annotations

from .allowance import allowed_concurrency, total_fraction
from .delegations import (
    DelegatedFraction,
    Delegation,
    Delegations,
    covered_until_s,
    granted_limit,
)
from .ejection import Ejection
from .foreign import UNCONFIRMED_HOLD_S, ForeignRequests
from .load import LoadReport, LoadSource
from .promise import CapacityLease
from .ramp import Ramp
from .rendezvous import rendezvous_order

__all__ = [
    "UNCONFIRMED_HOLD_S",
    "CapacityLease",
    "DelegatedFraction",
    "Delegation",
    "Delegations",
    "Ejection",
    "ForeignRequests",
    "LoadReport",
    "LoadSource",
    "Ramp",
    "allowed_concurrency",
    "covered_until_s",
    "granted_limit",
    "rendezvous_order",
    "total_fraction",
]
