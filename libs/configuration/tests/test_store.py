from __future__ import annotations

from hashlib import sha256

import attrs
import pytest
import trio

from teaseldyke.configuration import (
    ApplySheet,
    BaseVersionUnknown,
    ChangeConflict,
    ChangeIdReused,
    ChangeOutcomeUnknown,
    ConfigurationStore,
    CreateOrganisation,
    NameUnknown,
    ReplaceKey,
    SetSwitch,
    Sheet,
)
from teaseldyke.configuration.archive import SnapshotArchive
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.types import Organisation, PlatformUnavailable

SHEET = Sheet(
    organisations={"parish": Organisation("parish", 1.0, ("a" * 64,))},
    failure_domains=("zone-a", "zone-b"),
)


def _sheet_with_share(share: float) -> Sheet:
    organisation = attrs.evolve(SHEET.organisations["parish"], share=share)
    return attrs.evolve(SHEET, organisations={"parish": organisation})


def _switch_out(name: str = "zone-a", base_version: int | None = None) -> SetSwitch:
    return SetSwitch("failure-domain", name, True, base_version)


@pytest.fixture
def table() -> MemoryTableService:
    return MemoryTableService()


@pytest.fixture
async def store(table: MemoryTableService) -> ConfigurationStore:
    store = ConfigurationStore(table, MemoryObjectStore())
    await store.change(ApplySheet(SHEET, 0), "first", "morning")
    return store


class TestAccepted:
    async def test_versions_grow_by_one_and_history_names_the_operator(
        self, store: ConfigurationStore
    ) -> None:
        await store.change(_switch_out(), "second", "evening")
        records = await store.history()
        assert [(r.version, r.operator) for r in records] == [
            (1, "morning"),
            (2, "evening"),
        ]
        assert records[1].summary == "failure-domain zone-a out"

    async def test_another_router_loads_what_was_accepted(
        self, store: ConfigurationStore
    ) -> None:
        await store.change(_switch_out(), "second", "morning")
        other = ConfigurationStore(store.table, store.objects)
        snapshot = await other.load()
        assert snapshot.sheet == SHEET
        assert snapshot.configuration.switches.failure_domains_out == {"zone-a"}

    async def test_a_sheet_based_on_an_older_version_does_not_undo_a_switch(
        self, store: ConfigurationStore
    ) -> None:
        await store.change(_switch_out(), "second", "morning")
        await store.change(ApplySheet(_sheet_with_share(2.0), 1), "third", "morning")
        snapshot = await store.load()
        assert snapshot.switches.failure_domains_out == {"zone-a"}
        assert snapshot.sheet == _sheet_with_share(2.0)

    async def test_a_repeated_id_changes_nothing(
        self, store: ConfigurationStore
    ) -> None:
        for base_version in (0, 1):
            again = ApplySheet(SHEET, base_version)
            accepted = await store.change(again, "first", "morning")
            assert accepted.record.version == 1
        assert (await store.head()).version == 1

    async def test_a_large_sheet_is_stored_in_the_object_store(
        self, store: ConfigurationStore
    ) -> None:
        names = [f"org-{i}" for i in range(2000)]
        organisations = {
            name: Organisation(name, 1.0, (sha256(name.encode()).hexdigest(),))
            for name in names
        }
        large = Sheet(organisations)
        await store.change(ApplySheet(large, 1), "second", "morning")
        assert len(await store.objects.names()) == 1
        other = ConfigurationStore(store.table, store.objects)
        assert (await other.load()).sheet == large

    async def test_an_unreadable_snapshot_falls_back_to_the_previous_one(
        self, store: ConfigurationStore
    ) -> None:
        archive = SnapshotArchive(store.objects)
        await archive.save(await store.load())
        await store.objects.put("configuration/snapshots/2", b"rubbish")
        newest = await archive.newest()
        assert newest is not None
        assert newest.version == 1


class TestRefused:
    async def test_a_conflict_names_the_change_that_won(
        self, store: ConfigurationStore
    ) -> None:
        await store.change(ApplySheet(_sheet_with_share(2.0), 1), "winner", "evening")
        with pytest.raises(ChangeConflict, match="'winner' by evening") as caught:
            await store.change(
                ApplySheet(_sheet_with_share(3.0), 1), "loser", "morning"
            )
        assert caught.value.winner is not None
        assert caught.value.winner.version == 2
        assert (await store.load()).sheet == _sheet_with_share(2.0)

    async def test_a_switch_conflicts_only_with_the_same_switch(
        self, store: ConfigurationStore
    ) -> None:
        await store.change(_switch_out("zone-a", 1), "second", "morning")
        await store.change(_switch_out("zone-b", 1), "third", "evening")
        back = SetSwitch("failure-domain", "zone-a", False, 1)
        with pytest.raises(ChangeConflict, match="'second'"):
            await store.change(back, "fourth", "evening")

    @pytest.mark.parametrize(
        ("change", "change_id", "error"),
        [
            (_switch_out(), "first", ChangeIdReused),
            (ApplySheet(SHEET, 9), "second", BaseVersionUnknown),
            (_switch_out("zone-z"), "second", NameUnknown),
            (ReplaceKey("nobody", "b" * 64), "second", NameUnknown),
        ],
        ids=["id-reused", "base-unknown", "domain-unknown", "organisation-unknown"],
    )
    async def test_an_invalid_change_is_rejected_and_changes_nothing(
        self,
        store: ConfigurationStore,
        change: ApplySheet | SetSwitch | ReplaceKey,
        change_id: str,
        error: type[Exception],
    ) -> None:
        with pytest.raises(error):
            await store.change(change, change_id, "morning")
        assert (await store.head()).version == 1

    async def test_a_key_hash_of_another_organisation_is_refused(
        self, store: ConfigurationStore
    ) -> None:
        thief = Organisation("thief", 1.0, ("a" * 64,))
        with pytest.raises(Exception, match="parish holds it too"):
            await store.change(CreateOrganisation(thief), "second", "morning")


class TestFaults:
    async def test_a_store_that_is_down_leaves_nothing_written(
        self, store: ConfigurationStore, table: MemoryTableService
    ) -> None:
        table.faults.down = True
        with pytest.raises(PlatformUnavailable):
            await store.change(_switch_out(), "second", "morning")
        table.faults.down = False
        assert (await store.head()).version == 1

    async def test_the_result_of_a_write_with_a_lost_reply_is_read_back(
        self, store: ConfigurationStore, table: MemoryTableService
    ) -> None:
        table.faults.lose_answers = 1.0
        accepted = await store.change(_switch_out(), "second", "morning")
        assert accepted.record.version == 2
        assert accepted.snapshot is not None
        assert (await store.head()).version == 2

    async def test_an_unconfirmed_write_is_reported_as_unknown(
        self,
        store: ConfigurationStore,
        table: MemoryTableService,
        autojump_clock: trio.testing.MockClock,
    ) -> None:
        table.faults.lose_answers = 1.0
        original = table.transact

        async def transact_then_down(writes: object) -> list[int]:
            try:
                return await original(writes)  # type: ignore[arg-type]
            finally:
                table.faults.down = True

        store.table = _TableWithTransact(table, transact_then_down)  # type: ignore[assignment]
        with pytest.raises(ChangeOutcomeUnknown, match="same id"):
            await store.change(_switch_out(), "second", "morning")
        table.faults.down = False
        store.table = table
        again = await store.change(_switch_out(), "second", "morning")
        assert again.record.version == 2


@attrs.define
class _TableWithTransact:
    inner: MemoryTableService
    transact: object

    async def get(self, table: str, key: str) -> object:
        return await self.inner.get(table, key)

    async def scan(self, *args: object) -> object:
        return await self.inner.scan(*args)  # type: ignore[arg-type]
