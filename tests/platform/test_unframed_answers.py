"""Answers without length or chunks: how they end, by kind of request."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
import trio

from tests.platform.conftest import Fleet, script_all
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    Script,
    answer_head,
    event,
    stream_of,
)

WHOLE = b"the whole answer"
EVENTS = b"".join(event(i) for i in range(1, 4))
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PIECE_GAP_S = 0.02  # so that what was sent is read before a reset


def unframed(body: bytes, *, is_reset: bool) -> Script:
    """Return a script that ends its answer with the connection."""

    async def script(
        _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        await stream.send_all(answer_head(arrival) + b"\r\n" + body)
        await trio.sleep(PIECE_GAP_S)
        if is_reset:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            stream.socket.close()
            return False
        await stream.aclose()
        return False

    return script


def crash_after(body: bytes) -> Script:
    """Return a script whose engine crashes in an answer without length."""

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        await stream.send_all(answer_head(arrival) + b"\r\n" + body)
        await trio.sleep(PIECE_GAP_S)
        engine.crash()
        return False

    return script


def first_then_sound(script: Script, sound: Callable[[Arrival], Script]) -> Script:
    """Return a script for all engines: the first send ends oddly, others are sound."""
    sends = 0

    async def choose(engine: Any, stream: Any, arrival: Arrival) -> Any:
        nonlocal sends
        sends += 1
        chosen = script if sends == 1 else sound(arrival)
        return await chosen(engine, stream, arrival)

    return choose


def sound_plain(_arrival: Arrival) -> Script:
    return unframed(WHOLE, is_reset=False)


def sound_stream(arrival: Arrival) -> Script:
    return stream_of(int(arrival.headers.get("last-event-id", 0)) + 1, 3)


class TestPlainAnswers:
    @pytest.mark.parametrize(
        ("target", "is_reset", "status", "sends"),
        [
            ("/safe/a", False, 200, 1),
            ("/once/a", False, 200, 1),
            ("/safe/a", True, 200, 2),
            ("/once/a", True, 502, 1),
        ],
    )
    async def test_reset_answer_is_never_passed_on_as_whole(
        self, fleet: Fleet, target: str, is_reset: bool, status: int, sends: int
    ) -> None:
        body = WHOLE[:7] if is_reset else WHOLE
        script = first_then_sound(unframed(body, is_reset=is_reset), sound_plain)
        script_all(fleet, script, script)
        answer = await fleet.caller().request(target)
        assert (answer.status, fleet.arrivals) == (status, sends)
        assert answer.complete
        assert (answer.body == WHOLE) == (status == 200)


class TestStreams:
    @pytest.mark.parametrize("target", ["/stream/a", "/single/a"])
    @pytest.mark.parametrize(
        ("sent", "is_reset", "is_whole"),
        [
            (EVENTS, False, True),
            (event(1) + event(2), True, False),
            (event(1) + b"id: 2\ndata: to", False, False),
            (event(1) + b"id: 2\ndata: to", True, False),
            (b"", False, False),
            (b"", True, False),
        ],
        ids=[
            "after-last-event",
            "reset-between-events",
            "closed-in-event",
            "reset-in-event",
            "closed-before-first",
            "reset-before-first",
        ],
    )
    async def test_broken_stream_is_resumed_or_told(
        self, fleet: Fleet, target: str, sent: bytes, is_reset: bool, is_whole: bool
    ) -> None:
        script = first_then_sound(unframed(sent, is_reset=is_reset), sound_stream)
        script_all(fleet, script, script)
        answer = await fleet.caller().request(target)
        if is_whole or target == "/stream/a":
            assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
            assert fleet.arrivals == (1 if is_whole else 2)
            return
        assert fleet.arrivals == 1
        assert answer.status == 502 or not answer.complete
        assert EVENTS.startswith(answer.body) or answer.status == 502


class TestCrashes:
    """A crash closes connections as the end of such an answer does."""

    @pytest.mark.parametrize(
        ("target", "sent", "status", "body"),
        [
            ("/safe/a", WHOLE[:7], 200, WHOLE),
            ("/once/a", WHOLE[:7], 502, None),
            ("/stream/a", event(1) + event(2), 200, EVENTS),
            ("/single/a", event(1) + event(2), 200, None),
        ],
    )
    async def test_crash_is_not_taken_for_the_end_of_an_answer(
        self, fleet: Fleet, target: str, sent: bytes, status: int, body: bytes | None
    ) -> None:
        sound = sound_stream if target == "/stream/a" else sound_plain
        script = first_then_sound(crash_after(sent), sound)
        script_all(fleet, script, script)
        answer = await fleet.caller().request(target)
        assert answer.status == status
        if body is not None:
            assert (answer.body, answer.complete) == (body, True)
            return
        assert answer.status == 502 or not answer.complete
