"""Limits of backend servers and the authority to use them."""

from __future__ import annotations

from .allowance import allowance, total_part
from .delegations import (
    Delegation,
    Delegations,
    Level,
    covered_until_s,
    granted_limit,
)
from .ejection import Ejection
from .foreign import EVIDENCE_S, ForeignWork
from .load import LoadReport, LoadSource
from .promise import CapacityLease
from .ramp import Ramp
from .rendezvous import rank

__all__ = [
    "EVIDENCE_S",
    "Delegation",
    "Delegations",
    "Ejection",
    "ForeignWork",
    "Level",
    "LoadReport",
    "LoadSource",
    "CapacityLease",
    "Ramp",
    "allowance",
    "covered_until_s",
    "granted_limit",
    "rank",
    "total_part",
]
