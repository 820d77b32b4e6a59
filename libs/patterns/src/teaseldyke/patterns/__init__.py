"""Simulation of load patterns against the placement code, with model engines."""

from __future__ import annotations

from .engine import EngineModel, EngineRequest, EngineSpec
from .fleet import FleetSpec, ModelFleet
from .load import KINDS, PATTERNS, Arrival, Kind, Loss, Pattern, generate_arrivals
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
    "EngineRequest",
    "generate_arrivals",
]
