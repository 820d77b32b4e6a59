"""An engine stops in the middle of its answer's head."""

from __future__ import annotations

import struct
from collections.abc import Callable

import pytest
import trio

from tests.platform.conftest import Fleet, script_all
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    Script,
    answer_head,
    complete_answer,
    event,
    stream_of,
)

BODY = b"twelve bytes"
CUTS = (b"HTTP/1.1", b"HTTP/1.1 20", b"Id: r", b"Stam", b"Content-Length: 1", b"12")
CONTINUE = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def cut_head(arrival: Arrival, cut: bytes) -> bytes:
    head = answer_head(arrival, 200, f"Content-Length: {len(BODY)}")
    return head[: head.index(cut) + len(cut)]


def whole_head_without_its_end(arrival: Arrival, _cut: bytes) -> bytes:
    return answer_head(arrival, 200, f"Content-Length: {len(BODY)}")


async def close(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    await stream.aclose()


End = Callable[[trio.SocketStream], object]


def stops_in_head(
    cut: bytes, end: End, *, before: bytes = b"", pieces: bool = False
) -> Script:
    make = cut_head if cut else whole_head_without_its_end

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        data = make(arrival, cut)
        await stream.send_all(before)
        if pieces:
            middle = len(data) // 2
            await stream.send_all(data[:middle])
            await trio.sleep(0.05)
            data = data[middle:]
        await stream.send_all(data)
        await trio.sleep(0.01)  # a reset overtakes what was not read yet
        await end(stream)  # type: ignore[misc]
        return False

    return script


@pytest.mark.parametrize("cut", [*CUTS, b""], ids=lambda cut: cut.decode() or "end")
@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a", "/single/a"])
async def test_answer_without_a_whole_head_is_not_framed_as_whole(
    fleet: Fleet, target: str, end: End, cut: bytes
) -> None:
    script_all(fleet, *[stops_in_head(cut, end)] * 9)
    answer = await fleet.caller().request(target)
    assert answer.status == 502
    assert b"twelve" not in answer.body


@pytest.mark.parametrize(
    ("before", "pieces"),
    [(CONTINUE, False), (b"", True), (CONTINUE, True)],
    ids=["after-1xx", "in-pieces", "after-1xx-in-pieces"],
)
@pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a", "/single/a"])
async def test_head_cut_after_an_interim_answer_or_a_pause(
    fleet: Fleet, target: str, before: bytes, pieces: bool
) -> None:
    script = stops_in_head(b"Content-Length: 1", close, before=before, pieces=pieces)
    script_all(fleet, *[script] * 9)
    answer = await fleet.caller().request(target)
    assert answer.status == 502


@pytest.mark.parametrize(
    ("target", "status", "body"),
    [
        ("/safe/a", 200, BODY),
        ("/stream/a", 200, event(1) + event(2)),
        ("/once/a", 502, None),
        ("/single/a", 502, None),
    ],
)
async def test_sound_engine_answers_what_may_be_repeated(
    fleet: Fleet, target: str, status: int, body: bytes | None
) -> None:
    arrivals: list[Arrival] = []

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> object:
        arrivals.append(arrival)
        if len(arrivals) == 1:
            return await stops_in_head(b"Content-Length: 1", close)(
                engine, stream, arrival
            )
        if target == "/stream/a":
            return await stream_of(1, 2)(engine, stream, arrival)
        await stream.send_all(complete_answer(arrival, BODY))
        return True

    for engine in fleet.engines.values():
        engine.scripts = [script] * 9
    answer = await fleet.caller().request(target)
    assert answer.status == status
    assert len(arrivals) == (2 if status == 200 else 1)
    if body is not None:
        assert (answer.body, answer.complete) == (body, True)


async def test_whole_head_in_pieces_is_an_answer(fleet: Fleet) -> None:
    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        for byte in complete_answer(arrival, BODY):
            await stream.send_all(bytes([byte]))
        return True

    script_all(fleet, script)
    answer = await fleet.caller().request("/once/a")
    assert (answer.status, answer.body) == (200, BODY)
