from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.processes.fleet import Fleet, FleetPlan, running_fleet

StartFleet = Callable[..., Awaitable[Fleet]]


@pytest.fixture
async def start_fleet(tmp_path: Path) -> AsyncIterator[StartFleet]:
    async with AsyncExitStack() as stack:

        async def start(plan: FleetPlan | None = None) -> Fleet:
            return await stack.enter_async_context(running_fleet(tmp_path, plan))

        yield start
