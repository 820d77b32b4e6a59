from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import h11
import pytest
import trio

from teaseldyke.adapter import HeaderWire, StoreClient, StoreDirectory
from teaseldyke.gateway import (
    Directory,
    DirectoryListener,
    FleetBounds,
    Gateway,
    GatewaySettings,
)
from teaseldyke.settings import Address
from tests.platform.standins import EngineStandin, Script
from tests.platform.store_standin import StoreStandin
from tests.processes.ports import free_address

HOST = "a.example"
BOUNDS = FleetBounds(0.2, 54.0, 10.0, 1.5, 5.0, 8.0)


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": True,
        **fields,
    }


def configuration(version: int = 1, **fields: object) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            route("safe", "idempotent", "app"),
            route("once", "non_idempotent", "app", maxAttempts=1),
            route("keyed", "idempotent", "app", public=False),
            route("stream", "streaming", "app", resumable=True, gapAimMs=100),
            route("single", "streaming", "app", maxAttempts=1, gapAimMs=100),
            route("short", "non_idempotent", "app", timeoutMs=300, maxAttempts=1),
        ],
        "services": [
            {
                "name": "app",
                "healthPath": "/health",
                "maxConnections": 100,
                "coldStartS": 3.0,
                "coldPerS": 5.0,
            }
        ],
        "limits": {"maxBodyBytes": 200_000, "tokensPerS": 1000},
        "tenants": [{"name": "parish", "apiKeys": ["key-1"], "priority": 1}],
        **fields,
    }


@attrs.frozen
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Caller:
    """A caller's connection, independent of the product's HTTP client."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: trio.SocketStream | None = None
        self.parser = h11.Connection(h11.CLIENT)

    async def send(
        self,
        target: str,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        request_id: str = "r-1",
    ) -> None:
        if self.stream is None:
            self.stream = await trio.open_tcp_stream(
                self.address.host, self.address.port
            )
            self.parser = h11.Connection(h11.CLIENT)
        fields = {
            "Host": HOST,
            "X-Teaseldyke-Request-Id": request_id,
            "X-Teaseldyke-Deadline-Ms": "2500",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        data = self.parser.send(
            h11.Request(
                method=method,
                target=target,
                headers=[(name, value.encode()) for name, value in fields.items()],
            )
        )
        data = (data or b"") + (self.parser.send(h11.Data(data=body)) or b"")
        await self.stream.send_all(data + (self.parser.send(h11.EndOfMessage()) or b""))

    async def receive_answer(self) -> Answer:
        assert self.stream is not None
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError:
                return Answer(status, headers, body, False)
            if event is h11.NEED_DATA:
                try:
                    data = await self.stream.receive_some(65536)
                except trio.BrokenResourceError:
                    return Answer(status, headers, body, False)
                self.parser.receive_data(data)
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
                continue
            if isinstance(event, h11.Data):
                body += bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                if self.parser.states[h11.SERVER] is h11.DONE:
                    self.parser.start_next_cycle()
                return Answer(status, headers, body, True)
            return Answer(status, headers, body, False)

    async def request(self, target: str, **fields: Any) -> Answer:
        await self.send(target, **fields)
        with trio.fail_after(10):
            return await self.receive_answer()

    async def close(self) -> None:
        if self.stream is not None:
            await self.stream.aclose()


@attrs.define(eq=False)
class Fleet:
    """A store, engines and gateways on loopback."""

    nursery: trio.Nursery
    store: StoreStandin
    engines: dict[str, EngineStandin] = attrs.field(factory=dict)
    gateways: list[Gateway] = attrs.field(factory=list)
    _running: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    async def add_engine(self, name: str, **fields: Any) -> EngineStandin:
        engine = self.engines[name] = EngineStandin(name)
        await self.nursery.start(engine.run)
        self.store.put("servers", name, engine.entry("app", **fields))
        return engine

    async def add_gateway(self, name: str = "g-1", **fields: Any) -> Gateway:
        settings = GatewaySettings(
            name=name,
            failure_domain="zone-a",
            callers=free_address(),
            readiness=free_address(),
            exchange=free_address(),
            metrics=free_address(),
            platform=fields.pop("platform", Address("127.0.0.1", self.store.port)),
            bounds=fields.pop("bounds", BOUNDS),
            **fields,
        )

        gateway = _make_gateway(settings)
        self.gateways.append(gateway)
        await self._start(gateway)
        return gateway

    def kill_gateway(self, gateway: Gateway) -> None:
        """End an instance at once; its connections break and its memory is lost."""
        self.gateways.remove(gateway)
        self._running[gateway.settings.name].cancel()

    async def start_again(self, killed: Gateway) -> Gateway:
        """Start an instance with the name and the addresses of a killed one."""
        await wait_until(lambda: killed.settings.name not in self._running)
        gateway = _make_gateway(killed.settings)
        await self._start(gateway)
        self.gateways.append(gateway)
        return gateway

    async def _start(self, gateway: Gateway) -> None:
        self.nursery.start_soon(self._run, gateway)
        await wait_until_listening(gateway.settings.callers)

    async def _run(self, gateway: Gateway) -> None:
        with trio.CancelScope() as self._running[gateway.settings.name]:
            await gateway.run()
        del self._running[gateway.settings.name]

    def caller(self, gateway: Gateway | None = None) -> Caller:
        return Caller((gateway or self.gateways[0]).settings.callers)

    @property
    def arrivals(self) -> int:
        return sum(len(engine.arrivals) for engine in self.engines.values())


def _make_gateway(settings: GatewaySettings) -> Gateway:
    def make_directory(listener: DirectoryListener) -> Directory:
        return StoreDirectory(StoreClient(settings.platform), listener)

    return Gateway(settings, HeaderWire(), make_directory, lambda: settings)


def script_all(fleet: Fleet, *scripts: Script) -> None:
    """Give every engine the same scripts, whichever engine is chosen first."""
    for engine in fleet.engines.values():
        engine.scripts = list(scripts)


async def wait_until_listening(address: Address) -> None:
    with trio.fail_after(5):
        while True:
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                await trio.sleep(0.01)
                continue
            await stream.aclose()
            return


async def wait_until(condition: Any, timeout_s: float = 5.0) -> None:
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def running_fleet(engines: int = 2, **fields: Any) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, StoreStandin())
        await nursery.start(fleet.store.run)
        fleet.store.put("op", "config", configuration())
        for i in range(engines):
            await fleet.add_engine(f"e-{i}")
        gateway = await fleet.add_gateway(**fields)
        await wait_until(lambda: gateway.is_ready)
        await wait_until(lambda: len(gateway.view.states_of("app")) == engines)
        yield fleet
        nursery.cancel_scope.cancel()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running_fleet() as running:
        yield running
