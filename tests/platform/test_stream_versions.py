"""Engines of several software versions; a stream stays at the one that began it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import Fleet, configuration, route, wait_until
from tests.platform.stream_client import (
    LAST_EVENT,
    SENDS_MAX,
    SLOTS,
    StreamClient,
    add_version,
    new_id,
    running_versions,
    serve_version,
    wait_until_known,
)

STREAMS = 12
TWO_EACH = ("v1", "v1", "v2", "v2")
AT_ONCE_S = 0.3  # for a refusal
BUSY_PAUSE_S = 0.5  # a busy instance refuses what it can't admit
KEYS = {"parish": "key-1", "abbey": "key-2"}


def key(organisation: str) -> dict[str, str]:
    return {"Authorization": f"Token {KEYS[organisation]}"}


def engines_reached(fleet: Fleet) -> int:
    """Return how many take-ups engines have received."""
    return sum(
        "last-event-id" in arrival.headers
        for engine in fleet.engines.values()
        for arrival in engine.arrivals
    )


async def for_each(
    clients: list[StreamClient], act: Callable[[StreamClient], Awaitable[object]]
) -> None:
    """Have all clients act beside each other."""

    async def run(client: StreamClient) -> None:
        await act(client)

    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(run, client)


async def take_up_each(
    clients: list[StreamClient], gateway: Gateway, fields: dict[str, str]
) -> None:
    """Take all streams up with one client attempt each."""
    await for_each(clients, lambda client: client.take_up(gateway, **fields))


async def begin_streams(fleet: Fleet, gateway: Gateway) -> list[StreamClient]:
    """Begin streams whose clients lose the connection after two events.

    They are returned by version, as the order of beginning is that of the engines,
    which an equal order of take-ups could repeat.
    """
    clients = [StreamClient(fleet) for _ in range(STREAMS)]
    waiting = clients
    for _ in range(SENDS_MAX):
        await for_each(waiting, lambda client: client.begin(gateway))
        waiting = [client for client in waiting if not client.events]
        if not waiting:
            break
        await trio.sleep(BUSY_PAUSE_S)
    assert all(len(client.events) == 2 for client in clients)
    return sorted(clients, key=lambda client: client.events)


async def begin_at(fleet: Fleet, gateway: Gateway, version: str) -> StreamClient:
    """Begin streams until one is at a version."""
    for _ in range(50):
        client = StreamClient(fleet)
        await client.begin(gateway)
        if client.versions == {version}:
            return client
    raise AssertionError(f"no stream began at {version}")


async def leave(fleet: Fleet, *names: str) -> None:
    """Have engines leave; they go on serving what they have."""
    for name in names:
        fleet.store.remove("servers", name)
    await wait_until_known(fleet)


async def restart_all(fleet: Fleet) -> None:
    """Kill all instances at the same moment and start them anew."""
    killed = list(fleet.gateways)
    for gateway in killed:
        fleet.kill_gateway(gateway)
    for gateway in killed:
        await fleet.start_again(gateway)
    await wait_until_known(fleet)


@attrs.frozen
class Case:
    """Where streams are taken up again, and how long after they broke off."""

    gateway: int = 0  # of those that run then
    pause_s: float = 0.0
    kills_all: bool = False

    async def run(self, fleet: Fleet) -> list[StreamClient]:
        """Begin streams, break them off and take them up again."""
        clients = await begin_streams(fleet, fleet.gateways[0])
        await trio.sleep(self.pause_s)
        if self.kills_all:
            await restart_all(fleet)
        gateway = fleet.gateways[self.gateway]
        await for_each(clients, lambda c: c.take_up_until_answered(gateway))
        return clients


CASES = {
    "same-instance": Case(),
    "other-instance-at-once": Case(gateway=1),
    "other-instance-later": Case(gateway=1, pause_s=0.3),
    "all-killed-at-once": Case(kills_all=True),
    "all-killed-later": Case(kills_all=True, pause_s=0.5),
    "all-killed-then-other-instance": Case(gateway=1, kills_all=True, pause_s=0.5),
}


class TestTakeUps:
    @pytest.mark.parametrize("case", CASES.values(), ids=CASES)
    async def test_stream_taken_up_holds_no_second_version(self, case: Case) -> None:
        """``Resumes`` was not read, nor an engine's version."""
        async with running_versions(*TWO_EACH) as fleet:
            clients = await case.run(fleet)
            assert [c.events for c in clients if len(c.versions) > 1] == []

    @pytest.mark.parametrize("case", CASES.values(), ids=CASES)
    async def test_half_of_the_take_ups_go_on(self, case: Case) -> None:
        """All new streams begin here, so that half of them is what LOST allows."""
        async with running_versions(*TWO_EACH) as fleet:
            clients = await case.run(fleet)
            assert sum(client.is_complete for client in clients) >= STREAMS / 2

    async def test_engine_of_the_version_started_anew_at_another(self) -> None:
        """The engine's id stays; its version is that of its present start."""
        async with running_versions("v1", "v1") as fleet:
            clients = await begin_streams(fleet, fleet.gateways[0])
            engine = fleet.engines["e-0"]
            engine.crash()
            await fleet.nursery.start(engine.run)
            serve_version(engine, "v2")
            entry = engine.entry("app", version="v2", slots=SLOTS)
            fleet.store.put("servers", "e-0", entry)
            born = engine.starts
            for gateway in fleet.gateways:
                await wait_until(
                    lambda g=gateway: g.view.state("e-0").server.started == born
                )
            gateway = fleet.gateways[1]
            await for_each(clients, lambda c: c.take_up_until_answered(gateway))
            assert [c.events for c in clients if len(c.versions) > 1] == []
            assert sum(client.is_complete for client in clients) >= STREAMS / 2


async def test_stream_that_breaks_off_holds_one_version_in_its_answer() -> None:
    """The attempt after an engine's break went to any engine of the service."""
    async with running_versions(*TWO_EACH) as fleet:
        for name, engine in fleet.engines.items():
            serve_version(engine, "v1" if name < "e-2" else "v2", cut_after=2)
        clients = [StreamClient(fleet) for _ in range(STREAMS)]
        for client in clients:
            await client.begin(fleet.gateways[0], until=LAST_EVENT + 1)
        assert [c.events for c in clients if len(c.versions) > 1] == []
        assert sum(client.is_complete for client in clients) >= STREAMS / 2


class TestNoEngineOfTheVersion:
    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_take_up_is_refused_at_once_and_not_run(self, gateway: int) -> None:
        """It was answered 200 by an engine of the other version."""
        async with running_versions(*TWO_EACH) as fleet:
            client = await begin_at(fleet, fleet.gateways[0], "v1")
            await trio.sleep(0.3)
            await leave(fleet, "e-0", "e-1")
            started_s = trio.current_time()
            answer = await client.take_up(fleet.gateways[gateway])
            assert answer.status == 503
            assert trio.current_time() - started_s < AT_ONCE_S
            assert engines_reached(fleet) == 0

    async def test_broken_answer_ends_incomplete_at_once(self) -> None:
        async with running_versions("v1") as fleet:
            serve_version(fleet.engines["e-0"], "v1", gap_s=0.18)
            client = StreamClient(fleet)
            fleet.nursery.start_soon(client.begin, fleet.gateways[0], LAST_EVENT + 1)
            await wait_until(lambda: fleet.arrivals == 1)
            await add_version(fleet, "e-1", "v2")
            await leave(fleet, "e-0")
            assert not client.statuses
            fleet.engines["e-0"].crash()
            await wait_until(lambda: bool(client.statuses), AT_ONCE_S)
            assert client.versions == {"v1"}
            assert not client.is_complete


class TestOneVersion:
    @pytest.mark.parametrize("gateway", [0, 1])
    @pytest.mark.parametrize("kills_all", [False, True], ids=["runs-on", "killed"])
    @pytest.mark.parametrize("resumes", ["own", "unknown", "missing"])
    async def test_every_take_up_goes_on(
        self, resumes: str, kills_all: bool, gateway: int
    ) -> None:
        """There is nothing to confuse, so that no id has to be known."""
        async with running_versions("v1", "v1") as fleet:
            clients = await begin_streams(fleet, fleet.gateways[0])
            if kills_all:
                await restart_all(fleet)
            replaced = {"own": {}, "unknown": {"Resumes": new_id()}}
            fields = replaced.get(resumes, {"Resumes": ""})
            target = fleet.gateways[gateway]
            await for_each(clients, lambda c: c.take_up(target, **fields))
            assert all(client.is_complete for client in clients)

    async def test_streams_cost_no_call_to_the_store(self) -> None:
        """At most a row a service, however many streams begin."""
        async with running_versions("v1", "v1") as fleet:
            gateway = fleet.gateways[1]
            for _ in range(4):
                clients = await begin_streams(fleet, fleet.gateways[0])
                await for_each(clients, lambda c: c.take_up(gateway))
            written = [row for row in fleet.store.written if row[0] != "routers"]
            assert len(written) <= 1


@asynccontextmanager
async def two_organisations() -> AsyncIterator[Fleet]:
    """Run two versions; routes under ``/stream/`` and ``/safe/`` need a key."""
    async with running_versions(*TWO_EACH) as fleet:
        stream = route("stream", "streaming", "app", resumable=True, gapAimMs=100)
        tenants = [
            {"name": name, "apiKeys": [value], "priority": 1}
            for name, value in KEYS.items()
        ]
        value = configuration(
            2,
            routes=[{**stream, "public": False}, route("safe", "idempotent", "app")],
            tenants=tenants,
        )
        fleet.store.put("op", "config", value)
        for gateway in fleet.gateways:
            await wait_until(lambda g=gateway: g.view.table.version == 2)
        yield fleet


class TestOtherIds:
    """Streams taken up under ids that are not their own, while two versions serve."""

    @pytest.mark.parametrize("gateway", [0, 1])
    @pytest.mark.parametrize(
        "resumes",
        ["", "0123456789abcdef", "spoiled", "é", "a b,c", "f" * 300, "0" * 17],
        ids=["missing", "unknown", "spoiled", "bytes", "list", "long", "17-digits"],
    )
    async def test_version_under_no_known_id_is_not_guessed(
        self, resumes: str, gateway: int
    ) -> None:
        """No text of an id is an error, either."""
        async with running_versions(*TWO_EACH) as fleet:
            clients = await begin_streams(fleet, fleet.gateways[0])
            target = fleet.gateways[gateway]
            await for_each(clients, lambda c: c.take_up(target, Resumes=resumes))
            assert [c.events for c in clients if len(c.versions) > 1] == []
            assert {client.statuses[-1] for client in clients} <= {200, 503}

    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_id_of_another_organisation_is_as_unknown(self, gateway: int) -> None:
        """It would show whether and at which version another's stream runs."""
        async with two_organisations() as fleet:
            victim = StreamClient(fleet)
            await victim.send(fleet.gateways[0], key("parish"), until=2)
            assert len(victim.events) == 2
            await trio.sleep(0.3)
            target = fleet.gateways[gateway]
            statuses = []
            for resumes in (victim.began_as, new_id()):
                clients = [StreamClient(fleet) for _ in range(STREAMS)]
                for client in clients:
                    client.events = list(victim.events)
                fields = {"Resumes": resumes, **key("abbey")}
                await take_up_each(clients, target, fields)
                assert [c.events for c in clients if len(c.versions) > 1] == []
                statuses.append([client.statuses for client in clients])
            assert statuses[0] == statuses[1]
            await victim.take_up_until_answered(target, **key("parish"))
            assert victim.is_complete
            assert len(victim.versions) == 1

    @pytest.mark.parametrize("resumes", ["own", "unknown", "spoiled"])
    async def test_stream_of_which_nothing_was_read_begins_anew(
        self, resumes: str
    ) -> None:
        async with running_versions(*TWO_EACH) as fleet:
            gateway = fleet.gateways[0]
            for client in await begin_streams(fleet, gateway):
                ids = {"own": client.began_as, "unknown": new_id(), "spoiled": "é,"}
                anew = StreamClient(fleet)
                await anew.send(gateway, {"Resumes": ids[resumes]})
                assert anew.is_complete
                assert len(anew.events) == LAST_EVENT
                assert len(anew.versions) == 1

    async def test_plain_request_has_nothing_to_take_up(self) -> None:
        async with running_versions(*TWO_EACH) as fleet:
            headers = {"Resumes": new_id(), "Last-Event-Id": "2"}
            for gateway in fleet.gateways:
                answer = await fleet.caller(gateway).request("/safe/a", headers=headers)
                assert answer.status == 200


class TestReleases:
    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_three_versions_stay_apart(self, gateway: int) -> None:
        async with running_versions("v1", "v1", "v2", "v2", "v3", "v3") as fleet:
            clients = await begin_streams(fleet, fleet.gateways[0])
            await trio.sleep(0.3)
            target = fleet.gateways[gateway]
            await for_each(clients, lambda c: c.take_up_until_answered(target))
            assert [c.events for c in clients if len(c.versions) > 1] == []
            assert sum(client.is_complete for client in clients) >= STREAMS / 2

    @pytest.mark.parametrize("kills_all", [False, True], ids=["runs-on", "killed"])
    async def test_release_that_is_turned_back(self, kills_all: bool) -> None:
        """The version that began a stream leaves and comes back at other engines."""
        async with running_versions("v1", "v1") as fleet:
            gateway = fleet.gateways[0]
            old = await begin_at(fleet, gateway, "v1")
            await add_version(fleet, "e-2", "v2")
            await add_version(fleet, "e-3", "v2")
            await wait_until_known(fleet)
            new = await begin_at(fleet, gateway, "v2")
            await trio.sleep(0.5)
            await leave(fleet, "e-0", "e-1")
            if kills_all:
                await restart_all(fleet)
            assert (await old.take_up(fleet.gateways[1])).status == 503
            await add_version(fleet, "e-4", "v1")
            await add_version(fleet, "e-5", "v1")
            await leave(fleet, "e-2", "e-3")
            assert (await new.take_up(fleet.gateways[1])).status == 503
            await old.take_up_until_answered(fleet.gateways[1])
            assert old.versions == {"v1"}
            assert kills_all or old.is_complete
