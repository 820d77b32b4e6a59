"""Fair queueing of organisations by actual cost and share."""

from __future__ import annotations

from .accounts import Account, Accounts
from .drain_rate import DrainRate
from .estimates import CostEstimates
from .served import ServedCosts

__all__ = ["Account", "Accounts", "CostEstimates", "DrainRate", "ServedCosts"]
