from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
import trio

from teaseldyke.adapter import StoreClient, StoreDirectory
from teaseldyke.adapter.copies import Changes, TableCopy
from teaseldyke.adapter.directory import FOLLOWER_TIMEOUT_S, RELAY_PAUSE_S
from teaseldyke.adapter.store import Page, StoredRow
from teaseldyke.gateway import FeedRole, KnownVersions
from teaseldyke.http import Response
from teaseldyke.settings import Address
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    NO_VERSION,
    AnnouncedServer,
    PlatformUnavailable,
    RolloutOrder,
    RoutingTable,
    StoreVersion,
)

OBSERVED_S = 2.0


class RecordingListener:
    """A listener that records the servers applied to it."""

    def __init__(self) -> None:
        self.servers: Sequence[AnnouncedServer] = ()

    def apply_routing(self, table: RoutingTable) -> None: ...

    def apply_evacuated(
        self, failure_domains: frozenset[str], *, restored: bool = False
    ) -> None: ...

    def apply_rollouts(self, orders: Sequence[RolloutOrder]) -> None: ...

    def record_servers_current(self, as_of_s: float) -> None: ...

    def set_store_available(self, available: bool, reason: str) -> None: ...

    def apply_servers(
        self, servers: Sequence[AnnouncedServer], *, restored: bool = False
    ) -> None:
        self.servers = servers


def directory() -> StoreDirectory:
    return StoreDirectory(StoreClient(Address("127.0.0.1", 1)), RecordingListener())


def at(number: int, era: int = 1) -> StoreVersion:
    return StoreVersion(era, number)


def rows(*numbers: int, era: int = 1) -> list[StoredRow]:
    return [StoredRow(f"key-{number}", at(number, era), b"{}") for number in numbers]


def known(operator: int, servers: int, configuration: int = -1) -> KnownVersions:
    versions = [NO_VERSION if n < 0 else at(n) for n in (operator, servers)]
    return KnownVersions(versions[0], versions[1], configuration)


class TestTableCopy:
    def test_full_read_covers_earlier_removals(self) -> None:
        """After a full read, the version of a removed row is in no row."""
        incremental, full = directory(), directory()
        incremental._servers.replace(rows(11, 15), at(15))
        incremental._servers.apply([StoredRow("key-11", at(18), None)], at(20))
        full._operator.replace([], at(20))
        full._servers.replace(rows(15), at(20))
        assert incremental.versions == KnownVersions(NO_VERSION, at(18), -1)
        assert not full.is_behind(incremental.versions)

    def test_copy_without_a_newer_entry_is_behind(self) -> None:
        copy = directory()
        copy._operator.replace(rows(4), at(9))
        assert not copy.is_behind(known(9, -1))
        assert copy.is_behind(known(10, -1))

    def test_older_listing_is_ignored(self) -> None:
        old, new = directory(), directory()
        old._servers.replace(rows(4), at(9))
        new._servers.replace(rows(4, 12), at(14))
        new.import_listing(old.export_listing())
        assert set(new._servers.rows) == {"key-4", "key-12"}
        old.import_listing(new.export_listing())
        assert set(old._servers.rows) == {"key-4", "key-12"}

    def test_changes_older_than_the_copy_are_ignored(self) -> None:
        copy = TableCopy()
        copy.replace(rows(4, 7), at(9))
        assert copy.apply([StoredRow("key-7", at(6), b"old")], at(10)) == []
        assert copy.apply([StoredRow("key-7", at(11), b"new")], at(12)) == ["key-7"]


class LateStore(StoreClient):
    """A store whose first poll of each table is answered late.

    Attributes
    ----------
    answers : list of tuple
        Rows and version of the answers, the late one first.
    """

    def __init__(self, *answers: Page) -> None:
        super().__init__(Address("127.0.0.1", 1))
        self.era = 1
        self.answers = list(answers)
        self.is_due = trio.Event()

    async def rows(self, table: str) -> Page:
        return Page(rows(4, 7), at(9))

    async def changes(self, table: str, after: StoreVersion, wait_s: float) -> Page:
        await trio.lowlevel.checkpoint()
        if not wait_s:
            return Page([], after)
        if table != "servers" or not self.answers:
            await trio.sleep_forever()
        # As an answer that has arrived when its call is cancelled.
        with trio.CancelScope(shield=True):
            await self.is_due.wait()
        return self.answers.pop(0)


def changed_at_10() -> Page:
    return Page([StoredRow("key-7", at(10), b"{}")], at(10))


class TestLateAnswers:
    """An answer belongs to the copy that it was asked for."""

    @pytest.mark.parametrize("source", ["peer", "relay"])
    @pytest.mark.parametrize(
        ("gone", "expected"),
        [(["key-7"], {"key-4"}), ([], {"key-4", "key-7"})],
        ids=["removed-since", "changed-since"],
    )
    async def test_late_answer_brought_back_a_server_that_had_left(
        self, gone: list[str], expected: set[str], source: str
    ) -> None:
        """Its next polls went on after the removal, so that it was never heard of."""
        store = LateStore(changed_at_10())
        late = StoreDirectory(store, RecordingListener())
        newer = [StoredRow("key-7", at(12), None if gone else b"{2}")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(late.run)
            await trio.sleep(0.3)
            if source == "peer":
                peer = directory()
                peer._servers.replace(rows(4, 7), at(9))
                peer._servers.apply(newer, at(12))
                late.import_listing(peer.export_listing())
            else:
                data = Changes(
                    9, 12, [(row.key, 12, row.value) for row in newer], 1, "servers"
                )
                late.apply_changes(msgspec.msgpack.encode(data), boot_time_s())
            store.is_due.set()
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        assert set(late._servers.rows) == expected
        assert late._servers.synced_version == at(12)
        assert all(row.version != at(10) for row in late._servers.rows.values())

    async def test_leader_relayed_changes_up_to_a_version_it_had_not_read(self) -> None:
        """Its followers then missed what a peer's listing had told the leader."""
        store = LateStore(changed_at_10())
        leader, follower = StoreDirectory(store, RecordingListener()), directory()
        follower._servers.replace(rows(4, 7), at(9))
        leader.polls.role = FeedRole.LEADER
        relayed: list[Changes] = []

        async def relay(data: bytes) -> None:
            changes = msgspec.msgpack.decode(data, type=Changes)
            if changes.table == "servers":
                relayed.append(changes)
                follower.apply_changes(data, boot_time_s())

        leader.relay = relay
        peer = directory()
        peer._servers.replace(rows(4, 7), at(9))
        peer._servers.apply([StoredRow("key-4", at(12), None)], at(12))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.run)
            await trio.sleep(0.3)
            leader.import_listing(peer.export_listing())
            store.is_due.set()
            await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        assert set(leader._servers.rows) == {"key-7"}
        told = [(row[0], row[2]) for changes in relayed for row in changes.rows]
        is_told = ("key-4", None) in told
        assert is_told or follower._servers.synced_version < at(12)

    def test_refused_listing_left_its_version_behind(self) -> None:
        """The instance then told others that it knew what it didn't."""
        own, peer = directory(), directory()
        own._servers.replace(rows(4), at(20))
        peer._servers.replace(rows(4, 25), at(14))
        own.import_listing(peer.export_listing())
        assert own.versions.servers == at(4)

    def test_answer_of_an_era_that_has_ended_is_ignored(self) -> None:
        copy = TableCopy()
        copy.replace(rows(4, 7), at(90))
        copy.replace(rows(4, era=2), at(9, era=2))
        assert copy.apply([StoredRow("key-7", at(91), b"{}")], at(91)) == []
        assert copy.synced_version == at(9, era=2)


class PagedStore(StoreClient):
    """A store whose listing takes two pages, with a removal in between."""

    def __init__(self) -> None:
        super().__init__(Address("127.0.0.1", 1))
        self.era = 1

    async def _call(self, method: str, target: str, *args: object) -> Response:
        is_first = "from=" not in target
        found = [4, 7] if is_first else [12]
        body = {
            "rows": [{"key": f"key-{n:02}", "ver": n, "value": ""} for n in found],
            "ver": 10 if is_first else 12,  # key-04 is removed at 11
            "hasMore": is_first,
        }
        return Response(200, [], msgspec.json.encode(body))


async def test_change_between_two_pages_of_a_listing_was_missed() -> None:
    copy = TableCopy()
    page = await PagedStore().rows("servers")
    copy.replace(page.rows, page.version)
    assert copy.synced_version == at(10)
    copy.apply([StoredRow("key-04", at(11), None)], at(12))
    assert set(copy.rows) == {"key-07", "key-12"}
    assert copy.synced_version == copy.newest_change == at(12)


class ChangingStore(StoreClient):
    """A store in which an entry of one table changes with each poll."""

    def __init__(self, table: str = "servers") -> None:
        super().__init__(Address("127.0.0.1", 1))
        self.table = table
        self.poll_count = 0
        self.listing_count = 0
        self.era = 1

    async def rows(self, table: str) -> Page:
        self.listing_count += table == self.table
        return Page(rows(4), at(9))

    async def changes(self, table: str, after: StoreVersion, wait_s: float) -> Page:
        await trio.sleep(0.01)
        if table != self.table:
            raise PlatformUnavailable("only one table changes")
        self.poll_count += 1
        following = at(after.number + 1)
        return Page([StoredRow("key-4", following, b"{}")], following)


class TestChanges:
    @pytest.mark.parametrize(
        ("after", "version", "expected"),
        [(9, 12, 12), (7, 12, 12), (10, 12, 9), (4, 9, 9)],
        ids=["next", "overlapping", "gap", "old"],
    )
    def test_only_contiguous_changes_are_applied(
        self, after: int, version: int, expected: int
    ) -> None:
        follower = directory()
        follower._servers.replace(rows(4), at(9))
        changes = Changes(after, version, [("key-4", version, b"{}")], 1, "servers")
        follower.apply_changes(msgspec.msgpack.encode(changes), boot_time_s())
        assert follower._servers.synced_version == at(expected)
        found = follower._servers.rows["key-4"].version
        assert found == at(version if expected == version != 9 else 4)

    @pytest.mark.parametrize("table", ["servers", "op"])
    @pytest.mark.parametrize(
        ("feed_role", "receives_changes", "min_polls", "max_polls"),
        [
            (FeedRole.INDEPENDENT, False, 20, 1000),
            (FeedRole.LEADER, False, 5, OBSERVED_S / RELAY_PAUSE_S),
            (FeedRole.FOLLOWER, False, 1, 1 + OBSERVED_S / FOLLOWER_TIMEOUT_S),
            (FeedRole.FOLLOWER, True, 0, 1),
        ],
    )
    async def test_each_change_ended_the_poll_of_every_instance(
        self,
        table: str,
        feed_role: FeedRole,
        receives_changes: bool,
        min_polls: int,
        max_polls: float,
    ) -> None:
        """Calls of the store are the largest price of a fleet of 195 instances."""
        store = ChangingStore(table)
        store_directory = StoreDirectory(store, RecordingListener())
        store_directory.polls.role = feed_role
        copy = dict(store_directory._copies())[table]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store_directory.run)
            for i in range(round(10 * OBSERVED_S)):
                await trio.sleep(0.1)
                number = copy.synced_version.number
                rows = [(f"new-{i}", number + 1, b"{}")]
                changes = Changes(number, number + 1, rows, 1, table)
                if receives_changes:
                    store_directory.apply_changes(
                        msgspec.msgpack.encode(changes), boot_time_s()
                    )
            nursery.cancel_scope.cancel()
        assert min_polls <= store.poll_count <= max_polls

    @pytest.mark.parametrize(
        ("unread_s", "polls"), [(0.0, False), (FOLLOWER_TIMEOUT_S, True)]
    )
    async def test_changes_read_late_do_not_postpone_the_poll(
        self, unread_s: float, polls: bool
    ) -> None:
        """Otherwise a late instance would go on sending to servers that leave.

        Each message says that nothing has changed. An instance that reads such
        messages in time need not poll.
        """
        store = ChangingStore()
        follower = StoreDirectory(store, RecordingListener())
        follower.polls.role = FeedRole.FOLLOWER
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            for _ in range(round(10 * OBSERVED_S)):
                await trio.sleep(0.1)
                number = follower._servers.synced_version.number
                encoded = msgspec.msgpack.encode(
                    Changes(number, number, [], 1, "servers")
                )
                follower.apply_changes(encoded, boot_time_s() - unread_s)
            nursery.cancel_scope.cancel()
        assert (store.poll_count > 0) is polls

    async def test_leader_relays_its_changes_to_followers(self) -> None:
        leader, follower = (
            StoreDirectory(ChangingStore(), RecordingListener()),
            directory(),
        )
        follower._servers.replace(rows(4), at(9))
        leader.polls.role = FeedRole.LEADER

        async def relay(data: bytes) -> None:
            follower.apply_changes(data, boot_time_s())

        leader.relay = relay
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.run)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        synced_version = follower._servers.synced_version
        assert synced_version == leader._servers.synced_version > at(10)

    async def test_follower_lists_a_table_that_its_leader_had_to_list_anew(
        self,
    ) -> None:
        """Both may have missed changes; the leader alone is told so by the store."""
        store = ChangingStore()
        follower = StoreDirectory(store, RecordingListener())
        follower.polls.role = FeedRole.FOLLOWER
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(0.3)
            listings = store.listing_count
            changes = Changes(9, 9, [], 1, "servers", is_listed_anew=True)
            follower.apply_changes(msgspec.msgpack.encode(changes), boot_time_s())
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        assert store.listing_count == listings + 1
