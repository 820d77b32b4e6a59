"""An earlier refusal that a faulty engine writes once more on a kept connection."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from tests.platform.conftest import Fleet
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    complete_answer,
    stream_of,
)


def refusal(arrival: Arrival, status: int) -> bytes:
    return complete_answer(arrival, b"", status, "X-Teaseldyke-Not-Run: 1")


class FaultyEngine:
    """Refuses its first request; writes that again on its connection, then runs.

    Attributes
    ----------
    runs : int
        Requests that it has run.
    """

    def __init__(self, status: int) -> None:
        self.runs = 0
        self._status = status
        self._refused_on: int | None = None

    async def __call__(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        if self._refused_on is None:
            self._refused_on = arrival.connection
            await stream.send_all(refusal(arrival, self._status))
            return True
        if arrival.connection == self._refused_on:
            await stream.send_all(refusal(arrival, self._status))
        self.runs += 1
        if arrival.target.startswith(("/stream", "/single")):
            return await stream_of(1, 3)(engine, stream, arrival)
        await stream.send_all(complete_answer(arrival, b"ok"))
        return True


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("target", ["/once/a", "/safe/a", "/stream/a", "/single/a"])
@pytest.mark.parametrize("body", [b"", b"x" * 100_000], ids=["no-body", "long-body"])
async def test_refusal_written_again_is_not_taken_for_that_of_the_second_send(
    fleet: Fleet, target: str, status: int, body: bytes
) -> None:
    """All engines refuse; the second send came with the same id on the same connection.

    The caller was told that its request had not run, and it ran at two engines.
    """
    faulty = [FaultyEngine(status) for _ in fleet.engines]
    for engine, script in zip(fleet.engines.values(), faulty, strict=True):
        engine.scripts = [script] * 9
    answer = await fleet.caller().request(target, body=body)
    runs = sum(script.runs for script in faulty)
    if target in ("/once/a", "/single/a"):
        assert runs <= 1
    assert (answer.status == 200) is (runs >= 1)
    if answer.status in (429, 503, 421):
        assert runs == 0
