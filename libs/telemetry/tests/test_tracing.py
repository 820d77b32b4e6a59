from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest
import trio
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

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
    ("parent", "propagated"),
    [(PARENT, PARENT), (None, None), ("rubbish", None), (PARENT + "x", None)],
)
def test_disabled_tracing_propagates_a_wellformed_parent(
    parent: str | None, propagated: str | None
) -> None:
    tracing = Tracing()
    with tracing.span("request", parent=parent) as span:
        assert tracing.span("send", parent=span).traceparent == propagated
    assert not tracing.enabled


async def test_spans_reach_a_collector_over_http() -> None:
    received = []

    class Collector(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["content-length"]))
            received.append((self.path, ExportTraceServiceRequest.FromString(body)))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *_: object) -> None:
            pass

    with HTTPServer(("127.0.0.1", 0), Collector) as server:
        threading.Thread(target=server.handle_request, daemon=True).start()
        tracing = Tracing("otlp", port=server.server_port, process="r1")
        with tracing.span("request", parent=PARENT):
            pass
        await trio.to_thread.run_sync(tracing.close)
    path, request = received[0]
    span = request.resource_spans[0].scope_spans[0].spans[0]
    assert path == "/v1/traces"
    assert (span.name, span.trace_id.hex()) == ("request", "a" * 32)


async def test_an_unreachable_collector_does_not_block() -> None:
    tracing = Tracing("otlp", port=9, process="r1")
    started_s = trio.current_time()
    for _ in range(5000):  # more than the queue holds
        with tracing.span("request"):
            pass
    assert trio.current_time() - started_s < 5
    await trio.to_thread.run_sync(tracing.close)
    assert trio.current_time() - started_s < 8
