from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.dispatch import Completion, Permit
from teaseldyke.http import BackendPool, Request, ServerLimits, serve
from teaseldyke.outcomes import OutcomeRecords, RetryBudget
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.router.authentication import hash_key
from teaseldyke.router.callers import CallerHandler
from teaseldyke.router.forwarding import Forwarder
from teaseldyke.router.recorded import AtMostOnceForwarder
from teaseldyke.telemetry import Tracing
from teaseldyke.types import (
    BackendServer,
    Configuration,
    Organisation,
    RequestRule,
    Service,
)

Handler = Callable[[Request], Awaitable[None]]

CONFIGURATION = Configuration(
    1,
    organisations={
        "parish-9": Organisation(
            "parish-9", 1.0, (hash_key("k9"),), ("licensing", "language-model")
        ),
        "idle": Organisation("idle", 1.0, (hash_key("off"),), (), disabled=True),
    },
    services={
        "licensing": Service(
            "licensing", "plain", 4, rules=(RequestRule("GET", "/", True),)
        ),
        "language-model": Service(
            "language-model", "engine", 4, rules=(RequestRule("POST", "/", True),)
        ),
        "ledger": Service("ledger", "plain", 4),
    },
)


@attrs.define(eq=False)
class FakeDispatching:
    """Grants permits round robin; the next `lapses` checks of a permit fail."""

    servers: deque[BackendServer] = attrs.field(factory=deque)
    lapses: int = 0
    completions: list[tuple[str, Completion]] = attrs.field(factory=list)

    async def acquire(self, service: str, organisation: str, **_: Any) -> Permit:
        await trio.lowlevel.checkpoint()
        server = self.servers[0]
        self.servers.rotate(-1)
        return Permit(
            grant_id=1,
            organisation=organisation,
            server=server,
            fencing=1,
            estimate_cost=1.0,
            expires_at_s=1e9,
            dispatcher=("d", 1),
            owner=self,
        )

    def lapse_reason(self, permit: Permit) -> str | None:
        if not self.lapses:
            return None
        self.lapses -= 1
        return "test"

    def sent(self, permit: Permit) -> None:
        pass

    def charged(self, permit: Permit, cost_so_far: float) -> None:
        pass

    def finished(self, permit: Permit, cost: float, completion: Completion) -> None:
        self.completions.append((permit.server.name, completion))


@attrs.define
class Bench:
    """A caller handler with fake backend servers, on loopback."""

    nursery: trio.Nursery
    dispatching: FakeDispatching = attrs.field(factory=FakeDispatching)
    table: MemoryTableService = attrs.field(factory=MemoryTableService)
    port: int = 0
    handler: CallerHandler = attrs.field(init=False)
    records: OutcomeRecords = attrs.field(init=False)

    async def start(self) -> None:
        forwarder = Forwarder(
            self.dispatching,  # type: ignore[arg-type]
            BackendPool(),
            RetryBudget(),
            Tracing(),
        )
        self.records = OutcomeRecords(self.table, MemoryObjectStore(), "router-1", "1")
        await self.nursery.start(self.records.run)
        self.handler = CallerHandler(
            lambda: CONFIGURATION,
            forwarder,
            AtMostOnceForwarder(forwarder, self.records),
            Tracing(),
            1024,
        )
        self.port = await self.listen(self.handler.handle)

    async def listen(self, handler: Handler) -> int:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        self.nursery.start_soon(partial(serve, listener, handler, ServerLimits()))
        return int(listener.socket.getsockname()[1])

    async def add_server(self, name: str, handler: Handler) -> None:
        port = await self.listen(handler)
        self.add_address(name, port)

    def add_address(self, name: str, port: int) -> None:
        server = BackendServer(name, "licensing", "127.0.0.1", port, "north")
        self.dispatching.servers.append(server)


@pytest.fixture
async def bench() -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        running = Bench(nursery)
        await running.start()
        yield running
        nursery.cancel_scope.cancel()
