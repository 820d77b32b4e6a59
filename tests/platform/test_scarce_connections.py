"""An instance whose connections are held by callers that it may not cut off."""

from __future__ import annotations

import pytest
import trio

from tests.platform.conftest import (
    Caller,
    Fleet,
    configuration,
    route,
    running_fleet,
    script_all,
    wait_until,
)
from tests.platform.standins import EngineStandin, hang

SERVICES = ("once", "ledger")  # by their routes; one alone may not take all room


async def add_ledger(fleet: Fleet) -> None:
    """Add a service of its own with a route and a backend server."""
    value = configuration(version=2)
    value["services"].append({**value["services"][0], "name": "ledger"})
    value["routes"].append(route("ledger", "non_idempotent", "ledger"))
    fleet.store.put("op", "config", value)
    engine = fleet.engines["ledger"] = EngineStandin("ledger")
    await fleet.nursery.start(engine.run)
    fleet.store.put("servers", "ledger", engine.entry("ledger"))
    view = fleet.gateways[0].view
    await wait_until(lambda: view.table and view.table.version == 2)
    await wait_until(lambda: view.states_of("ledger"))


async def readiness(fleet: Fleet) -> int:
    """Return the status of the answer to the platform's readiness check."""
    caller = Caller(fleet.gateways[0].settings.readiness)
    answer = await caller.request("/-/ready", method="GET")
    await caller.close()
    return answer.status


async def test_instance_that_refuses_connections_is_not_ready() -> None:
    """The platform went on to send callers to an instance that refused them all."""
    async with running_fleet(connections_max=len(SERVICES)) as fleet:
        await add_ledger(fleet)
        script_all(fleet, hang)
        before = await readiness(fleet)
        running = [fleet.caller() for _ in SERVICES]
        for caller, service in zip(running, SERVICES, strict=True):
            await caller.send(f"/{service}/a")
        await wait_until(lambda: fleet.arrivals == len(SERVICES))
        while_full = await readiness(fleet)
        refused = await fleet.caller().request("/once/a")
        after = await readiness(fleet)
        for caller in running:
            await caller.close()
    assert refused.status == 503
    assert "retry-after" in refused.headers
    assert (before, while_full, after) == (200, 200, 503)


@pytest.mark.parametrize("requests", [0, 1])
async def test_operator_limits_the_idle_time(requests: int) -> None:
    """A connection that sends nothing was held for 75 s, whatever the operator said."""
    async with running_fleet() as fleet:
        value = configuration(version=2)
        value["limits"]["idleTimeoutMs"] = 1500
        fleet.store.put("op", "config", value)
        gateway = fleet.gateways[0]
        await wait_until(lambda: gateway.view.table and gateway.view.table.version == 2)
        stream = await trio.open_tcp_stream(
            gateway.settings.callers.host, gateway.settings.callers.port
        )
        async with stream:
            if requests:
                caller = fleet.caller()
                caller.stream = stream
                assert (await caller.request("/safe/a")).status == 200
            with trio.fail_after(20):
                assert await stream.receive_some() == b""
