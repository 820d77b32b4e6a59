"""A fleet whose routers reach backend servers and the platform through relays."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio
import yaml

from teaseldyke.configuration import Sheet
from teaseldyke.http import ConnectFailed
from teaseldyke.settings import Address
from teaseldyke.types import BackendServer, RequestRule, Service
from tests.processes.fleet import (
    BIN,
    HOST,
    PLAIN_SERVICE,
    READY_POLL_S,
    START_TIMEOUT_S,
    Fleet,
    FleetPlan,
    FleetProcess,
    free_port,
)

RELAY = "relay"
PLATFORM = "platform"
NAIVE_MODULE = "benchmarks.naive_router"

SERVICE = Service(
    PLAIN_SERVICE,
    "plain",
    limit=16,
    cold_limit=16,
    queue_timeout_s=5.0,
    rules=(RequestRule("GET", "/stations", True),),
)


def outcome_plan(*, checks_fencing: bool = False) -> FleetPlan:
    """Return three routers and three processes of a plain service."""
    return FleetPlan(
        routers=3,
        engines=0,
        services=3,
        plain_service=attrs.evolve(SERVICE, checks_fencing=checks_fencing),
        router={"join_delay_s": 0.5},
    )


@attrs.define
class RelayedFleet(Fleet):
    """Fleet whose routers reach backend servers and the platform through relays.

    Connections between routers, and those of callers, are direct.

    Parameters
    ----------
    naive : bool
        Whether to run naive routers instead of the product's.
    """

    naive: bool = False
    _routes: dict[str, Address] = attrs.field(factory=dict, init=False)

    async def start_platform(self) -> None:
        """Start the stand-in for the platform and its relay."""
        await Fleet.start_platform(self)
        await self._start_relay(self.processes[PLATFORM])

    async def start_server(self, server: BackendServer) -> FleetProcess:
        """Start a process of the plain service and its relay."""
        process = await Fleet.start_server(self, server)
        await self._start_relay(process)
        return process

    async def start_router(self, index: int) -> FleetProcess:
        """Start a naive router or one of the product and wait until it is ready."""
        if not self.naive:
            platform = str(self._routes[PLATFORM])
            self.plan.router = {**self.plan.router, "platform": platform}
            return await Fleet.start_router(self, index)
        with trio.fail_after(START_TIMEOUT_S):
            while len(self._routes) <= self.plan.services:
                await trio.sleep(READY_POLL_S)
        servers = [str(self._routes[server.name]) for server in self.services]
        listen = f"{HOST}:{free_port()}"
        settings: dict[str, object] = {"listen": listen, "servers": servers}
        return await self._start_naive(f"router-{index + 1}", settings)

    async def restart(self, process: FleetProcess) -> FleetProcess:
        """Restart a router that has ended, with the same settings."""
        if not self.naive:
            return await Fleet.restart(self, process)
        settings = yaml.safe_load(process.settings.read_text())
        return await self._start_naive(process.name, settings)

    def sheet(self) -> Sheet:
        """Return the sheet of the plan, with the addresses of the relays."""
        sheet = Fleet.sheet(self)
        servers = {}
        for name, server in sheet.backend_servers.items():
            route = self._routes[name]
            servers[name] = attrs.evolve(server, host=route.host, port=route.port)
        return attrs.evolve(sheet, backend_servers=servers)

    async def order(self, name: str, mode: str) -> None:
        """Set the mode of a process's relay: pass, hold, cut or half-close."""
        body = json.dumps({"mode": mode}).encode()
        relay = self.processes[f"{RELAY}-{name}"]
        await self.call(relay, "PUT", f"/routes/{name}", body)

    async def _start_relay(self, process: FleetProcess) -> None:
        listen = Address(HOST, free_port())
        route = {"name": process.name, "listen": str(listen)}
        admin = Address(HOST, free_port())
        routes = [{**route, "target": str(process.address)}]
        path = self.directory / f"{RELAY}-{process.name}.yaml"
        path.write_text(yaml.safe_dump({"admin": str(admin), "routes": routes}))
        command = [str(BIN / "teaseldyke-standin"), RELAY, "--settings", str(path)]
        await self._start_process(path.stem, command, admin, path, "/routes")
        self._routes[process.name] = listen

    async def _start_naive(
        self, name: str, settings: dict[str, object]
    ) -> FleetProcess:
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = [sys.executable, "-m", NAIVE_MODULE, str(path)]
        address = Address.parse(str(settings["listen"]))
        return await self._start_process(name, command, address, path, "/readyz")

    async def _start_process(
        self, name: str, command: list[str], address: Address, path: Path, target: str
    ) -> FleetProcess:
        log = self.directory / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        kind = RELAY if name.startswith(RELAY) else "router"
        found = FleetProcess(name, process, log, address, path, kind)
        self.processes[name] = found
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                assert process.poll() is None, (
                    f"{name} exited during start: {log.read_text()}"
                )
                try:
                    await self.call(found, "GET", target)
                except ConnectFailed:
                    await trio.sleep(READY_POLL_S)
                    continue
                return found


@asynccontextmanager
async def running_relayed_fleet(
    directory: Path, plan: FleetPlan, *, naive: bool
) -> AsyncIterator[RelayedFleet]:
    """Start a fleet and kill its processes at the end of the block."""
    fleet = RelayedFleet(directory, plan, naive=naive)
    try:
        await fleet.start()
        yield fleet
    finally:
        fleet.end()
