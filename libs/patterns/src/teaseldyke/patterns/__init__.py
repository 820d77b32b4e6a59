"""Simulation of load patterns against the placement code, with model engines."""

from __future__ import annotations

from .engine import EngineModel, EngineRequest, EngineSpec
from .fairness_rule import Shortfall
from .fleet import FleetSpec, ModelFleet
from .load import (
    KINDS,
    LARGE_FLEET_PATTERNS,
    PATTERNS,
    Arrival,
    Kind,
    Loss,
    Pattern,
    generate_arrivals,
)
from .outcome import Outcome, Result
from .service_order import (
    Demand,
    OrderModel,
    Period,
    Scenario,
    draw_scenario,
)

__all__ = [
    "KINDS",
    "LARGE_FLEET_PATTERNS",
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
