from __future__ import annotations

import json
from pathlib import Path

import pytest
import trio

from teaseldyke.telemetry import Tracing

PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


async def test_spans_of_one_request_form_one_trace(tmp_path: Path) -> None:
    path = tmp_path / "spans.jsonl"
    tracing = Tracing("file", path=path, process="r1")

    async def hop() -> None:
        with tracing.span("grant"):
            await trio.lowlevel.checkpoint()

    with tracing.span("request", parent=PARENT, organisation="o1") as request:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hop)
        with tracing.span("send", parent=request) as send:
            send.set("backend_server", "e1")
            send.event("first_byte")
    tracing.close()
    spans = {s["name"]: s for s in map(json.loads, path.read_text().splitlines())}
    assert {s["context"]["trace_id"] for s in spans.values()} == {"0x" + "a" * 32}
    assert spans["request"]["parent_id"] == "0x" + "b" * 16
    assert spans["send"]["parent_id"] == spans["request"]["context"]["span_id"]
    assert spans["grant"]["parent_id"] == spans["request"]["context"]["span_id"]
    assert spans["send"]["attributes"] == {"backend_server": "e1"}
    assert send.traceparent is not None
    assert send.traceparent.split("-")[1] == "a" * 32


@pytest.mark.parametrize(
    ("parent", "passed_on"),
    [(PARENT, PARENT), (None, None), ("rubbish", None), (PARENT + "x", None)],
)
def test_off_passes_a_wellformed_parent_on(
    parent: str | None, passed_on: str | None
) -> None:
    tracing = Tracing()
    with tracing.span("request", parent=parent) as span:
        assert tracing.span("send", parent=span).traceparent == passed_on
    assert not tracing.enabled
