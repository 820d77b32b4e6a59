"""Simulation of load patterns against the placement code, with model engines."""

from __future__ import annotations

from .engine import EngineModel, EngineRequest, EngineSpec
from .fleet import FleetSpec, ModelFleet
from .load import KINDS, PATTERNS, Arrival, Kind, Loss, Pattern, generate_arrivals
from .outcome import Outcome, Result
from .service_order import (
    Demand,
    OrderModel,
    Period,
    Scenario,
    Shortfall,
    draw_scenario,
)

__all__ = [
    "KINDS",
    "PATTERNS",
    "Arrival",
    "Demand",
    "EngineModel",
    "EngineSpec",
    "FleetSpec",
    "Kind",
    "Loss",
    "ModelFleet",
    "OrderModel",
    "Outcome",
    "Pattern",
    "Period",
    "Result",
    "Scenario",
    "Shortfall",
    "EngineRequest",
    "draw_scenario",
    "generate_arrivals",
]
