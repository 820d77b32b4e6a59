"""What simulated engines do with a request."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

from tests.platform.standins import Arrival, complete_answer

REFUSED_STATUSES = (503, 503, 429)
FAILED_STATUSES = (500, 503, 429, 404)

# Engine, connection, request and run; returns whether the connection is kept.
Behaviour = Callable[[Any, Any, Arrival, Any], Awaitable[bool]]


async def _answer(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    return bool(await engine.answer(connection, arrival, run))


async def _pause(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    silent_at = run.draw.choice(["head", "first", "between"])
    silent_s = run.draw.uniform(0.9, 1.4)
    return bool(
        await engine.answer(
            connection, arrival, run, silent_at=silent_at, silent_s=silent_s
        )
    )


async def _stay_silent(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    silent_at = run.draw.choice(["head", "first", "between"])
    return bool(
        await engine.answer(
            connection, arrival, run, silent_at=silent_at, silent_s=math.inf
        )
    )


async def _break_off(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    return bool(await engine.answer(connection, arrival, run, cut=True))


async def _answer_unframed(
    engine: Any, connection: Any, arrival: Any, run: Any
) -> bool:
    return bool(await engine.answer(connection, arrival, run, framed=False))


async def _refuse(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    run.ran, run.status = False, run.draw.choice(REFUSED_STATUSES)
    data = complete_answer(arrival, b"", run.status, "X-Teaseldyke-Not-Run: 1")
    await connection.send_all(data)
    run.end = "whole"
    return True


async def _name_other(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    run.ran, run.status = False, 421
    await connection.send_all(complete_answer(arrival, b"", run.status))
    run.end = "whole"
    return True


async def _fail(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    run.status = run.draw.choice(FAILED_STATUSES)
    run.body = f"{run.request_id} failed at {engine.id}".encode()
    await connection.send_all(complete_answer(arrival, run.body, run.status))
    run.end = "whole"
    return True


async def _answer_twice(engine: Any, connection: Any, arrival: Any, run: Any) -> bool:
    if not await engine.answer(connection, arrival, run):
        return False
    await connection.sleep_or_leave(run.draw.choice([0.0, 0.01, 0.3]))
    await connection.send_all(complete_answer(arrival, b"late second answer"))
    return True


BEHAVIOURS: dict[str, Behaviour] = {
    "sound": _answer,
    "early": _answer,
    "pause": _pause,
    "silent": _stay_silent,
    "break": _break_off,
    "unframed": _answer_unframed,
    "refuse": _refuse,
    "other": _name_other,
    "fail": _fail,
    "twice": _answer_twice,
}
