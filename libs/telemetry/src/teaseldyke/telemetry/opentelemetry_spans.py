"""Spans of the OpenTelemetry SDK, exported by a background thread."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Self

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.trace.propagation import tracecontext

AttributeValue = str | int | float | bool

QUEUED_SPANS_MAX = 4096
EXPORT_INTERVAL_MS = 1000
OTLP_TIMEOUT_S = 5
CLOSE_TIMEOUT_S = 2.0

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class SpanRecorder:
    """Records spans and exports them in the background.

    Parameters
    ----------
    exporter : SpanExporter
        Runs in a thread; spans beyond ``QUEUED_SPANS_MAX`` queued ones are dropped.
    process : str
        Name of this process, exported as ``service.name``.
    """

    def __init__(self, exporter: SpanExporter, process: str) -> None:
        resource = Resource({"service.name": process})
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        processor = BatchSpanProcessor(
            exporter,
            max_queue_size=QUEUED_SPANS_MAX,
            schedule_delay_millis=EXPORT_INTERVAL_MS,
        )
        self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("teaseldyke")

    def start(
        self,
        name: str,
        traceparent: str | None,
        attributes: Mapping[str, AttributeValue],
    ) -> RecordedSpan:
        """Start a child span of a ``traceparent``, or of the task's current span."""
        context = None
        if traceparent is not None:
            context = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context, attributes=attributes)
        return RecordedSpan(span)

    def close(self) -> None:
        """Export the queued spans; blocks for at most ``CLOSE_TIMEOUT_S``."""
        # Without a limit, the SDK tries to export each queued batch even if the
        # collector is unreachable.
        closing = threading.Thread(target=self._provider.shutdown, daemon=True)
        closing.start()
        closing.join(CLOSE_TIMEOUT_S)


class RecordedSpan:
    """A recorded span; it is the task's current span inside its ``with`` block."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        self._scope = trace.use_span(span, end_on_exit=True)
        context = span.get_span_context()
        self.traceparent: str | None = (
            f"00-{context.trace_id:032x}-{context.span_id:016x}"
            f"-{int(context.trace_flags):02x}"
        )

    def set(self, key: str, value: AttributeValue) -> None:
        """Record an attribute."""
        self._span.set_attribute(key, value)

    def event(self, name: str) -> None:
        """Record an event at the current time."""
        self._span.add_event(name)

    def __enter__(self) -> Self:
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._scope.__exit__(kind, error, traceback)


def file_exporter(path: Path) -> SpanExporter:
    """Return an exporter that appends JSON lines to a file."""
    return ConsoleSpanExporter(out=path.open("a"), formatter=_json_line)


def otlp_exporter(host: str, port: int) -> SpanExporter:
    """Return an exporter to a collector by OTLP over HTTP."""
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

    endpoint = f"http://{host}:{port}/v1/traces"
    return OTLPSpanExporter(endpoint=endpoint, timeout=OTLP_TIMEOUT_S)


def _json_line(span: ReadableSpan) -> str:
    return f"{span.to_json(indent=None)}\n"
