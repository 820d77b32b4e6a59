"""Logs, metrics and traces."""

from __future__ import annotations

from .decisions import NonBlockingOutput, configure_decision_log, log_decision
from .logs import configure_logging, log_change, log_fault
from .metrics import (
    DURATION_BUCKETS_S,
    BoundCounter,
    BoundGauge,
    BoundHistogram,
    Counter,
    Gauge,
    Histogram,
    MetricConflict,
    counter,
    gauge,
    histogram,
    render_metrics,
)
from .tracing import Span, Tracing

__all__ = [
    "BoundCounter",
    "BoundGauge",
    "BoundHistogram",
    "Counter",
    "DURATION_BUCKETS_S",
    "Gauge",
    "Histogram",
    "MetricConflict",
    "NonBlockingOutput",
    "Span",
    "Tracing",
    "configure_decision_log",
    "configure_logging",
    "counter",
    "gauge",
    "histogram",
    "log_change",
    "log_decision",
    "log_fault",
    "render_metrics",
]
