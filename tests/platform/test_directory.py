from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
import trio

from teaseldyke.adapter import StoreClient, StoreDirectory
from teaseldyke.adapter.directory import (
    FOLLOWER_TIMEOUT_S,
    RELAY_PAUSE_S,
    Changes,
    TableCopy,
)
from teaseldyke.adapter.store import Page, StoredRow
from teaseldyke.gateway import FeedRole
from teaseldyke.settings import Address
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, PlatformUnavailable, RoutingTable

WATCHED_S = 2.0


class Noted:
    """Beliefs that keep what they are told."""

    def __init__(self) -> None:
        self.servers: Sequence[AnnouncedServer] = ()

    def apply_routing(self, table: RoutingTable) -> None: ...

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None: ...

    def record_servers_current(self, as_of_s: float) -> None: ...

    def set_store_available(self, available: bool, reason: str) -> None: ...

    def apply_servers(self, servers: Sequence[AnnouncedServer]) -> None:
        self.servers = servers


def directory() -> StoreDirectory:
    return StoreDirectory(StoreClient(Address("127.0.0.1", 1)), Noted())


def rows(*versions: int) -> list[StoredRow]:
    return [StoredRow(f"key-{version}", version, b"{}") for version in versions]


class TestTableCopy:
    def test_a_removal_counts_as_known_after_the_table_was_read_whole(self) -> None:
        """The store forgot its history; the dropped row's version is in no row."""
        told, read = directory(), directory()
        told._servers.replace(rows(11, 15), 15)
        told._servers.apply([StoredRow("key-11", 18, None)], 20)
        read._operator.replace([], 20)
        read._servers.replace(rows(15), 20)
        assert told.versions == (0, 18)
        assert not read.is_behind(told.versions)

    def test_a_newer_entry_elsewhere_is_missed(self) -> None:
        copy = directory()
        copy._operator.replace(rows(4), 9)
        assert not copy.is_behind((9, -1))
        assert copy.is_behind((10, -1))

    def test_an_older_listing_changes_nothing(self) -> None:
        old, new = directory(), directory()
        old._servers.replace(rows(4), 9)
        new._servers.replace(rows(4, 12), 14)
        new.import_listing(old.export_listing())
        assert set(new._servers.rows) == {"key-4", "key-12"}
        old.import_listing(new.export_listing())
        assert set(old._servers.rows) == {"key-4", "key-12"}

    def test_changes_older_than_what_is_known_are_left_out(self) -> None:
        copy = TableCopy()
        copy.replace(rows(4, 7), 9)
        assert copy.apply([StoredRow("key-7", 6, b"old")], 10) == []
        assert copy.apply([StoredRow("key-7", 11, b"new")], 12) == ["key-7"]


class ChangingStore(StoreClient):
    """A store in which an engine's entry changes at each look."""

    def __init__(self) -> None:
        super().__init__(Address("127.0.0.1", 1))
        self.looks = 0

    async def rows(self, table: str) -> Page:
        return Page(rows(4), 9)

    async def changes(self, table: str, after: int, wait_s: float) -> Page:
        await trio.sleep(0.01)
        if table != "servers":
            raise PlatformUnavailable("only the servers change")
        self.looks += 1
        return Page([StoredRow("key-4", after + 1, b"{}")], after + 1)


class TestChanges:
    @pytest.mark.parametrize(
        ("after", "version", "expected"),
        [(9, 12, 12), (7, 12, 12), (10, 12, 9), (4, 9, 9)],
        ids=["next", "overlapping", "gap", "old"],
    )
    def test_only_changes_without_a_gap_count(
        self, after: int, version: int, expected: int
    ) -> None:
        told = directory()
        told._servers.replace(rows(4), 9)
        changes = Changes(after, version, [("key-4", version, b"{}")])
        told.apply_changes(msgspec.msgpack.encode(changes), boot_time_s())
        assert told._servers.synced_version == expected
        known = told._servers.rows["key-4"].version
        assert known == (version if expected == version != 9 else 4)

    @pytest.mark.parametrize(
        ("feed_role", "told", "least", "most"),
        [
            (FeedRole.INDEPENDENT, False, 20, 1000),
            (FeedRole.LEADER, False, 5, WATCHED_S / RELAY_PAUSE_S),
            (FeedRole.FOLLOWER, False, 1, 1 + WATCHED_S / FOLLOWER_TIMEOUT_S),
            (FeedRole.FOLLOWER, True, 0, 1),
        ],
    )
    async def test_looks_at_the_store_follow_the_duty(
        self, feed_role: FeedRole, told: bool, least: int, most: float
    ) -> None:
        store = ChangingStore()
        polling = StoreDirectory(store, Noted())
        polling.feed_role = feed_role
        async with trio.open_nursery() as nursery:
            nursery.start_soon(polling.run)
            for i in range(round(10 * WATCHED_S)):
                await trio.sleep(0.1)
                version = polling._servers.synced_version
                changes = Changes(
                    version, version + 1, [(f"new-{i}", version + 1, b"{}")]
                )
                if told:
                    polling.apply_changes(
                        msgspec.msgpack.encode(changes), boot_time_s()
                    )
            nursery.cancel_scope.cancel()
        assert least <= store.looks <= most

    @pytest.mark.parametrize(
        ("unread_s", "looks"), [(0.0, False), (FOLLOWER_TIMEOUT_S, True)]
    )
    async def test_news_that_lay_unread_does_not_put_off_the_own_look(
        self, unread_s: float, looks: bool
    ) -> None:
        """Else a late instance would go on sending to servers that leave.

        The news is that nothing has changed; who is told in time needs no look.
        """
        store = ChangingStore()
        told = StoreDirectory(store, Noted())
        told.feed_role = FeedRole.FOLLOWER
        async with trio.open_nursery() as nursery:
            nursery.start_soon(told.run)
            for _ in range(round(10 * WATCHED_S)):
                await trio.sleep(0.1)
                version = told._servers.synced_version
                news = msgspec.msgpack.encode(Changes(version, version, []))
                told.apply_changes(news, boot_time_s() - unread_s)
            nursery.cancel_scope.cancel()
        assert (store.looks > 0) is looks

    async def test_what_one_instance_reads_reaches_the_others(self) -> None:
        teller, told = StoreDirectory(ChangingStore(), Noted()), directory()
        told._servers.replace(rows(4), 9)
        teller.feed_role = FeedRole.LEADER

        async def relay(data: bytes) -> None:
            told.apply_changes(data, boot_time_s())

        teller.relay = relay
        async with trio.open_nursery() as nursery:
            nursery.start_soon(teller.run)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert told._servers.synced_version == teller._servers.synced_version > 10
