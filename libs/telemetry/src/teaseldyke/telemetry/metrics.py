"""Counters, gauges and histograms whose labels are bound once, not at each update."""

from __future__ import annotations

from collections.abc import Sequence

from aioprometheus import collectors
from aioprometheus.histogram import Histogram as BucketCounts
from aioprometheus.renderer import render

from teaseldyke.types import TeaseldykeError

DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)

_Labels = tuple[tuple[str, str], ...]


class MetricConflict(TeaseldykeError):
    """A metric of this name exists already with another type or other buckets."""

    code = "metric_conflict"


class BoundCounter:
    """One time series of a counter.

    Attributes
    ----------
    value : float
        Sum of the amounts added; never decreases.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, amount: float = 1.0) -> None:
        """Add a non-negative amount."""
        self.value += amount


class BoundGauge:
    """One time series of a gauge.

    Attributes
    ----------
    value : float
        Last value set.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = value

    def add(self, amount: float = 1.0) -> None:
        """Add an amount of either sign."""
        self.value += amount


class BoundHistogram:
    """One time series of a histogram."""

    __slots__ = ("observe",)

    def __init__(self, counts: BucketCounts) -> None:
        self.observe = counts.observe


class Counter:
    """A cumulative metric; `bind` returns the time series of given labels."""

    def __init__(self, name: str, doc: str) -> None:
        self._collector = collectors.Counter(name, doc, registry=_REGISTRY)
        self._bound: dict[_Labels, BoundCounter] = {}

    def bind(self, **labels: str) -> BoundCounter:
        """Return the time series of the labels; equal labels give the same object."""
        key = _key(labels)
        if key not in self._bound:
            self._bound[key] = BoundCounter()
        return self._bound[key]

    def collect(self) -> None:
        """Copy the values into the registry."""
        for key, bound in self._bound.items():
            self._collector.set(dict(key), bound.value)


class Gauge:
    """A metric that can decrease; `bind` returns the time series of given labels."""

    def __init__(self, name: str, doc: str) -> None:
        self._collector = collectors.Gauge(name, doc, registry=_REGISTRY)
        self._bound: dict[_Labels, BoundGauge] = {}

    def bind(self, **labels: str) -> BoundGauge:
        """Return the time series of the labels; equal labels give the same object."""
        key = _key(labels)
        if key not in self._bound:
            self._bound[key] = BoundGauge()
        return self._bound[key]

    def collect(self) -> None:
        """Copy the values into the registry."""
        for key, bound in self._bound.items():
            self._collector.set(dict(key), bound.value)


class Histogram:
    """Observations counted in buckets; `bind` returns the time series of labels."""

    def __init__(self, name: str, doc: str, buckets: Sequence[float]) -> None:
        self.buckets = tuple(buckets)
        self._collector = collectors.Histogram(
            name, doc, registry=_REGISTRY, buckets=self.buckets
        )
        self._bound: dict[_Labels, BoundHistogram] = {}

    def bind(self, **labels: str) -> BoundHistogram:
        """Return the time series of the labels; equal labels give the same object."""
        key = _key(labels)
        if key not in self._bound:
            counts = BucketCounts(*self.buckets)
            self._collector.set_value(dict(key), counts)
            self._bound[key] = BoundHistogram(counts)
        return self._bound[key]

    def collect(self) -> None:
        """Do nothing: the registry holds the bucket counts themselves."""


_Metric = Counter | Gauge | Histogram

_REGISTRY = collectors.Registry()
_METRICS: dict[str, _Metric] = {}


def counter(name: str, doc: str) -> Counter:
    """Return the counter of a name; the first call creates it.

    Raises
    ------
    MetricConflict
        If the name belongs to a metric of another type.

    Examples
    --------
    >>> refusals = counter("doc_refusals_total", "Requests refused.")
    >>> full = refusals.bind(code="queue_full")
    >>> full.add()
    >>> b'doc_refusals_total{code="queue_full"} 1.0' in render_metrics()
    True
    """
    metric = _METRICS.get(name)
    if metric is None:
        metric = _METRICS[name] = Counter(name, doc)
    if not isinstance(metric, Counter):
        raise MetricConflict(f"metric {name!r} is not a counter")
    return metric


def gauge(name: str, doc: str) -> Gauge:
    """Return the gauge of a name; the first call creates it.

    Raises
    ------
    MetricConflict
        If the name belongs to a metric of another type.
    """
    metric = _METRICS.get(name)
    if metric is None:
        metric = _METRICS[name] = Gauge(name, doc)
    if not isinstance(metric, Gauge):
        raise MetricConflict(f"metric {name!r} is not a gauge")
    return metric


def histogram(
    name: str, doc: str, buckets: Sequence[float] = DURATION_BUCKETS_S
) -> Histogram:
    """Return the histogram of a name; the first call creates it.

    Parameters
    ----------
    name, doc : str
        Name with the unit as a suffix, and a description of one sentence.
    buckets : sequence of float
        Upper bounds in ascending order; infinity is added as the last one.

    Raises
    ------
    MetricConflict
        If the name belongs to a metric of another type or with other buckets.
    """
    metric = _METRICS.get(name)
    if metric is None:
        metric = _METRICS[name] = Histogram(name, doc, buckets)
    if not isinstance(metric, Histogram) or metric.buckets != tuple(buckets):
        raise MetricConflict(f"metric {name!r} is not a histogram with these buckets")
    return metric


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    for metric in _METRICS.values():
        metric.collect()
    content, _ = render(_REGISTRY, ())
    return bytes(content)


def _key(labels: dict[str, str]) -> _Labels:
    return tuple((name, _escape(labels[name])) for name in sorted(labels))


def _escape(value: str) -> str:
    """Escape a label's value, which aioprometheus does not do."""
    escaped = value.replace("\\", "\\\\")
    return escaped.replace('"', '\\"').replace("\n", "\\n")
