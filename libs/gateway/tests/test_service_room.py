"""The room that an instance keeps for the callers of services without a crowd."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack

import pytest

from teaseldyke.gateway.errors import ServiceCrowded
from teaseldyke.gateway.service_room import ServiceRoom
from teaseldyke.http import CallerMemory, HoldingState
from teaseldyke.http.caller_memory import CONNECTION_BYTES

ROOM = 8  # connections


def by_connections() -> CallerMemory:
    return CallerMemory(connections_max=ROOM)


def by_memory() -> CallerMemory:
    return CallerMemory(limit_bytes=ROOM * CONNECTION_BYTES)


@pytest.mark.parametrize("make_memory", [by_connections, by_memory])
@pytest.mark.parametrize(
    ("running", "idle", "service", "is_refused"),
    [
        ("cccccc", 0, "c", True),
        ("cccccc", 0, "o", False),
        ("ccccoo", 0, "c", True),
        ("ccccoo", 0, "o", False),
        # Neither service has more than half of what runs.
        ("cccooo", 0, "c", False),
        ("cccooo", 0, "o", False),
        # Connections without a running request can be closed.
        ("ccccc", 0, "c", False),
        ("ccccc", 3, "c", False),
        ("", 8, "c", False),
    ],
)
def test_service_that_takes_most_is_refused(
    make_memory: Callable[[], CallerMemory],
    running: str,
    idle: int,
    service: str,
    is_refused: bool,
) -> None:
    """Requests to one service that hang kept everybody else out."""
    memory = make_memory()
    room = ServiceRoom(memory)
    with ExitStack() as stack:
        for name in running:
            stack.enter_context(room.enter(name))
        for _ in running:
            memory.open(lambda state, scarcity: True).enter(HoldingState.FORWARDED)
        for _ in range(idle):
            memory.open(lambda state, scarcity: True).enter(HoldingState.IDLE)
        if is_refused:
            with pytest.raises(ServiceCrowded) as caught, room.enter(service):
                pass
            assert caught.value.retry_after_s > 0.0
            assert room.running == len(running)
            return
        with room.enter(service):
            assert room.running == len(running) + 1
    assert room.running == 0
