from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256

import attrs
import pytest
import trio
from trio.testing import MockClock

from teaseldyke.configuration import (
    ApplySheet,
    ConfigurationReader,
    ConfigurationStore,
    Head,
    SetSwitch,
    Sheet,
)
from teaseldyke.configuration.difference import difference
from teaseldyke.configuration.documents import Document, encode_document
from teaseldyke.configuration.encoding import encode_sheet
from teaseldyke.configuration.messages import (
    ConfigurationDocument,
    ConfigurationRequest,
)
from teaseldyke.peers import MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.types import Organisation

SHEET = Sheet({"parish": Organisation("parish", 1.0)}, failure_domains=("zone-a",))
OUT = SetSwitch("failure-domain", "zone-a", True)


@attrs.define
class Fleet:
    """Readers of several routers that share one in-memory store and network."""

    nursery: trio.Nursery
    network: MemoryNetwork
    table: MemoryTableService = attrs.field(factory=MemoryTableService)
    objects: MemoryObjectStore = attrs.field(factory=MemoryObjectStore)
    readers: dict[str, ConfigurationReader] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    names: tuple[str, ...] = ()

    def start(self, name: str) -> ConfigurationReader:
        store = ConfigurationStore(self.table, self.objects)
        links = self.network.join(name)
        reader = ConfigurationReader(
            store, links, lambda: set(self.names) - {name}, seed=len(self.readers)
        )
        self.readers[name] = reader
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, reader, self.scopes[name])
        return reader

    def stop(self, name: str) -> None:
        self.scopes[name].cancel()
        self.network.kill(name)

    async def _run(self, reader: ConfigurationReader, scope: trio.CancelScope) -> None:
        with scope:
            await reader.run()

    async def accept(self, change: ApplySheet | SetSwitch, at: str) -> int:
        reader = self.readers[at]
        change_id = f"{at}-{reader.snapshot.version}"
        accepted = await reader.store.change(change, change_id, "morning")
        assert accepted.snapshot is not None
        await reader.apply_if_newer(accepted.snapshot, "operator")
        return accepted.record.version

    def versions(self, names: Iterable[str] | None = None) -> set[int]:
        return {self.readers[name].snapshot.version for name in names or self.readers}


@pytest.fixture
async def fleet(nursery: trio.Nursery, autojump_clock: MockClock) -> Fleet:
    network = MemoryNetwork(nursery, delay_s=0.0015)
    fleet = Fleet(nursery, network, names=tuple("abcdefg"))
    for name in fleet.names:
        fleet.start(name)
    await trio.sleep(0.1)
    await fleet.accept(ApplySheet(SHEET, 0), "a")
    await trio.sleep(3)
    return fleet


@pytest.mark.promise("configuration")
class TestInForce:
    async def test_an_accepted_change_reaches_every_router_by_push(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        reads = fleet.table.counts.reads
        version = await fleet.accept(OUT, "c")
        fleet.table.faults.down = True
        await trio.sleep(0.1)
        assert fleet.versions() == {version}
        assert fleet.table.counts.reads - reads < 20

    async def test_a_change_propagates_after_the_accepting_router_dies(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        version = await fleet.accept(OUT, "c")
        fleet.table.faults.down = True
        fleet.stop("c")
        await trio.sleep(0.1)
        assert fleet.versions(set(fleet.names) - {"c"}) == {version}

    async def test_a_partitioned_router_catches_up(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        for name in "abcdef":
            fleet.network.cut(name, "g")
        fleet.table.faults.down = True
        fleet.table.faults.down = False
        await fleet.accept(OUT, "a")
        fleet.table.faults.down = True
        await trio.sleep(5)
        assert fleet.versions("g") == {1}
        fleet.network.heal()
        await trio.sleep(5)
        assert fleet.versions() == {2}

    async def test_polling_alone_is_enough(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        fleet.network.loss = 1.0
        await fleet.accept(OUT, "a")
        await trio.sleep(2)
        assert fleet.versions() == {2}

    async def test_polling_stays_within_the_fleet_budget(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        fleet.names = tuple(f"r{i}" for i in range(1200))
        await trio.sleep(20)
        reads = fleet.table.counts.reads
        await trio.sleep(60)
        reads_per_s = (fleet.table.counts.reads - reads) / 60
        assert reads_per_s * 1200 / 7 < 250


@pytest.mark.promise("configuration")
class TestMonotonicVersions:
    async def test_an_older_snapshot_is_refused(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        reader = fleet.readers["b"]
        old = reader.snapshot
        await fleet.accept(OUT, "a")
        await trio.sleep(1)
        assert not await reader.apply_if_newer(old, "peer")
        assert reader.snapshot.version == 2

    async def test_subscribers_see_versions_grow(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        seen: list[int] = []
        fleet.readers["d"].subscribe(lambda found: seen.append(found.version))
        for out in (True, False, True):
            await fleet.accept(SetSwitch("failure-domain", "zone-a", out), "a")
            await trio.sleep(0.5)
        assert seen == [2, 3, 4]


@pytest.mark.promise("configuration")
async def test_a_difference_that_yields_a_wrong_hash_is_rejected(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    reader = fleet.readers["b"]
    old = reader.snapshot
    meant = Sheet({"parish": Organisation("parish", 2.0)}, failure_domains=("zone-a",))
    wrong = Sheet({"parish": Organisation("parish", 3.0)}, failure_domains=("zone-a",))
    sha = encode_sheet(meant).sha256
    document = Document(
        Head(2, 2, sha, 0),
        old.switches,
        base_sha256=old.head.sheet_sha256,
        difference=difference(old.sheet, wrong),
    )
    links = fleet.network.links["b"]
    message = ConfigurationDocument(2, encode_document(document))
    await links.receive("a", message)
    await trio.sleep(0.1)
    assert reader.snapshot == old
    assert reader.counters.documents_broken == 1


@pytest.mark.promise("configuration")
class TestEmptyStart:
    async def test_the_store_makes_a_router_ready(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        fleet.stop("g")
        reader = fleet.start("g")
        await trio.sleep(0.1)
        assert (reader.ready, reader.source, reader.snapshot.version) == (
            True,
            "store",
            1,
        )

    async def test_a_majority_of_peers_makes_it_ready_while_the_store_is_down(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        fleet.table.faults.down = True
        fleet.stop("g")
        reader = fleet.start("g")
        await trio.sleep(1)
        assert (reader.ready, reader.source) == (True, "peers")
        assert reader.snapshot.version == 1

    async def test_a_minority_of_peers_does_not_make_it_ready(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        fleet.table.faults.down = True
        fleet.stop("g")
        for name in "abc":
            fleet.network.cut(name, "g")
        reader = fleet.start("g")
        await trio.sleep(10)
        assert reader.snapshot.version == 1
        assert not reader.ready

    async def test_an_archived_snapshot_alone_does_not_make_it_ready(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        await fleet.readers["a"].archive.save(fleet.readers["a"].snapshot)
        fleet.table.faults.down = True
        for name in fleet.names:
            fleet.stop(name)
            fleet.start(name)
        await trio.sleep(10)
        assert fleet.versions() == {1}
        assert not any(reader.ready for reader in fleet.readers.values())
        fleet.table.faults.down = False
        await trio.sleep(3)
        assert all(reader.ready for reader in fleet.readers.values())

    async def test_a_newer_peer_version_replaces_the_archived_one(
        self, fleet: Fleet, autojump_clock: MockClock
    ) -> None:
        await fleet.readers["a"].archive.save(fleet.readers["a"].snapshot)
        await fleet.accept(OUT, "a")
        await trio.sleep(1)
        fleet.table.faults.down = True
        fleet.stop("g")
        reader = fleet.start("g")
        seen: list[int] = []
        reader.subscribe(lambda found: seen.append(found.version))
        await trio.sleep(3)
        assert reader.ready
        assert reader.snapshot.version == 2


async def test_message_handler_does_not_wait_for_a_large_sheet(
    nursery: trio.Nursery,
) -> None:
    """Uses the real clock, since the sheet is encoded in a worker thread."""
    fleet = Fleet(nursery, MemoryNetwork(nursery), names=("a", "b"))
    reader = fleet.start("a")
    organisations = {f"org-{i}": Organisation(f"org-{i}", 1.0) for i in range(5000)}
    await fleet.accept(ApplySheet(Sheet(organisations), 0), "a")
    before = reader.counters.documents_sent
    links = fleet.network.links["a"]
    await links.receive("b", ConfigurationRequest(0))
    assert reader.counters.documents_sent == before
    with trio.fail_after(5):
        while reader.counters.documents_sent == before:
            await trio.sleep(0.01)


@pytest.mark.promise("configuration")
async def test_a_large_sheet_is_fetched_from_a_peer_when_the_platform_is_down(
    nursery: trio.Nursery,
) -> None:
    """Uses the real clock, since the sheet is decoded in worker threads."""
    fleet = Fleet(nursery, MemoryNetwork(nursery), names=("a", "b", "c"))
    for router in fleet.names:
        fleet.start(router)
    names = [f"org-{i}" for i in range(3000)]
    organisations = {
        name: Organisation(name, 1.0, (sha256(name.encode()).hexdigest(),))
        for name in names
    }
    reader = fleet.readers["a"]
    change = ApplySheet(Sheet(organisations), 0)
    accepted = await reader.store.change(change, "large", "morning")
    assert accepted.snapshot is not None
    fleet.table.faults.down = True
    fleet.objects.faults.down = True
    await reader.apply_if_newer(accepted.snapshot, "operator")
    with trio.fail_after(10):
        while fleet.versions() != {1}:
            await trio.sleep(0.01)
    assert fleet.readers["c"].snapshot.sheet == change.sheet
