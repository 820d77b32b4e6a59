from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import pytest

from teaseldyke.http import HttpClient
from tests.processes.fleet import Fleet, FleetPlan
from tests.processes.traffic import mixed_traffic, run_traffic

StartFleet = Callable[..., Awaitable[Fleet]]
CHAT = "/services/language-model/v1/chat/completions"

pytestmark = pytest.mark.processes


@pytest.mark.promise("whole-answer")
@pytest.mark.promise("at-most-once")
async def test_requests_through_three_routers(start_fleet: StartFleet) -> None:
    fleet = await start_fleet(FleetPlan(engine={"tokens_per_s": 200}))
    entries = mixed_traffic(fleet, duration_s=3, rate_hz=40)
    report = await run_traffic(fleet, entries)
    assert not report.failed
    report.assert_no_harm()


async def test_refusals_name_their_error_code(start_fleet: StartFleet) -> None:
    fleet = await start_fleet(FleetPlan(routers=1, engines=1, services=1))
    address = fleet.routers[0].address
    client = HttpClient(5.0)
    good = {"Authorization": "Bearer key-parish"}
    body = b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": 1}'
    for target, headers, status, code in (
        (CHAT, {}, 401, "key_missing"),
        (CHAT, {"Authorization": "Bearer nobody"}, 401, "key_unknown"),
        ("/services/moon/x", good, 404, "service_unknown"),
        ("/elsewhere", good, 404, "service_unknown"),
        (CHAT, {**good, "Request-Timeout-S": "soon"}, 400, "header_invalid"),
    ):
        response = await client.request(
            "POST",
            address.host,
            address.port,
            target,
            headers=list(headers.items()),
            body=body,
        )
        problem = json.loads(response.body)
        assert (response.status, problem["code"]) == (status, code)
        assert problem["executed"] == "no"
        assert response.header("Content-Type") == "application/problem+json"
        assert response.header("Teaseldyke-Request-Id")
    for server in fleet.backend_servers:
        assert await fleet.call(server, "GET", "/standin/executions") == {}
