"""Streams taken up again on routes that lead elsewhere than where they began."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager

import pytest
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import Fleet, configuration, route, wait_until
from tests.platform.stream_client import (
    LAST_EVENT,
    SLOTS,
    StreamClient,
    new_id,
    running_versions,
    serve_version,
)

AT_ONCE_S = 0.3  # for a refusal
NAMES = ("app", "other")


def services() -> list[dict[str, object]]:
    return [{"name": name, "healthPath": "/health"} for name in NAMES]


def streaming(name: str, service: str, **fields: object) -> dict[str, object]:
    return route(name, "streaming", service, resumable=True, gapAimMs=100, **fields)


async def configure(fleet: Fleet, version: int, *routes: dict[str, object]) -> None:
    """Put a configuration in force at all instances."""
    value = configuration(version, routes=list(routes), services=services())
    fleet.store.put("op", "config", value)
    for gateway in fleet.gateways:
        await wait_until(lambda g=gateway: g.view.table.version == version)


@asynccontextmanager
async def two_services(
    other: Sequence[str], *routes: dict[str, object]
) -> AsyncIterator[Fleet]:
    """Run two instances, two engines of ``app`` at v1, and engines of ``other``."""
    async with running_versions("v1", "v1") as fleet:
        await configure(fleet, 2, *(routes or (streaming("stream", "app"),)))
        for i, version in enumerate(other):
            engine = await fleet.add_engine(f"o-{i}")
            serve_version(engine, version)
            entry = engine.entry("other", version=version, slots=SLOTS)
            fleet.store.put("servers", f"o-{i}", entry)
        for gateway in fleet.gateways:
            await wait_until(lambda g=gateway: len(known(g)) == 2 + len(other))
        await trio.sleep(1.0)  # until a new version may serve
        yield fleet


def known(gateway: Gateway) -> set[str]:
    return {state.server.id for state in gateway.view.all_states()}


def runs(fleet: Fleet) -> Mapping[str, int]:
    """Return how many take-ups the engines of each service have received."""
    found = dict.fromkeys(NAMES, 0)
    for name, engine in fleet.engines.items():
        taken = ["last-event-id" in arrival.headers for arrival in engine.arrivals]
        found["other" if name.startswith("o-") else "app"] += sum(taken)
    return found


async def begin(fleet: Fleet, target: str = "/stream/a") -> StreamClient:
    client = StreamClient(fleet, target=target)
    await client.begin(fleet.gateways[0])
    assert len(client.events) == 2
    return client


@pytest.mark.parametrize("gateway", [0, 1])
@pytest.mark.parametrize("resumes", ["own", "unknown"])
class TestMovedRoute:
    async def test_stream_was_resumed_at_the_service_that_its_route_had_left(
        self, resumes: str, gateway: int
    ) -> None:
        async with two_services(["v1", "v1"]) as fleet:
            client = await begin(fleet)
            await configure(fleet, 3, streaming("stream", "other"))
            fields = {"Resumes": new_id()} if resumes == "unknown" else {}
            await client.take_up(fleet.gateways[gateway], **fields)
            assert runs(fleet) == {"app": 0, "other": 1}
            assert client.is_complete

    async def test_service_of_another_version_refuses_at_once(
        self, resumes: str, gateway: int
    ) -> None:
        """It can't go on with the stream, and the request has not run."""
        async with two_services(["v2", "v2"]) as fleet:
            client = await begin(fleet)
            await configure(fleet, 3, streaming("stream", "other"))
            await trio.sleep(0.5)
            fields = {"Resumes": new_id()} if resumes == "unknown" else {}
            started_s = trio.current_time()
            answer = await client.take_up(fleet.gateways[gateway], **fields)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0.0
            wait_s = AT_ONCE_S if resumes == "own" else 2 * AT_ONCE_S
            assert trio.current_time() - started_s < wait_s
            assert runs(fleet) == {"app": 0, "other": 0}


@pytest.mark.parametrize("gateway", [0, 1])
async def test_stream_of_another_route_was_resumed_at_that_ones_service(
    gateway: int,
) -> None:
    """The request's own route leads to ``other`` alone."""
    routes = streaming("stream-qa", "app"), streaming("stream-qb", "other")
    async with two_services(["v1", "v1"], *routes) as fleet:
        client = await begin(fleet, "/stream-qa/a")
        client.target = "/stream-qb/a"
        await client.take_up(fleet.gateways[gateway])
        assert runs(fleet) == {"app": 0, "other": 1}


@pytest.mark.parametrize("gateway", [0, 1])
@pytest.mark.parametrize("version", ["v1", "v2"])
async def test_stream_of_a_split_route_goes_on_at_its_version(
    version: str, gateway: int
) -> None:
    """An instance that didn't know it took the version of the service drawn."""
    split = [{"service": name, "weight": 1} for name in NAMES]
    async with two_services([version] * 2) as fleet:
        await configure(fleet, 3, streaming("stream", "app", trafficSplit=split))
        await trio.sleep(0.5)
        clients = [await begin(fleet) for _ in range(6)]
        await trio.sleep(0.3)
        for client in clients:
            await client.take_up(fleet.gateways[gateway])
        assert all(len(client.versions) == 1 for client in clients)
        assert all(len(client.events) == LAST_EVENT for client in clients)
