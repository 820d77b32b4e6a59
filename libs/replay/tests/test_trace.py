from __future__ import annotations

from pathlib import Path

import pytest

from teaseldyke.replay import (
    Arrival,
    SwitchOrder,
    TraceInvalid,
    read_trace,
    write_trace,
)


def test_written_entries_are_read_sorted_by_time(tmp_path: Path) -> None:
    path = tmp_path / "trace.jsonl"
    first = SwitchOrder(0.5, "failure-domain", "north", True)
    second = Arrival(1.0, "parish-1", "licensing", idempotency_key="k")
    write_trace(path, [second, first])
    assert read_trace(path) == [first, second]


def test_recorded_line_is_read_as_arrival(tmp_path: Path) -> None:
    path = tmp_path / "trace.jsonl"
    path.write_text(
        '{"at_s": 2, "router": "router-3", "organisation": "a", "service": "s",'
        ' "method": "POST", "path": "/v1/chat/completions", "idempotent": true,'
        ' "prompt_cost": 50, "cost": 80, "body_bytes": 9, "idempotency_key": null}'
    )
    arrival = Arrival(2.0, "a", "s", router=2, prompt_tokens=100, output_tokens=30)
    assert read_trace(path) == [arrival]


@pytest.mark.parametrize(
    "line",
    ["{", "[]", "{}", '{"at_s": 1, "switch": "moon", "name": "n", "out": true}'],
)
def test_error_names_the_invalid_line(tmp_path: Path, line: str) -> None:
    path = tmp_path / "trace.jsonl"
    path.write_text(f"\n{line}\n")
    with pytest.raises(TraceInvalid, match=r"trace\.jsonl:2"):
        read_trace(path)
