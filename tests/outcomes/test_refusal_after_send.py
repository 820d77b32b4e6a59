from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from teaseldyke.dispatch import QueueFull, QueueTimeout
from teaseldyke.http import HttpClient

HEADERS = [("authorization", "Bearer k"), ("request-timeout-s", "0.5")]


async def _queue_full() -> None:
    raise QueueFull("full", retry_after_s=1.0)


async def _queue_timeout() -> None:
    raise QueueTimeout("late", retry_after_s=1.0)


async def _wait_past_deadline() -> None:
    await trio.sleep(0.6)


@pytest.mark.promise("true-refusal")
@pytest.mark.parametrize(
    "second_wait", [_queue_full, _queue_timeout, _wait_past_deadline]
)
async def test_refusal_after_an_earlier_send_reports_unknown(
    second_wait: Callable[[], Awaitable[None]], harness: Any
) -> None:
    harness.aborts = True
    harness.dispatching.steps = [trio.lowlevel.checkpoint, second_wait]
    response = await HttpClient(5.0).request(
        "GET",
        "127.0.0.1",
        harness.port,
        "/services/licensing/stations/1",
        headers=HEADERS,
    )
    assert harness.executed == 1
    assert response.json()["executed"] == "unknown"
