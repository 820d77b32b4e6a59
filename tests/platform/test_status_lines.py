"""Answers with a status line that isn't one of a final answer."""

from __future__ import annotations

import pytest

from tests.platform.conftest import Fleet, script_all
from tests.platform.standins import Arrival, EngineStandin, answer_raw, complete_answer

BODY = b"twelve bytes"


@pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a", "/single/a"])
@pytest.mark.parametrize(
    "line",
    [
        *(b"HTTP/1.1 %s Status" % status for status in (b"099", b"600", b"999")),
        *(b"HTTP/1.1 %s Status" % status for status in (b"20", b"2000", b"abc")),
        b"HTTP/1.1 200 Status\r\nHTTP/1.1 200 Status",
    ],
)
async def test_caller_gets_502_and_the_connection_is_not_reused(
    fleet: Fleet, target: str, line: bytes
) -> None:
    def make(arrival: Arrival) -> bytes:
        answer = complete_answer(arrival, BODY)
        return answer.replace(b"HTTP/1.1 200 Status", line, 1)

    script = answer_raw(make, close=False)
    script_all(fleet, *[script] * 9)
    answer = await fleet.caller().request(target)
    assert (answer.status, answer.complete) == (502, True)
    assert BODY not in answer.body
    script_all(fleet)
    used = [_connections(engine) for engine in fleet.engines.values()]
    for _ in range(4):
        assert (await fleet.caller().request("/once/a")).status == 200
    for engine, faulty in zip(fleet.engines.values(), used, strict=True):
        later = _connections(engine)[len(faulty) :]
        assert set(later).isdisjoint(faulty)


def _connections(engine: EngineStandin) -> list[int]:
    """Return the connection of each request that an engine received."""
    return [arrival.connection for arrival in engine.arrivals]
