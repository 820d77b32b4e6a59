"""Requests that are under way while the configuration changes (LOST)."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
import trio

from tests.platform.conftest import (
    Answer,
    Caller,
    Fleet,
    configuration,
    route,
    script_all,
    wait_until,
)
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    answer_with_id,
    chunk,
    event,
)

KEY = {"Authorization": "Token key-1"}
CHANGE_INTERVAL_S = 0.2
EVENTS = 12
EVENT_INTERVAL_S = 0.05
STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
SERVICE = configuration()["services"][0]
ALLOWED = {200, 401, 404, 413, 503}  # with routes and keys dropped now and then

Change = Callable[[dict[str, Any]], None]


def drop_routes(value: dict[str, Any]) -> None:
    value["routes"] = [route("other", "idempotent", "app")]


def move_routes(value: dict[str, Any]) -> None:
    value["services"].append({**SERVICE, "name": "other"})
    for entry in value["routes"]:
        entry["service"] = "other"


def split_routes(value: dict[str, Any]) -> None:
    value["services"].append({**SERVICE, "name": "other"})
    for entry in value["routes"]:
        entry.pop("service", None)
        entry["trafficSplit"] = [
            {"service": "app", "weight": 10},
            {"service": "other", "weight": 90},
        ]


def rename_service(value: dict[str, Any]) -> None:
    value["services"] = [{**SERVICE, "name": "renamed"}]
    for entry in value["routes"]:
        entry["service"] = "renamed"


def drop_services(value: dict[str, Any]) -> None:
    value["services"] = []


def drop_keys(value: dict[str, Any]) -> None:
    value["tenants"] = [{"name": "parish", "apiKeys": ["key-2"], "priority": 1}]


def drop_organisations(value: dict[str, Any]) -> None:
    value["tenants"] = []


def close_routes(value: dict[str, Any]) -> None:
    for entry in value["routes"]:
        entry["public"] = False


def shorten_time_outs(value: dict[str, Any]) -> None:
    for entry in value["routes"]:
        entry["timeoutMs"] = 50


def lower_time_outs(value: dict[str, Any]) -> None:
    for entry in value["routes"]:
        entry["timeoutMs"] = 1500


def allow_one_attempt(value: dict[str, Any]) -> None:
    for entry in value["routes"]:
        entry["maxAttempts"] = 1


def change_kinds(value: dict[str, Any]) -> None:
    for entry in value["routes"]:
        entry["kind"] = "non_idempotent"


def shrink_limits(value: dict[str, Any]) -> None:
    value["limits"] = {
        "maxBodyBytes": 1,
        "maxHeaderBytes": 1,
        "headerTimeoutMs": 1,
        "idleTimeoutMs": 1,
        "tokensPerS": 1,
    }


def shrink_services(value: dict[str, Any]) -> None:
    value["services"] = [{**SERVICE, "maxConnections": 1, "coldPerS": 0.1}]


def change_nothing(_value: dict[str, Any]) -> None:
    pass


CHANGES: list[Change] = [
    drop_routes,
    move_routes,
    split_routes,
    rename_service,
    drop_services,
    drop_keys,
    drop_organisations,
    close_routes,
    shorten_time_outs,
    allow_one_attempt,
    change_kinds,
    shrink_limits,
    shrink_services,
    change_nothing,
]
# Without the one that ends requests by the time-out of their route.
SERIES = [lower_time_outs, *(each for each in CHANGES if each is not shorten_time_outs)]
changes = pytest.mark.parametrize("change", CHANGES, ids=lambda c: c.__name__)


async def put(fleet: Fleet, change: Change, version: int = 2) -> None:
    """Write a changed configuration and wait until it is in force."""
    value = configuration(version)
    change(value)
    fleet.store.put("op", "config", value)
    view = fleet.gateways[0].view
    await wait_until(lambda: view.table is not None and view.table.version == version)


async def reload(fleet: Fleet, **bounds: float) -> None:
    gateway = fleet.gateways[0]
    settings = gateway.settings
    changed = attrs.evolve(settings.bounds, stop_s=1.0, **bounds)
    gateway.load_settings = lambda: attrs.evolve(settings, bounds=changed)
    gateway.reload()


async def reload_without_retries(fleet: Fleet) -> None:
    await reload(fleet, retry_ratio=0.0, retry_slack=0.0)


async def read_feed_anew(fleet: Fleet) -> None:
    calls = len(fleet.store.calls)
    fleet.store.compact()
    await wait_until(lambda: len(fleet.store.calls) >= calls + 4)


async def restore_store(fleet: Fleet) -> None:
    copy = fleet.store.copy()
    fleet.store.restore(copy)
    calls = len(fleet.store.calls)
    await wait_until(lambda: len(fleet.store.calls) >= calls + 4)


async def slow_stream(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        await stream.send_all(chunk(event(number)))
        await trio.sleep(EVENT_INTERVAL_S)
    await stream.send_all(b"0\r\n\r\n")


async def serve_slowly(
    engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    """Answer after a time; as a stream if the path asks for one."""
    if arrival.target.startswith(("/stream/", "/single/")):
        await slow_stream(engine, stream, arrival)
        return
    await trio.sleep(EVENTS * EVENT_INTERVAL_S)
    await answer_with_id(engine, stream, arrival)


async def break_off(
    engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> bool:
    """Send two events, if a stream is asked for, and close the connection."""
    if arrival.target.startswith("/stream/"):
        await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
        await stream.send_all(chunk(event(1) + event(2)))
    await trio.sleep(2 * EVENT_INTERVAL_S)
    await stream.aclose()
    return False


def block_servers(fleet: Fleet, blocked: bool) -> None:
    """Have no server take a request, or all again."""
    for state in fleet.gateways[0].view.all_states():
        state.full_until_s = float("inf") if blocked else 0.0
    if not blocked:
        fleet.gateways[0].placer.wake()


Result = list[tuple[str, Answer]]


async def kept_caller(fleet: Fleet) -> Caller:
    caller = fleet.caller()
    assert (await caller.request("/safe/k")).status == 200
    return caller


async def run_beside(
    fleet: Fleet, targets: list[str], act: Callable[[], Awaitable[None]]
) -> Result:
    """Send requests on kept connections, act, and return the answers."""
    callers = [await kept_caller(fleet) for _ in targets]
    script_all(fleet, *[serve_slowly] * 50)
    answers: Result = []

    async def request(caller: Caller, target: str, number: int) -> None:
        answer = await caller.request(
            target, headers=KEY, body=b"body", request_id=f"r-{number}"
        )
        answers.append((target, answer))

    async with trio.open_nursery() as nursery:
        for number, (caller, target) in enumerate(zip(callers, targets, strict=True)):
            nursery.start_soon(request, caller, target, number)
        await act()
    return answers


def assert_served(answers: Result) -> None:
    for target, answer in answers:
        assert answer.complete, target
        assert answer.status == 200, (target, answer.body)
        if target.startswith(("/stream/", "/single/")):
            whole = b"".join(event(number) for number in range(1, EVENTS + 1))
            assert answer.body == whole, target


RUNNING = ["/safe/a", "/once/a", "/keyed/a", "/stream/a", "/single/a"]


class TestRunning:
    @changes
    async def test_request_at_a_server_is_answered(
        self, fleet: Fleet, change: Change
    ) -> None:
        async def act() -> None:
            arrivals = fleet.arrivals
            await wait_until(lambda: fleet.arrivals == arrivals + len(RUNNING))
            await put(fleet, change)

        assert_served(await run_beside(fleet, RUNNING, act))

    @pytest.mark.parametrize(
        "act_on", [reload, reload_without_retries, read_feed_anew, restore_store]
    )
    async def test_request_at_a_server_is_answered_beside_other_changes(
        self, fleet: Fleet, act_on: Callable[[Fleet], Awaitable[None]]
    ) -> None:
        async def act() -> None:
            arrivals = fleet.arrivals
            await wait_until(lambda: fleet.arrivals == arrivals + len(RUNNING))
            await act_on(fleet)

        assert_served(await run_beside(fleet, RUNNING, act))


class TestWaiting:
    @changes
    async def test_request_that_waits_for_a_server_is_answered(
        self, fleet: Fleet, change: Change
    ) -> None:
        targets = ["/safe/a", "/once/a", "/keyed/a", "/stream/a"]
        placer = fleet.gateways[0].placer

        async def act() -> None:
            block_servers(fleet, True)
            await wait_until(lambda: placer.waiting == len(targets))
            await put(fleet, change)
            assert placer.waiting == len(targets)
            block_servers(fleet, False)

        assert_served(await run_beside(fleet, targets, act))

    @changes
    async def test_request_between_two_sends_is_answered(
        self, fleet: Fleet, change: Change
    ) -> None:
        targets = ["/safe/a", "/keyed/a", "/stream/a"]
        placer = fleet.gateways[0].placer

        async def act() -> None:
            script_all(fleet)
            for engine in fleet.engines.values():
                engine.scripts = [serve_once_broken(fleet)] * 50
            arrivals = fleet.arrivals
            await wait_until(lambda: fleet.arrivals == arrivals + len(targets))
            block_servers(fleet, True)
            await wait_until(lambda: placer.waiting == len(targets))
            await put(fleet, change)
            block_servers(fleet, False)

        assert_served(await run_beside(fleet, targets, act))


def serve_once_broken(fleet: Fleet) -> Any:
    """Return a script that breaks off the first send of each request."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        request_id = arrival.headers["x-teaseldyke-request-id"]
        sends = sum(
            other.headers["x-teaseldyke-request-id"] == request_id
            for each in fleet.engines.values()
            for other in each.arrivals
        )
        serve = break_off if sends == 1 else serve_slowly
        return await serve(engine, stream, arrival)

    return script


class TestArriving:
    @changes
    @pytest.mark.parametrize(
        "length", ["Content-Length: 8", "Transfer-Encoding: chunked"]
    )
    async def test_request_whose_body_arrives_is_answered(
        self, fleet: Fleet, change: Change, length: str
    ) -> None:
        caller = await kept_caller(fleet)
        stream = caller.stream
        assert stream is not None
        is_chunked = "chunked" in length
        await stream.send_all(
            f"POST /keyed/a HTTP/1.1\r\nHost: a.example\r\n{length}\r\n"
            "X-Teaseldyke-Request-Id: r-9\r\nAuthorization: Token key-1\r\n"
            "X-Teaseldyke-Deadline-Ms: 2500\r\n\r\n".encode()
        )
        await stream.send_all(chunk(b"half") if is_chunked else b"half")
        await wait_until(lambda: fleet.gateways[0].calls.running == 1)
        await put(fleet, change)
        await stream.send_all(chunk(b"rest") + b"0\r\n\r\n" if is_chunked else b"rest")
        with trio.fail_after(3):
            data = await stream.receive_some(65536)
        assert data.startswith(b"HTTP/1.1 200")

    @changes
    async def test_kept_connection_lasts(self, fleet: Fleet, change: Change) -> None:
        caller = await kept_caller(fleet)
        await put(fleet, change)
        await trio.sleep(0.6)  # longer than an idle time-out of 1 ms and a sweep
        answer = await caller.request("/safe/a")
        assert answer.complete
        assert answer.status in ALLOWED


class TestConfigurationsInSeries:
    @pytest.mark.parametrize("at_once", [1, 3], ids=["series", "overlapping"])
    @pytest.mark.parametrize("closes", [False, True], ids=["kept", "closes"])
    async def test_no_request_ends_without_an_answer(
        self, fleet: Fleet, at_once: int, closes: bool
    ) -> None:
        """Counted from the caller's side, by what was read after a whole request."""
        draw = random.Random(38)
        ends: Counter[str] = Counter()
        statuses: Counter[int] = Counter()
        script_all(fleet, *[serve_quickly] * 100_000)

        async def call(number: int) -> None:
            caller = fleet.caller()
            for i in range(10_000):
                if number % 3 == 0:
                    await trio.sleep(draw.uniform(0.0, 0.5))  # an idle connection
                target = RUNNING[i % len(RUNNING)]
                headers = {**KEY, "Connection": "close"} if closes else KEY
                answer = await caller.request(
                    target, headers=headers, body=b"b", request_id=f"r-{number}-{i}"
                )
                end = "whole" if answer.complete else "cut"
                ends[end if answer.status else "without a byte"] += 1
                statuses[answer.status] += 1
                if answer.headers.get("connection") == "close" or not answer.complete:
                    await caller.close()
                    caller = fleet.caller()

        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(call, number)
            version = 1
            for _ in range(15):
                for _ in range(at_once):
                    version += 1
                    value = configuration(version)
                    for change in draw.sample(SERIES, 2):
                        change(value)
                    fleet.store.put("op", "config", value)
                await trio.sleep(CHANGE_INTERVAL_S)
            nursery.cancel_scope.cancel()
        table = fleet.gateways[0].view.table
        assert table is not None
        assert table.version == version
        assert set(ends) == {"whole"}
        assert statuses.keys() <= ALLOWED
        assert statuses[200] > 100


async def serve_quickly(
    engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    if arrival.target.startswith(("/stream/", "/single/")):
        await stream.send_all(answer_head(arrival, 200, *STREAM) + b"\r\n")
        for number in range(1, 4):
            await stream.send_all(chunk(event(number)))
            await trio.sleep(0.02)
        await stream.send_all(b"0\r\n\r\n")
        return
    await trio.sleep(0.02)
    await answer_with_id(engine, stream, arrival)
