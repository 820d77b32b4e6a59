"""A stream that is taken up again runs at the service that its route has left."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import trio
from lab import (
    HOST,
    TROUBLE,
    Answer,
    Engine,
    GatewayProcess,
    Lab,
    configuration,
    route,
    run_case,
    service,
)
from standins import Arrival, EngineStandin, answer_head, chunk, event

EVENTS = 8
BROKEN_AFTER = 3  # events, by the crash of the engine
OLD_ENGINES = 6  # one of them crashes: a share of 0.17
STREAMS = 18
DOWN_S = 1.0
CONFIG_APPLY_S = 2.0  # configApplyMs
STABLE_WINDOW_S = 3.0  # stableWindowMs
MARGIN_S = 0.5
WAIT_MS = 12000


def configured(version: int, service_name: str) -> dict[str, object]:
    """Return a version of the configuration whose route goes to this service."""
    stream = route(
        "query",
        "streaming",
        service_name,
        resumable=True,
        gapAimMs=250,
        timeoutMs=WAIT_MS,
        maxAttempts=1,
    )
    services = [service("old-llm"), service("new-llm")]
    return configuration(version, [stream], services, [])


def streaming(engine: Engine, crashes: trio.Event) -> Any:
    """Return an engine's way to answer: events after the one that the client has."""

    async def answer(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        head = answer_head(
            arrival,
            200,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await stream.send_all(head + b"\r\n")
        for number in range(first, EVENTS + 1):
            await stream.send_all(chunk(event(number)))
            if number == BROKEN_AFTER:
                await crashes.wait()
            await trio.sleep(0.01)
        await stream.send_all(b"0\r\n\r\n")
        return True

    return answer


async def case(lab: Lab) -> bool:
    """Return whether no stream ran at the old service once its route was moved."""
    store, record = lab.store, lab.record
    crash = trio.Event()
    names = {f"old-{i}": "old-llm" for i in range(OLD_ENGINES)}
    names["new-1"] = "new-llm"
    engines = {name: await lab.add_engine(name, names[name]) for name in names}
    for engine in engines.values():
        engine.answer = streaming(engine, crash)
    store.put("op", "config", configured(1, "old-llm"))
    gateway = lab.add_gateway("front-1")
    await lab.wait_ready(gateway)
    begun: dict[str, Answer] = {}

    async def begin() -> None:
        request_id = lab.next_id()
        begun[request_id] = await lab.request(
            gateway, "/query/a", deadline_ms=WAIT_MS, request_id=request_id
        )

    async with trio.open_nursery() as nursery:
        for _ in range(STREAMS):
            nursery.start_soon(begin)
        await trio.sleep(0.5)
        crashed = max(engines.values(), key=lambda engine: len(engine.runs))
        if TROUBLE:
            crashed.crash()
            record.note(f"crashed {crashed.id}")
        await trio.sleep(0.2)
        crash.set()
    if TROUBLE:
        await trio.sleep(DOWN_S)
        await lab.nursery.start(crashed.run)
        store.put("servers", crashed.id, crashed.entry("old-llm"))
        record.note(f"started {crashed.id} again")
    store.put("op", "config", configured(4, "new-llm"))
    moved_s = time.monotonic()
    record.note("written configuration 4: the route goes to new-llm")
    await trio.sleep(max(CONFIG_APPLY_S, STABLE_WINDOW_S) + MARGIN_S)
    late = 0
    for first_id, answer in begun.items():
        if answer.complete:
            continue
        late += await take_up(lab, gateway, first_id, moved_s, engines)
    record.note(f"streams that ran at the old service: {late}")
    return late == 0


async def take_up(
    lab: Lab,
    gateway: GatewayProcess,
    first_id: str,
    moved_s: float,
    engines: dict[str, Engine],
) -> bool:
    """Take a broken stream up again; return whether the old service ran it."""
    request_id = lab.next_id()
    sent_s = time.monotonic() - moved_s
    headers = {"Resumes": first_id, "Last-Event-Id": str(BROKEN_AFTER)}
    await lab.request(
        gateway, "/query/a", headers, deadline_ms=8000, request_id=request_id
    )
    for name, engine in engines.items():
        if name == "new-1" or all(ran != request_id for _, ran in engine.runs):
            continue
        lab.record.note(
            f"BROKEN  {request_id}, sent to {HOST} {sent_s:.2f} s after its route had"
            f" been moved to new-llm, ran at {name} of old-llm"
        )
        return True
    return False


run_case(str(Path(__file__).parent), case)
