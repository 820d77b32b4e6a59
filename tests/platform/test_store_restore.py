"""The store comes back from a copy some seconds old."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from teaseldyke.adapter import StoreClient
from teaseldyke.adapter.store import EraRefused, StoreRestored
from teaseldyke.gateway import Gateway
from teaseldyke.http import Request, ServerLimits, serve
from teaseldyke.settings import Address
from teaseldyke.types import StoreVersion
from tests.platform.conftest import Fleet, configuration, route, wait_until
from tests.platform.store_standin import StoreStandin

KEY = {"Authorization": "Token key-1"}


def withdrawn(version: int) -> object:
    """Return a configuration in which the organisation's key is withdrawn."""
    return configuration(version, tenants=[{"name": "parish", "apiKeys": ["key-2"]}])


def usable(gateway: Gateway) -> set[str]:
    return {state.server.id for state in gateway.view.states_of("app")}


async def restore(fleet: Fleet, copy: object) -> None:
    """Restore the store and wait until the first instance has read both tables."""
    fleet.store.restore(copy)
    era = fleet.store.era
    directory = fleet.gateways[0].directory
    await wait_until(
        lambda: {table.synced_version.era for _, table in directory._copies()} == {era},
        2.0,
    )


class TestBeliefs:
    async def test_configuration_does_not_go_back(self, fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        copy = fleet.store.copy()
        fleet.store.put("op", "config", withdrawn(2))
        await wait_until(lambda: gateway.view.table.version == 2)
        await restore(fleet, copy)
        assert gateway.view.table.version == 2
        answer = await fleet.caller().request("/keyed/a", headers=KEY)
        assert answer.status == 401

    async def test_versions_given_out_again_are_news(self, fleet: Fleet) -> None:
        """The restored store writes under numbers that the instance has seen."""
        gateway = fleet.gateways[0]
        copy = fleet.store.copy()
        for i in range(6):
            fleet.store.put("op", f"other-{i}", {})
        last = fleet.store.version
        await wait_until(lambda: gateway.directory.versions.operator.number == last)
        await restore(fleet, copy)
        value = configuration(3)
        value["routes"].append(route("late", "idempotent", "app"))
        fleet.store.put("op", "config", value)
        await wait_until(lambda: gateway.view.table.version == 3, 1.0)
        assert (await fleet.caller().request("/late/a")).status == 200

    @pytest.mark.parametrize("is_removed", [False, True], ids=["draining", "removed"])
    async def test_engine_that_left_stays_out(
        self, fleet: Fleet, is_removed: bool
    ) -> None:
        gateway = fleet.gateways[0]
        engine = fleet.engines["e-0"]
        copy = fleet.store.copy()
        if is_removed:
            fleet.store.remove("servers", "e-0")
        else:
            entry = engine.entry("app", state="draining", sequence=2)
            fleet.store.put("servers", "e-0", entry)
        await wait_until(lambda: usable(gateway) == {"e-1"})
        await restore(fleet, copy)
        fleet.store.put("servers", "e-1", fleet.engines["e-1"].entry("app", slots=9))
        await wait_until(lambda: gateway.view.state("e-1").server.slots == 9)
        assert usable(gateway) == {"e-1"}
        fleet.store.put("servers", "e-0", engine.entry("app", sequence=3))
        await wait_until(lambda: usable(gateway) == {"e-0", "e-1"}, 1.0)

    async def test_engine_absent_in_the_copy_stays_in_use(self, fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        copy = fleet.store.copy()
        engine = await fleet.add_engine("e-new")
        await wait_until(lambda: "e-new" in usable(gateway))
        await restore(fleet, copy)
        await trio.sleep(0.5)
        assert "e-new" in usable(gateway)
        fleet.store.put("servers", "e-new", engine.entry("app", sequence=2))
        await trio.sleep(2.0)
        assert "e-new" in usable(gateway)

    async def test_engine_absent_for_good_is_taken_as_gone(self, fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        copy = fleet.store.copy()
        await fleet.add_engine("e-new")
        await wait_until(lambda: "e-new" in usable(gateway))
        await restore(fleet, copy)
        await wait_until(lambda: "e-new" not in usable(gateway), 2.5)

    async def test_evacuation_stays_until_the_operator_writes_again(
        self, fleet: Fleet
    ) -> None:
        gateway = fleet.gateways[0]
        await fleet.add_engine("e-far", zone="zone-b")
        await wait_until(lambda: len(usable(gateway)) == 3)
        copy = fleet.store.copy()
        fleet.store.put("op", "evacuate/zone-b", {})
        await wait_until(lambda: usable(gateway) == {"e-0", "e-1"})
        await restore(fleet, copy)
        assert usable(gateway) == {"e-0", "e-1"}
        fleet.store.put("op", "evacuate/zone-b", {})
        await wait_until(lambda: not gateway.view.kept_evacuated)
        assert usable(gateway) == {"e-0", "e-1"}
        fleet.store.remove("op", "evacuate/zone-b")
        await wait_until(lambda: len(usable(gateway)) == 3, 1.0)

    async def test_own_entry_is_written_again(self, fleet: Fleet) -> None:
        copy = fleet.store.copy()
        own = ("routers", "g-1")
        await wait_until(lambda: own in fleet.store.rows)
        assert own not in copy.rows or copy.rows.pop(own)
        await restore(fleet, copy)
        await wait_until(lambda: own in fleet.store.rows, 2.5)


class TestPeers:
    @asynccontextmanager
    async def _late_instance(self, fleet: Fleet) -> AsyncIterator[Gateway]:
        """Start an instance that knows only the restored copy."""
        late = await fleet.add_gateway("g-late")
        await wait_until(lambda: late.is_ready)
        first = fleet.gateways[0]
        late.totals.add_peers([first.totals.own])
        first.totals.add_peers([late.totals.own])
        yield late

    async def test_instance_started_after_the_restore_learns_the_configuration(
        self, fleet: Fleet
    ) -> None:
        """Otherwise it would accept a withdrawn key."""
        copy = fleet.store.copy()
        fleet.store.put("op", "config", withdrawn(2))
        await wait_until(lambda: fleet.gateways[0].view.table.version == 2)
        await restore(fleet, copy)
        async with self._late_instance(fleet) as late:
            await wait_until(lambda: late.view.table.version == 2, 3.0)
            answer = await fleet.caller(late).request("/keyed/a", headers=KEY)
            assert answer.status == 401

    async def test_instance_started_after_the_restore_learns_evacuations(
        self, fleet: Fleet
    ) -> None:
        await fleet.add_engine("e-far", zone="zone-b")
        await wait_until(lambda: len(usable(fleet.gateways[0])) == 3)
        copy = fleet.store.copy()
        fleet.store.put("op", "evacuate/zone-b", {})
        await wait_until(lambda: usable(fleet.gateways[0]) == {"e-0", "e-1"})
        await restore(fleet, copy)
        async with self._late_instance(fleet) as late:
            await wait_until(lambda: usable(late) == {"e-0", "e-1"}, 2.0)


class TestReading:
    async def test_no_loop_of_listings(self, fleet: Fleet) -> None:
        """Each feed after the restore asks for versions that the store lacks."""
        copy = fleet.store.copy()
        for i in range(6):
            fleet.store.put("op", f"other-{i}", {})
        await trio.sleep(0.1)
        fleet.store.calls.clear()
        await restore(fleet, copy)
        await trio.sleep(0.5)
        listings = [call for call in fleet.store.calls if "rows-get" in call]
        tables = ("table=op&", "table=servers&")
        assert [sum(t in call for call in listings) for t in tables] == [1, 1]

    async def test_feed_that_is_always_gone_is_not_listed_without_a_pause(
        self, fleet: Fleet
    ) -> None:
        fleet.store.oldest = 10**6
        fleet.store.compact()
        fleet.store.oldest = 10**6
        await trio.sleep(0.2)
        fleet.store.calls.clear()
        await trio.sleep(1.0)
        assert sum("table=op&" in call for call in fleet.store.calls) < 20

    async def test_quiet_table_is_read_again_when_the_other_shows_the_era(
        self, fleet: Fleet
    ) -> None:
        """Its long poll would have gone on for up to 10 s."""
        directory = fleet.gateways[0].directory
        fleet.store.era = 2  # ends no poll
        directory._client.note_era(2)
        await wait_until(lambda: directory._operator.synced_version.era == 2, 1.0)
        await wait_until(lambda: directory._servers.synced_version.era == 2, 1.0)

    @pytest.mark.parametrize(
        "era", ["", "two", "-1", "1.5", "9" * 40, "1, 2", None], ids=str
    )
    async def test_malformed_era_is_an_error_and_no_crash(
        self, fleet: Fleet, era: str | None
    ) -> None:
        fleet.store.era = era  # type: ignore[assignment]
        fleet.store.put("op", "config", configuration(2))
        await trio.sleep(0.5)
        assert fleet.gateways[0].view.table.version == 1
        assert (await fleet.caller().request("/safe/a")).status == 200
        fleet.store.era = 1
        await wait_until(lambda: fleet.gateways[0].view.table.version == 2, 2.0)


class EraServer:
    """Answers each call with the next of a list of eras."""

    def __init__(self, *eras: int) -> None:
        self.eras = list(eras)

    async def handle(self, request: Request) -> None:
        era = str(self.eras.pop(0)).encode()
        body = b'{"rows": [], "hasMore": false, "ver": 9, "nowMs": 1}'
        await request.respond(200, body, [(b"store-era", era)])


@asynccontextmanager
async def client_of(*eras: int) -> AsyncIterator[StoreClient]:
    async with trio.open_nursery() as nursery:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        nursery.start_soon(serve, listener, EraServer(*eras).handle, ServerLimits())
        yield StoreClient(Address("127.0.0.1", port))
        nursery.cancel_scope.cancel()


class TestClient:
    async def test_version_carries_the_era(self) -> None:
        async with client_of(3) as client:
            assert (await client.rows("op")).version == StoreVersion(3, 9)

    async def test_late_answer_of_an_earlier_era_is_discarded(self) -> None:
        async with client_of(3, 2) as client:
            await client.rows("op")
            with pytest.raises(EraRefused, match="older"):
                await client.rows("op")
            assert client.era == 3

    async def test_feed_that_a_restored_store_answers_is_no_change(self) -> None:
        """Its numbers are lower or given out again."""
        eras: list[int] = []
        async with client_of(3, 4) as client:
            client.on_new_era = eras.append
            page = await client.rows("op")
            with pytest.raises(StoreRestored):
                await client.changes("op", page.version, 0.0)
        assert eras == [4]

    async def test_store_without_eras_is_in_era_0(self) -> None:
        store = StoreStandin(era=None)
        async with trio.open_nursery() as nursery:
            await nursery.start(store.run)
            client = StoreClient(Address("127.0.0.1", store.port))
            assert (await client.rows("op")).version.era == 0
            nursery.cancel_scope.cancel()
