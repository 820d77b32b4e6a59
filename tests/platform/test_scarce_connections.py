"""An instance whose connections are held by callers that it may not cut off."""

from __future__ import annotations

import pytest
import trio

from tests.platform.conftest import configuration, running_fleet, wait_until


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
