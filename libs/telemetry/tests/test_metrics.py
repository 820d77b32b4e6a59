from __future__ import annotations

import pytest

from teaseldyke.telemetry import (
    MetricConflict,
    counter,
    gauge,
    histogram,
    render_metrics,
)


def _lines() -> list[str]:
    return render_metrics().decode().splitlines()


def test_metrics_render_outside_any_event_loop() -> None:
    counter("t_requests_total", "Requests.").bind(code="ok").add(3)
    level = gauge("t_waiting", "Waiting.").bind()
    level.add(5)
    level.add(-1)
    histogram("t_wait_s", "Wait.", (0.1, 1.0)).bind().observe(0.5)
    lines = _lines()
    for line in (
        "# TYPE t_requests_total counter",
        't_requests_total{code="ok"} 3.0',
        "t_waiting 4.0",
        't_wait_s_bucket{le="0.1"} 0.0',
        't_wait_s_bucket{le="1.0"} 1.0',
        't_wait_s_bucket{le="+Inf"} 1.0',
        "t_wait_s_count 1.0",
    ):
        assert line in lines


def test_binding_again_gives_the_same_series() -> None:
    metric = counter("t_again_total", "Again.")
    assert metric.bind(a="1", b="2") is metric.bind(b="2", a="1")
    assert counter("t_again_total", "Again.") is metric


def test_a_metric_name_has_one_type() -> None:
    gauge("t_kind", "Kind.")
    histogram("t_kind_s", "Kind.", (1.0,))
    with pytest.raises(MetricConflict, match="t_kind"):
        counter("t_kind", "Kind.")
    with pytest.raises(MetricConflict, match="t_kind_s"):
        histogram("t_kind_s", "Kind.", (2.0,))


def test_label_values_are_escaped() -> None:
    counter("t_escape_total", "Escape.").bind(name='a"b\\c\nd').add()
    assert 't_escape_total{name="a\\"b\\\\c\\nd"} 1.0' in _lines()
