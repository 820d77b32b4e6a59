"""Ways in which an instance ends an answer or a connection by itself (LOST)."""

from __future__ import annotations

import socket
from typing import Any

import pytest
import trio

from teaseldyke.gateway import calls, send_log, sending
from teaseldyke.http import Request
from teaseldyke.settings import Address
from tests.platform.conftest import Fleet, configuration, script_all, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    Script,
    answer_head,
    answer_with,
    chunk,
    event,
    hang,
    not_run,
    reset,
    stream_of,
)

STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
LARGE_EVENT_BYTES = 100_000
LARGE_EVENTS = 80
READ_LATE_S = 1.4  # longer than the least time without an event
SHORT_TIMEOUT_S = 0.3  # of the route "short"


class TestRecord:
    @pytest.mark.parametrize(
        ("target", "reason", "started"),
        [("/none/a", "route_unknown", "no"), ("/single/a", "server_broke", "yes")],
    )
    async def test_ended_answer_tells_versions_and_age_of_the_configuration(
        self,
        fleet: Fleet,
        monkeypatch: pytest.MonkeyPatch,
        target: str,
        reason: str,
        started: str,
    ) -> None:
        lines: list[dict[str, Any]] = []

        def log(event: str, **fields: Any) -> None:
            lines.append({"event": event, **fields})

        monkeypatch.setattr(calls, "log_decision", log)
        counter = calls.ANSWERS_ENDED.bind(reason=reason, started=started)
        before = counter.value
        view = fleet.gateways[0].view
        fleet.store.put("op", "config", configuration(7))
        await wait_until(lambda: view.table is not None and view.table.version == 7)
        script_all(fleet, stream_of(1, 9, cut_after=3), reset)
        await fleet.caller().request(target)
        (line,) = lines
        assert line["code"] == reason
        assert line["cut"] == (started == "yes")
        assert line["in_force"] == 7
        assert 0.0 <= line["in_force_s"] < 5.0
        assert counter.value == before + 1

    @pytest.mark.parametrize(
        ("route", "caller_ms", "new_ms", "bound_by", "allows_more"),
        [
            ("short", 2500, None, "route", "no"),
            ("short", 2500, 300, "route", "no"),
            ("short", 2500, 200, "route", "no"),
            ("short", 2500, 900, "route", "yes"),
            ("short", 250, None, "caller", "no"),
            ("once", 250, 9000, "caller", "no"),
        ],
    )
    async def test_end_at_a_deadline_tells_whose_time_it_was(
        self,
        fleet: Fleet,
        logged: list[dict[str, Any]],
        route: str,
        caller_ms: int,
        new_ms: int | None,
        bound_by: str,
        allows_more: str,
    ) -> None:
        counter = calls.DEADLINES_PASSED.bind(
            bound_by=bound_by, allows_more=allows_more
        )
        before = counter.value
        script_all(fleet, hang)
        caller = fleet.caller()
        headers = {"X-Teaseldyke-Deadline-Ms": str(caller_ms)}
        await caller.send(f"/{route}/a", headers=headers)
        await wait_until(lambda: fleet.arrivals == 1)
        if new_ms is not None:
            value = configuration(7)
            for item in value["routes"]:
                if item["name"] == route:
                    item["timeoutMs"] = new_ms
            fleet.store.put("op", "config", value)
        answer = await caller.receive_answer()
        assert answer.status == 504
        (line,) = [item for item in logged if item["event"] == "failed"]
        allowed_s = 0.3 if bound_by == "route" else 0.22
        assert line["bound_by"] == bound_by
        assert line["version"] == 1
        assert line["allowed_s"] == allowed_s
        now_s = new_ms / 1000 if new_ms and bound_by == "route" else allowed_s
        assert line["allowed_now_s"] == now_s
        assert line["in_force"] == (1 if new_ms is None else 7)
        assert line["closed_by"] is None
        assert counter.value == before + 1

    async def test_end_at_a_deadline_of_a_route_that_is_gone(
        self, fleet: Fleet, logged: list[dict[str, Any]]
    ) -> None:
        script_all(fleet, hang)
        caller = fleet.caller()
        await caller.send("/short/a")
        await wait_until(lambda: fleet.arrivals == 1)
        value = configuration(7)
        value["routes"] = value["routes"][:2]
        fleet.store.put("op", "config", value)
        assert (await caller.receive_answer()).status == 504
        (line,) = [item for item in logged if item["event"] == "failed"]
        assert line["allowed_s"] == SHORT_TIMEOUT_S
        assert line["allowed_now_s"] is None

    async def test_end_before_the_deadline_names_no_time_out(
        self, fleet: Fleet, logged: list[dict[str, Any]]
    ) -> None:
        script_all(fleet, reset)
        assert (await fleet.caller().request("/once/a")).status == 502
        (line,) = [item for item in logged if item["event"] == "failed"]
        assert "bound_by" not in line

    @pytest.mark.parametrize("is_reused", [False, True])
    @pytest.mark.parametrize("route", ["once", "stream", "single"])
    async def test_silent_server_at_a_deadline_is_told(
        self,
        fleet: Fleet,
        logged: list[dict[str, Any]],
        route: str,
        is_reused: bool,
    ) -> None:
        caller = fleet.caller()
        first, other = fleet.engines.values()
        fleet.store.put("servers", other.id, other.entry("elsewhere"))
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.states_of("app")) == 1)
        if is_reused:
            first.scripts = [] if route == "once" else [stream_of(1, 3)]
            assert (await caller.request(f"/{route}/a")).status == 200
            await trio.sleep(0.3)
        logged.clear()
        script_all(fleet, *[begun(event(1), then=hang)] * 4)
        if route == "once":
            script_all(fleet, hang)
        counters = [
            send_log.SENDS_ENDED.bind(
                outcome="cancelled",
                connection="reused" if is_reused else "new",
                silent=silent,
                closed_by="instance",
            )
            for silent in ("yes", "no")
        ]
        before = sum(counter.value for counter in counters)
        headers = {"X-Teaseldyke-Deadline-Ms": "1500"}
        await caller.request(f"/{route}/a", headers=headers)
        lines = [item for item in logged if item["event"] == "send_ended"]
        assert lines
        for line in lines:
            assert line["outcome"] == "cancelled"
            assert line["closed_by"] == "instance"
        line = lines[0]
        assert line["reused"] == is_reused
        assert line["idle_s"] >= 0.3 * is_reused
        assert line["silent_s"] >= 1.0
        total = sum(counter.value for counter in counters)
        assert total == before + len(lines)

    @pytest.mark.parametrize(
        ("script", "closed_by"),
        [
            (reset, "server"),
            (not_run(), None),
            (answer_with(200, "Content-Encoding: gzip"), "instance"),
        ],
        ids=["reset", "not-run", "faulty"],
    )
    async def test_send_tells_which_side_closed_its_connection(
        self,
        fleet: Fleet,
        logged: list[dict[str, Any]],
        script: Script,
        closed_by: str | None,
    ) -> None:
        script_all(fleet, *[script] * 4)
        await fleet.caller().request("/once/a")
        lines = [item for item in logged if item["event"] == "send_ended"]
        assert {line["closed_by"] for line in lines} == {closed_by}

    @pytest.mark.parametrize("cut", [False, True])
    async def test_caller_that_leaves_is_told_once(
        self, fleet: Fleet, logged: list[dict[str, Any]], cut: bool
    ) -> None:
        script_all(fleet, begun(event(1), then=hang) if cut else hang)
        caller = fleet.caller()
        await caller.send("/single/a")
        await wait_until(lambda: fleet.arrivals == 1)
        await trio.sleep(0.1)
        assert caller.stream is not None
        await caller.stream.aclose()
        await wait_until(lambda: fleet.gateways[0].calls.running == 0)
        assert [item["event"] for item in logged if "gone" in item["event"]] == [
            "caller_gone"
        ]

    async def test_caller_that_leaves_within_its_body_is_told(
        self, fleet: Fleet, logged: list[dict[str, Any]]
    ) -> None:
        caller = fleet.caller()
        assert (await caller.request("/once/a")).status == 200
        assert caller.stream is not None
        await caller.stream.send_all(
            b"POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n"
            b"X-Teaseldyke-Request-Id: r-9\r\n\r\nabc"
        )
        await trio.sleep(0.05)
        await caller.stream.aclose()
        await wait_until(lambda: fleet.gateways[0].calls.running == 0)
        (line,) = [item for item in logged if item["event"] == "caller_gone"]
        assert line["id"] == "r-9"
        assert line["sends"] == 0
        assert "within the request body" in line["reason"]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Lines of the request's log, as events with their fields."""
    lines: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        lines.append({"event": event, **fields})

    for module in (calls, send_log, sending):
        monkeypatch.setattr(module, "log_decision", log)
    return lines


def begun(*parts: bytes, then: Script, pause_s: float = 0.0) -> Script:
    """Return a script that sends a head and parts of events, then runs another."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
        for part in parts:
            await stream.send_all(chunk(part))
        await trio.sleep(pause_s)
        return await then(engine, stream, arrival)

    return script


class TestBeforeTheFirstEvent:
    """The header of a stream is sent together with its first event."""

    @pytest.mark.parametrize("route", ["stream", "single"])
    @pytest.mark.parametrize("then", [reset, hang])
    async def test_stream_that_ends_within_its_first_event_gets_an_answer(
        self, fleet: Fleet, route: str, then: Script
    ) -> None:
        script_all(fleet, *[begun(event(1)[:9], then=then)] * 4)
        answer = await fleet.caller().request(f"/{route}/a")
        assert answer.complete
        assert answer.status in (502, 504)

    @pytest.mark.parametrize(
        ("second", "status"),
        [(answer_with(404), 404), (stream_of(1, 9), 200), (not_run(), 502)],
        ids=["not-found", "stream", "not-run"],
    )
    async def test_second_server_answers_with_its_own_header(
        self, fleet: Fleet, second: Script, status: int
    ) -> None:
        first, other = fleet.engines.values()
        engines = {first.id: other, other.id: first}

        async def script(
            engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
        ) -> Any:
            engines[engine.id].scripts = [second]
            return await begun(event(1)[:9], then=reset)(engine, stream, arrival)

        script_all(fleet, script)
        answer = await fleet.caller().request("/stream/a")
        assert answer.complete
        assert answer.status == status

    async def test_stop_answers_a_stream_without_an_event(self, fleet: Fleet) -> None:
        script_all(fleet, begun(event(1)[:9], then=hang))
        caller = fleet.caller()
        await caller.send("/single/a")
        await wait_until(lambda: fleet.arrivals == 1)
        await trio.sleep(0.1)
        assert fleet.gateways[0].calls.end_unanswered() == 1
        with trio.fail_after(1):
            answer = await caller.receive_answer()
        assert answer.complete
        assert answer.status == 502


class TestSlowBody:
    @pytest.mark.parametrize(
        "length",
        ["Content-Length: 900", "Transfer-Encoding: chunked"],
        ids=["length", "chunked"],
    )
    async def test_request_whose_body_is_late_is_answered_at_its_time_out(
        self, fleet: Fleet, length: str
    ) -> None:
        """CONFIG: no final answer 0.5 s after the route's time-out."""
        caller = fleet.caller()
        assert (await caller.request("/once/a")).status == 200
        assert caller.stream is not None
        head = (
            f"POST /short/a HTTP/1.1\r\nHost: a.example\r\n{length}\r\n"
            "X-Teaseldyke-Request-Id: r-9\r\n"
            "X-Teaseldyke-Deadline-Ms: 9000\r\n\r\n"
        )
        await caller.stream.send_all(head.encode())
        with trio.fail_after(SHORT_TIMEOUT_S + 0.5):
            data = await caller.stream.receive_some(65536)
        assert data.startswith(b"HTTP/1.1 408")
        assert b"connection: close" in data.lower()
        assert fleet.arrivals == 1


class TestLateReader:
    @pytest.mark.parametrize("route", ["stream", "single", "safe", "once"])
    async def test_caller_that_reads_late_gets_its_whole_answer(
        self, fleet: Fleet, route: str
    ) -> None:
        """Its server isn't silent: what it sent waits for the caller."""
        is_stream = route in ("stream", "single")
        body = b"".join(large_event(number) for number in range(1, LARGE_EVENTS + 1))
        script = answer_with(200, body=body)
        script_all(fleet, *[stream_large if is_stream else script] * 4)
        caller = fleet.caller()
        caller.stream = await open_with_small_buffer(caller.address)
        await caller.send(f"/{route}/a")
        await trio.sleep(READ_LATE_S)
        with trio.fail_after(5):
            answer = await caller.receive_answer()
        assert answer.complete
        assert answer.status == 200
        assert answer.body == body
        assert fleet.arrivals == 1

    async def test_part_of_an_event_after_a_late_read_is_awaited(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = Request.send

        async def send_late(self: Request, data: bytes) -> None:
            await send(self, data)
            if data == event(1):
                await trio.sleep(READ_LATE_S)

        async def send_rest(
            _engine: EngineStandin, stream: trio.SocketStream, _arrival: Arrival
        ) -> None:
            await stream.send_all(chunk(event(2)[:9]))
            await trio.sleep(READ_LATE_S)
            await stream.send_all(chunk(event(2)[9:]) + b"0\r\n\r\n")

        monkeypatch.setattr(Request, "send", send_late)
        value = configuration(2)
        value["services"][0]["engine"] = {"slots": 4, "kvCapacityTokens": 10**6}
        fleet.store.put("op", "config", value)
        view = fleet.gateways[0].view
        await wait_until(lambda: view.table is not None and view.table.version == 2)
        first = begun(event(1), pause_s=0.2, then=send_rest)
        script_all(fleet, first, reset)
        answer = await fleet.caller().request("/stream/a")
        assert answer.complete
        assert answer.body == event(1) + event(2)
        assert fleet.arrivals == 1


def large_event(number: int) -> bytes:
    return f"id: {number}\ndata: ".encode() + b"x" * LARGE_EVENT_BYTES + b"\n\n"


async def stream_large(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    for number in range(first, LARGE_EVENTS + 1):
        await stream.send_all(chunk(large_event(number)))
    await stream.send_all(b"0\r\n\r\n")


async def open_with_small_buffer(address: Address) -> trio.SocketStream:
    """Connect with a receive buffer that a late reader fills at once."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    await sock.connect((address.host, address.port))
    return trio.SocketStream(sock)
