"""A stream broke off; what the next engine answers must not corrupt it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.platform.conftest import Fleet
from tests.platform.standins import (
    Arrival,
    Script,
    answer_head,
    answer_raw,
    answer_with,
    chunk,
    event,
    not_run,
    stream_of,
)

FIRST_EVENTS = event(1) + event(2)
STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")


def raw(make: Callable[[Arrival], bytes], *, close: bool = True) -> Script:
    return answer_raw(make, close=close)


def head_cut_after(name: str) -> Script:
    def make(arrival: Arrival) -> bytes:
        head = answer_head(arrival, 200, *STREAM) + b"\r\n"
        return head[: head.index(name.encode()) + len(name)]

    return raw(make)


def empty_chunks(arrival: Arrival) -> bytes:
    return answer_head(arrival, 200, *STREAM) + b"\r\n0\r\n\r\n"


def only_a_comment(arrival: Arrival) -> bytes:
    head = answer_head(arrival, 200, *STREAM) + b"\r\n"
    return head + chunk(b": still here\n\n") + b"0\r\n\r\n"


def head_in_body(arrival: Arrival) -> bytes:
    head = answer_head(arrival, 200, *STREAM) + b"\r\n"
    return head + chunk(answer_head(arrival, 500) + b"\r\n\n\n") + b"0\r\n\r\n"


@pytest.mark.parametrize(
    "second",
    [
        answer_with(500, body=b"internal error"),
        raw(lambda a: answer_head(a, 500, "Content-Length: 0", stamp=False) + b"\r\n"),
        not_run(),
        answer_with(404, body=b"not found"),
        answer_with(204),
        answer_with(206, body=event(3)),
        answer_with(200, body=b'{"error": "overloaded"}'),
        answer_with(200, body=b"data: without an id\n\n"),
        answer_with(200),
        raw(empty_chunks, close=False),
        raw(only_a_comment, close=False),
        raw(head_in_body, close=False),
        head_cut_after("HTTP/1.1 20"),
        head_cut_after("Response-Stamp"),
        answer_with(200, body=event(4)),
    ],
    ids=[
        "error",
        "error-without-stamp",
        "not-run",
        "not-found",
        "no-content",
        "partial-content",
        "json",
        "no-id",
        "no-body",
        "no-chunks",
        "comment",
        "head-in-body",
        "cut-status",
        "cut-header",
        "wrong-event",
    ],
)
async def test_answer_of_the_next_engine_does_not_end_a_broken_stream_as_whole(
    fleet: Fleet, second: Script
) -> None:
    """An empty answer of the next engine ended it as if it were complete."""
    used: list[str] = []
    first = stream_of(1, 5, cut_after=2)

    async def script(engine: object, stream: object, arrival: Arrival) -> object:
        used.append("first" if not used else "second")
        chosen = first if used[-1] == "first" else second
        return await chosen(engine, stream, arrival)  # type: ignore[arg-type]

    for engine in fleet.engines.values():
        engine.scripts = [script] * 9
    answer = await fleet.caller().request("/stream/a")
    assert "second" in used
    assert answer.status == 200
    assert answer.body == FIRST_EVENTS
    assert not answer.complete


async def test_stream_that_broke_off_goes_on_at_the_next_engine(fleet: Fleet) -> None:
    used: list[Arrival] = []

    async def script(engine: object, stream: object, arrival: Arrival) -> object:
        used.append(arrival)
        first = len(used) == 1
        chosen = stream_of(1, 5, cut_after=2) if first else stream_of(3, 5)
        return await chosen(engine, stream, arrival)  # type: ignore[arg-type]

    for engine in fleet.engines.values():
        engine.scripts = [script] * 9
    answer = await fleet.caller().request("/stream/a")
    assert answer.complete
    assert answer.body == b"".join(event(number) for number in range(1, 6))


async def test_caller_that_resumes_gets_an_empty_answer_as_it_is(fleet: Fleet) -> None:
    """Nothing is joined to it, and the engine may have nothing left."""
    for engine in fleet.engines.values():
        engine.scripts = [raw(empty_chunks, close=False)] * 9
    answer = await fleet.caller().request("/stream/a", headers={"Last-Event-Id": "5"})
    assert (answer.status, answer.body, answer.complete) == (200, b"", True)
