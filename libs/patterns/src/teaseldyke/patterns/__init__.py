"""Load patterns played against the decisions, with a model of the engines."""

from __future__ import annotations

from .engine import EngineModel, EngineSpec, Run
from .fleet import FleetSpec, ModelFleet
from .load import KINDS, PATTERNS, Arrival, Kind, Loss, Pattern, arrivals_of
from .outcome import Outcome, Result

__all__ = [
    "KINDS",
    "PATTERNS",
    "Arrival",
    "EngineModel",
    "EngineSpec",
    "FleetSpec",
    "Kind",
    "Loss",
    "ModelFleet",
    "Outcome",
    "Pattern",
    "Result",
    "Run",
    "arrivals_of",
]
