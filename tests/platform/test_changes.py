"""Changes of the store, the servers and the instance while requests run."""

from __future__ import annotations

import pytest
import trio

from teaseldyke.timers import boot_time_s
from tests.platform.conftest import (
    Fleet,
    configuration,
    route,
    script_all,
    wait_until,
)
from tests.platform.standins import (
    event,
    stream_of,
)

KEY = {"Authorization": "Token key-1"}


class TestStore:
    async def test_newer_configuration_is_applied(self, fleet: Fleet) -> None:
        value = configuration(2)
        value["routes"].append(route("late", "idempotent", "app"))
        fleet.store.put("op", "config", value)
        await wait_until(lambda: fleet.gateways[0].view.table.version == 2, 1.0)
        assert (await fleet.caller().request("/late/a")).status == 200

    async def test_older_configuration_is_ignored(self, fleet: Fleet) -> None:
        fleet.store.put("op", "config", configuration(5))
        await wait_until(lambda: fleet.gateways[0].view.table.version == 5)
        fleet.store.put("op", "config", configuration(4))
        await trio.sleep(0.1)
        assert fleet.gateways[0].view.table.version == 5

    async def test_compacted_history_triggers_a_full_read(self, fleet: Fleet) -> None:
        fleet.store.put("op", "config", configuration(7))
        fleet.store.compact()
        await wait_until(lambda: fleet.gateways[0].view.table.version == 7)

    @pytest.mark.parametrize("failure", ["status", "silent"])
    async def test_instance_refused_by_the_store_is_updated_by_its_peer(
        self, fleet: Fleet, failure: str
    ) -> None:
        """The store serves one instance and does not serve the other."""
        from tests.platform.store_standin import StoreStandin

        other_store = StoreStandin()
        await fleet.nursery.start(other_store.run)
        first_store = fleet.store
        other_store.rows, other_store.version = (
            dict(first_store.rows),
            first_store.version,
        )
        fleet.store = other_store
        other = await fleet.add_gateway("g-2")
        await wait_until(lambda: other.is_ready)
        fleet.store = first_store
        other_store.status = 503 if failure == "status" else 200
        other_store.silent = failure == "silent"
        first = fleet.gateways[0]
        other.totals.add_peers([first.totals.own])
        await wait_until(lambda: first.totals.instances == 2)
        first_store.version = max(first_store.version, other_store.version) + 10
        first_store.put("op", "config", configuration(9))
        await wait_until(lambda: other.view.table.version == 9, 2.0)

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\xfe",
            b"[]",
            b"{}",
            {"service": "app", "address": "nowhere", "zone": "z", "slots": 1},
            {"service": 5, "address": "127.0.0.1:1", "state": "ready"},
        ],
        ids=["bytes", "list", "empty", "address", "type"],
    )
    async def test_unreadable_entries_are_ignored(
        self, fleet: Fleet, value: object
    ) -> None:
        fleet.store.put("servers", "odd", value)
        await fleet.add_engine("e-9")
        view = fleet.gateways[0].view
        await wait_until(lambda: view.state("e-9") is not None)
        assert view.state("odd") is None
        assert len(view.states_of("app")) == 3

    async def test_draining_engine_gets_no_requests(self, fleet: Fleet) -> None:
        engine = fleet.engines["e-0"]
        fleet.store.put("servers", "e-0", engine.entry("app", state="draining"))
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.states_of("app")) == 1)
        for i in range(4):
            await fleet.caller().request("/safe/a", request_id=f"r-{i}")
        assert not engine.arrivals

    async def test_evacuated_failure_domain_gets_no_requests(
        self, fleet: Fleet
    ) -> None:
        remote_engine = await fleet.add_engine("e-far", zone="zone-b")
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.states_of("app")) == 3)
        fleet.store.put("op", "evacuate/zone-b", {})
        await wait_until(lambda: len(view.states_of("app")) == 2)
        for i in range(6):
            await fleet.caller().request("/safe/a", request_id=f"r-{i}")
        assert not remote_engine.arrivals
        fleet.store.remove("op", "evacuate/zone-b")
        await wait_until(lambda: len(view.states_of("app")) == 3)

    async def test_requests_are_served_during_a_store_outage(
        self, fleet: Fleet
    ) -> None:
        fleet.store.status = 503
        fleet.store.compact()
        await wait_until(lambda: not fleet.gateways[0].view.store_available)
        assert (await fleet.caller().request("/safe/a")).status == 200

    async def test_servers_missing_after_a_store_outage_get_a_grace_period(
        self, fleet: Fleet
    ) -> None:
        view = fleet.gateways[0].view
        fleet.store.status = 503
        fleet.store.compact()
        await wait_until(lambda: not view.store_available)
        for name in list(fleet.engines):
            fleet.store.remove("servers", name)
        fleet.store.compact()
        fleet.store.status = 200
        await wait_until(lambda: view.store_available)
        await trio.sleep(0.3)
        assert len(view.states_of("app")) == 2
        fleet.store.put("servers", "e-0", fleet.engines["e-0"].entry("app"))
        await wait_until(
            lambda: [s.server.id for s in view.states_of("app")] == ["e-0"], 4.0
        )

    async def test_cold_engine_gets_a_limited_rate(self, fleet: Fleet) -> None:
        for name, engine in fleet.engines.items():
            fleet.store.put(
                "servers", name, engine.entry("app", born=2, coldRemainingMs=3000)
            )
        view = fleet.gateways[0].view
        known_at_s = boot_time_s()
        await wait_until(
            lambda: all(s.cold_until_s > known_at_s for s in view.states_of("app"))
        )
        before = fleet.arrivals
        async with trio.open_nursery() as nursery:
            for i in range(60):

                async def request(i: int = i) -> None:
                    await fleet.caller().request("/safe/a", request_id=f"r-{i}")

                nursery.start_soon(request)
            await trio.sleep(1.0)
            for engine in fleet.engines.values():
                assert len(engine.arrivals) <= 5.0 * 1.5 + 5.0
            assert fleet.arrivals > before
            nursery.cancel_scope.cancel()


class TestStop:
    async def test_stopping_instance_is_unready_and_still_serves(
        self, fleet: Fleet
    ) -> None:
        gateway = fleet.gateways[0]
        script_all(fleet, stream_of(1, 200))
        caller = fleet.caller()
        await caller.send("/stream/a")
        await wait_until(lambda: fleet.arrivals == 1)
        gateway.stopping.set()
        fleet.nursery.start_soon(gateway._drain)
        assert not gateway.is_ready
        other = await fleet.caller().request("/once/b", request_id="r-2")
        assert (other.status, other.headers["connection"]) == (200, "close")
        with trio.fail_after(5):
            answer = await caller.receive_answer()
        assert answer.complete
        assert answer.body.endswith(event(200))

    @pytest.mark.parametrize(("left_s", "status"), [(0.3, 503), (5.0, 200)])
    async def test_stopping_instance_refuses_requests_it_cannot_finish(
        self, fleet: Fleet, left_s: float, status: int
    ) -> None:
        """Requests that arrive before the process ends must get a final answer."""
        fleet.gateways[0].calls.ends_at_s = boot_time_s() + left_s
        answer = await fleet.caller().request("/once/a")
        assert answer.status == status
        assert fleet.arrivals == (status == 200)
