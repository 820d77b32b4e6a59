"""Tracing with one span per hop; context is propagated by ``traceparent``."""

from __future__ import annotations

import re
from pathlib import Path
from types import TracebackType
from typing import TYPE_CHECKING, Literal, Protocol, Self

if TYPE_CHECKING:
    from opentelemetry.sdk.trace.export import SpanExporter

    from .opentelemetry_spans import SpanRecorder

Exporter = Literal["none", "file", "otlp"]
AttributeValue = str | int | float | bool

_TRACEPARENT = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


class Span(Protocol):
    """One hop of a request; a context manager whose block ends the span."""

    traceparent: str | None

    def set(self, key: str, value: AttributeValue) -> None:
        """Record an attribute."""
        ...

    def event(self, name: str) -> None:
        """Record an event at the current time."""
        ...

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class Tracing:
    """Starts spans and exports them; when disabled, only propagates ``traceparent``.

    Parameters
    ----------
    exporter : {"none", "file", "otlp"}
        Destination of the spans; ``"none"`` disables recording.
    path : Path, optional
        File to which JSON lines are appended; required by ``"file"``.
    host, port : str, int
        Collector that accepts OTLP over HTTP; used by ``"otlp"``.
    process : str
        Name of this process in the spans.

    Examples
    --------
    >>> with Tracing().span("queue", parent=None) as span:
    ...     span.set("organisation", "parish-9")
    >>> span.traceparent is None
    True
    """

    def __init__(
        self,
        exporter: Exporter = "none",
        *,
        path: Path | None = None,
        host: str = "127.0.0.1",
        port: int = 4318,
        process: str = "teaseldyke",
    ) -> None:
        self._recorder: SpanRecorder | None = None
        if exporter == "none":
            return
        # Imported here, so that processes without tracing save the SDK's memory.
        from .opentelemetry_spans import SpanRecorder

        self._recorder = SpanRecorder(_exporter(exporter, path, host, port), process)

    @property
    def enabled(self) -> bool:
        """Whether spans are recorded."""
        return self._recorder is not None

    def span(
        self,
        name: str,
        parent: Span | str | None = None,
        **attributes: AttributeValue,
    ) -> Span:
        """Start a span.

        Parameters
        ----------
        name : str
            Name of the hop.
        parent : Span or str, optional
            Span or ``traceparent`` of the previous hop; by default, or if it is
            malformed, the enclosing span of the same task, else none: a new trace.
        **attributes
            Initial attributes.
        """
        if self._recorder is None:
            return _NonRecordingSpan(_traceparent(parent))
        return self._recorder.start(name, _traceparent(parent), attributes)

    def close(self) -> None:
        """Export the queued spans; blocks for at most 2 s."""
        if self._recorder is not None:
            self._recorder.close()


class _NonRecordingSpan:
    """A span that is not recorded and passes on the parent's ``traceparent``."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str | None) -> None:
        self.traceparent = traceparent

    def set(self, key: str, value: AttributeValue) -> None:
        pass

    def event(self, name: str) -> None:
        pass

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        pass


def _traceparent(parent: Span | str | None) -> str | None:
    if parent is None:
        return None
    if not isinstance(parent, str):
        return parent.traceparent
    return parent if _TRACEPARENT.fullmatch(parent) else None


def _exporter(
    exporter: Exporter, path: Path | None, host: str, port: int
) -> SpanExporter:
    from .opentelemetry_spans import file_exporter, otlp_exporter

    if exporter == "otlp":
        return otlp_exporter(host, port)
    if path is None:
        raise ValueError("the exporter 'file' needs a path")
    return file_exporter(path)
