from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.dispatch import Completion, Permit
from teaseldyke.http import BackendPool, Request, ServerLimits, serve
from teaseldyke.outcomes import OutcomeRecords, RecordLimits, RetryBudget
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

CONFIGURATION = Configuration(
    1,
    organisations={
        "parish": Organisation(
            "parish", 1.0, (hash_key("k"),), ("licensing", "fenced")
        ),
        "idle": Organisation("idle", 1.0, (hash_key("off"),), (), disabled=True),
    },
    services={
        "licensing": Service(
            "licensing", "plain", 4, rules=(RequestRule("GET", "/", True),)
        ),
        "ledger": Service("ledger", "plain", 4),
        "fenced": Service("fenced", "plain", 4, checks_fencing=True),
    },
)
CALLER_LIMITS = ServerLimits(
    header_bytes=1024, header_timeout_s=0.1, body_bytes=1024, connections=4
)
RECORD_LIMITS = RecordLimits(lease_s=0.2, lease_margin_s=0.1)


@attrs.define(eq=False)
class ScriptedDispatching:
    """Runs the next scripted step, if any, and grants a permit for one address."""

    port: int = 0
    steps: list[Callable[[], Awaitable[None]]] = attrs.field(factory=list)
    completions: list[Completion] = attrs.field(factory=list)

    async def acquire(self, service: str, organisation: str, **_: Any) -> Permit:
        await trio.lowlevel.checkpoint()
        if self.steps:
            await self.steps.pop(0)()
        return Permit(
            grant_id=1,
            organisation=organisation,
            server=BackendServer("a", service, "127.0.0.1", self.port, "north"),
            fencing=1,
            estimate_cost=1.0,
            expires_at_s=1e9,
            dispatcher=("d", 1),
            owner=self,
        )

    def lapse_reason(self, permit: Permit) -> str | None:
        return None

    def sent(self, permit: Permit) -> None:
        pass

    def charged(self, permit: Permit, cost_so_far: float) -> None:
        pass

    def finished(self, permit: Permit, cost: float, completion: Completion) -> None:
        self.completions.append(completion)


@attrs.define(eq=False)
class RouterHarness:
    """A router's request path with one backend server that counts its executions."""

    nursery: trio.Nursery
    dispatching: ScriptedDispatching = attrs.field(factory=ScriptedDispatching)
    table: MemoryTableService = attrs.field(factory=MemoryTableService)
    configuration: Configuration | None = CONFIGURATION
    executed: int = 0
    aborts: bool = False
    fencing_refusals: int = 0
    port: int = 0
    records: OutcomeRecords = attrs.field(init=False)

    async def start(self) -> None:
        self.records = await self.start_records("router-1")
        forwarder = Forwarder(
            self.dispatching,  # type: ignore[arg-type]
            BackendPool(),
            RetryBudget(),
            Tracing(),
        )
        handler = CallerHandler(
            lambda: self.configuration,
            forwarder,
            AtMostOnceForwarder(forwarder, self.records),
            Tracing(),
            CALLER_LIMITS.body_bytes,
        )
        self.port = await self._listen(handler.handle, CALLER_LIMITS)
        self.dispatching.port = await self._listen(self._execute, ServerLimits())

    async def start_records(self, router: str) -> OutcomeRecords:
        records = OutcomeRecords(
            self.table, MemoryObjectStore(), router, "1", RECORD_LIMITS
        )
        await self.nursery.start(records.run)
        return records

    async def _listen(
        self, handler: Callable[[Request], Awaitable[None]], limits: ServerLimits
    ) -> int:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        self.nursery.start_soon(partial(serve, listener, handler, limits))
        return int(listener.socket.getsockname()[1])

    async def _execute(self, request: Request) -> None:
        if self.fencing_refusals:
            self.fencing_refusals -= 1
            await request.respond(409, b'{"code": "old_fencing_number"}')
            return
        self.executed += 1
        if self.aborts:
            await request.abort()
            return
        await request.respond(201, b"grant")


@pytest.fixture
async def harness() -> AsyncIterator[RouterHarness]:
    async with trio.open_nursery() as nursery:
        running = RouterHarness(nursery)
        await running.start()
        yield running
        nursery.cancel_scope.cancel()
