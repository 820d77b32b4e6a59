"""Ways in which an instance ends an answer or a connection by itself (LOST)."""

from __future__ import annotations

import socket
from typing import Any

import pytest
import trio

from teaseldyke.gateway import calls
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
