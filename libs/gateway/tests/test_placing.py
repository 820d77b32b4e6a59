"""Queue scans of an instance whose requests find no capacity."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs
import pytest
import trio

from teaseldyke.gateway import FleetBounds
from teaseldyke.gateway import placing as module
from teaseldyke.gateway.errors import Overloaded, VersionGone
from teaseldyke.gateway.placing import Placer
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import (
    Choice,
    CrashEvidence,
    FairShares,
    Load,
    Work,
    rendezvous_weight,
)
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    CallerBounds,
    RoutingTable,
    ServiceDescription,
)

QUEUED_REQUESTS = 40
CHOICE_S = 0.0005  # time to choose a server, at a slow instance
OBSERVED_S = 0.5


@attrs.define
class OneInstance:
    instances: int = 1
    totals_age_s: float = 0.0
    lag_s: float = 0.0

    def rank(self, key: str) -> int:
        return 0


async def test_queue_scans_leave_processor_time_for_serving(
    view: FleetView, table: RoutingTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    spent_s = 0.0

    def choose_slowly(*_args: object, **_fields: object) -> Choice:
        nonlocal spent_s
        time.sleep(CHOICE_S)
        spent_s += CHOICE_S
        return Choice(None, reason="servers full")

    monkeypatch.setattr(module, "choose_plain", choose_slowly)
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placer = Placer(view, FairShares(), OneInstance(), bounds, "a", CrashEvidence())
    now_s = boot_time_s()
    work = Work("o", now_s, now_s + 9.0, now_s + 9.0, now_s + 9.0)

    async def submit() -> None:
        await placer.place(table.services["app"], work, frozenset())

    async with trio.open_nursery() as nursery:
        for _ in range(QUEUED_REQUESTS):
            nursery.start_soon(submit)
        await trio.sleep(0.1)
        nursery.start_soon(placer.run)
        spent_s, started_at_s = 0.0, boot_time_s()
        while boot_time_s() - started_at_s < OBSERVED_S:
            placer.wake()
            await trio.sleep(0.001)
        elapsed_s = boot_time_s() - started_at_s
        nursery.cancel_scope.cancel()
    assert 0.0 < spent_s < 0.4 * elapsed_s


async def test_requests_for_a_full_engine_do_not_block_others(
    make_server: Callable[..., AnnouncedServer],
) -> None:
    """More requests than a scan may fail to place need one engine; the last another."""
    service = ServiceDescription("llm", 600, 3.0, 20.0, slots=12, memory_tokens=10**6)
    table = RoutingTable(1, (), (service,), (), CallerBounds(tokens_per_s=10**6))
    view = FleetView(lambda: None)
    view.set_store_available(True, "test")
    view.apply_routing(table)
    view.apply_servers(
        [make_server(name, service="llm", slots=12) for name in ("e-1", "e-2")]
    )
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placer = Placer(view, FairShares(), OneInstance(), bounds, "a", CrashEvidence())
    now_s = boot_time_s()

    def work(prefix_key: str, on_time_s: float) -> Work:
        parts = ((prefix_key, 5000), ("own", 100))
        on_time_until_s = now_s + on_time_s
        last_s = now_s + 9.0
        return Work("o", now_s, on_time_until_s, last_s, last_s, 5100, 10, parts)

    prefix_keys: dict[str, str] = {}
    for number in range(100):
        engine = affinity_engine(view, f"subject-{number}")
        prefix_keys.setdefault(engine, f"subject-{number}")
    full = view.state("e-1")
    assert full is not None
    full.peer_load = Load(running=12)
    placed: list[str] = []

    async def submit(prefix_key: str, on_time_s: float) -> None:
        reservation = await placer.place(
            service, work(prefix_key, on_time_s), frozenset()
        )
        placed.append(reservation.state.server.id)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(placer.run)
        for _ in range(QUEUED_REQUESTS):
            nursery.start_soon(submit, prefix_keys["e-1"], 1.0)
        await trio.sleep(0.05)
        nursery.start_soon(submit, prefix_keys["e-2"], 2.0)
        with trio.move_on_after(OBSERVED_S):
            while not placed:
                placer.wake()
                await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert placed == ["e-2"]


@attrs.define(eq=False)
class TwoVersions:
    """Full servers of two versions, and requests that wait for them."""

    view: FleetView
    service: ServiceDescription
    placer: Placer
    servers: list[AnnouncedServer]
    ends: dict[str, str] = attrs.field(factory=dict)

    async def submit(self, name: str, version: str) -> None:
        """Place a request; record its server, or the error that refuses it."""
        now_s = boot_time_s()
        last_s = now_s + 3.0
        work = Work("o", now_s, last_s, last_s, last_s, version=version)
        try:
            reservation = await self.placer.place(self.service, work, frozenset())
        except (Overloaded, VersionGone) as exc:
            retries = exc.executed == "no" and exc.retry_after_s is not None
            self.ends[name] = exc.code if retries else "without a retry"
            return
        self.ends[name] = reservation.state.server.id

    def fill(self, running: int) -> None:
        for state in self.view.all_states():
            state.peer_load = Load(running=running)

    def remove(self, server_id: str) -> None:
        kept = [server for server in self.servers if server.id != server_id]
        gone = [
            attrs.evolve(server, leaving=True)
            for server in self.servers
            if server.id == server_id
        ]
        self.view.apply_servers(kept + gone)


@pytest.fixture
def two_versions(
    view: FleetView,
    table: RoutingTable,
    make_server: Callable[..., AnnouncedServer],
) -> TwoVersions:
    servers = [make_server("e-1", version="v1"), make_server("e-2", version="v2")]
    view.apply_servers(servers)
    bounds = FleetBounds(0.2, 10.0, 10.0, 1.5, 5.0, 8.0)
    placer = Placer(view, FairShares(), OneInstance(), bounds, "a", CrashEvidence())
    return TwoVersions(view, table.services["app"], placer, servers)


class TestVersions:
    async def test_stream_is_placed_at_its_version_alone(
        self, two_versions: TwoVersions
    ) -> None:
        for i in range(6):
            await two_versions.submit(str(i), "v2")
        assert set(two_versions.ends.values()) == {"e-2"}

    async def test_stream_waits_for_a_full_server_of_its_version(
        self, two_versions: TwoVersions
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(two_versions.placer.run)
            two_versions.fill(99)
            nursery.start_soon(two_versions.submit, "bound", "v2")
            await trio.sleep(0.05)
            state = two_versions.view.state("e-1")
            assert state is not None
            state.peer_load = Load()
            two_versions.placer.wake()
            await trio.sleep(0.1)
            assert not two_versions.ends
            two_versions.fill(0)
            two_versions.placer.wake()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert two_versions.ends == {"bound": "e-2"}

    async def test_stream_without_a_server_of_its_version_is_refused_at_once(
        self, two_versions: TwoVersions
    ) -> None:
        with trio.fail_after(0.2):
            await two_versions.submit("gone", "v3")
        assert two_versions.ends == {"gone": "version_gone"}

    async def test_wait_ends_when_the_last_server_of_the_version_leaves(
        self, two_versions: TwoVersions
    ) -> None:
        """Others of the queue, and those bound to the other version, wait on."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(two_versions.placer.run)
            two_versions.fill(99)
            for version in ("", "v1", "v2"):
                nursery.start_soon(two_versions.submit, f"of-{version}", version)
            await trio.sleep(0.05)
            two_versions.remove("e-2")
            two_versions.placer.wake()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert two_versions.ends == {"of-v2": "version_gone"}

    @pytest.mark.parametrize(("pause_s", "end"), [(0.3, "e-2"), (5.0, "overloaded")])
    async def test_paused_server_of_the_version_is_waited_for(
        self, two_versions: TwoVersions, pause_s: float, end: str
    ) -> None:
        """The other version's server is free, and must not end the pause."""
        state = two_versions.view.state("e-2")
        assert state is not None
        state.record_pause(pause_s, boot_time_s())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(two_versions.placer.run)
            nursery.start_soon(two_versions.submit, "bound", "v2")
            with trio.move_on_after(2.0):
                while not two_versions.ends:
                    two_versions.placer.wake()
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert two_versions.ends == {"bound": end}


def affinity_engine(view: FleetView, prefix_key: str) -> str:
    """Return the engine to which all instances send requests of a shared prefix."""
    names = [state.server.id for state in view.states_of("llm")]
    return max(names, key=lambda name: rendezvous_weight(prefix_key, name))
