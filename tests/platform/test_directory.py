from __future__ import annotations

from collections.abc import Sequence

from teaseldyke.adapter import StoreClient, StoreDirectory
from teaseldyke.adapter.directory import TableCopy
from teaseldyke.adapter.store import StoredRow
from teaseldyke.settings import Address
from teaseldyke.types import AnnouncedServer, RoutingTable


class Noted:
    """Beliefs that keep what they are told."""

    def __init__(self) -> None:
        self.servers: Sequence[AnnouncedServer] = ()

    def apply_routing(self, table: RoutingTable) -> None: ...

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None: ...

    def note_store(self, available: bool, reason: str) -> None: ...

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
