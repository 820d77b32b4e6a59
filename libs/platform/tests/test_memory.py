from __future__ import annotations

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from teaseldyke.platform import (
    ABSENT,
    ANY_VERSION,
    Faults,
    Instance,
    InstanceState,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTableService,
    Write,
)
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict


def _instance(name: str, state: InstanceState = "live") -> Instance:
    return Instance(name, "router", state, "north", "127.0.0.1", 4000)


class TestMemoryTableService:
    @pytest.mark.parametrize(
        ("expected_version", "allowed"),
        [(ABSENT, False), (1, False), (2, True), (3, False), (ANY_VERSION, True)],
    )
    async def test_expected_version(self, expected_version: int, allowed: bool) -> None:
        tables = MemoryTableService()
        await tables.transact([Write("t", "k", b"1")])
        await tables.transact([Write("t", "k", b"2")])
        write = Write("t", "k", b"3", expected_version)
        if allowed:
            assert await tables.transact([write]) == [3]
            return
        with pytest.raises(WriteConflict, match="has version 2, expected"):
            await tables.transact([write])

    async def test_conflict_aborts_the_whole_transaction(self) -> None:
        tables = MemoryTableService()
        await tables.transact([Write("t", "held", b"", ABSENT)])
        writes = [Write("t", "new", b"", ABSENT), Write("t", "held", b"", ABSENT)]
        with pytest.raises(WriteConflict):
            await tables.transact(writes)
        assert [row.key for row in await tables.scan("t")] == ["held"]

    async def test_version_increases_across_deletion(self) -> None:
        tables = MemoryTableService()
        await tables.transact([Write("t", "k", b"")])
        await tables.transact([Write("t", "k", None)])
        assert await tables.get("t", "k") is None
        assert await tables.transact([Write("t", "k", b"", ABSENT)]) == [3]

    @given(
        keys=st.sets(st.text("ab", max_size=4), max_size=12),
        prefix=st.text("ab", max_size=2),
        after=st.text("ab", max_size=3),
        limit=st.integers(1, 5),
    )
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_scan_agrees_with_a_filter(
        self, keys: set[str], prefix: str, after: str, limit: int
    ) -> None:
        async def scan() -> list[str]:
            tables = MemoryTableService()
            await tables.transact([Write("t", key, b"") for key in keys])
            return [row.key for row in await tables.scan("t", prefix, after, limit)]

        wanted = sorted(k for k in keys if k.startswith(prefix) and k > after)
        assert trio.run(scan) == wanted[:limit]


class TestFaults:
    async def test_down_has_no_effect(self) -> None:
        tables = MemoryTableService(Faults(down=True))
        with pytest.raises(PlatformUnavailable):
            await tables.transact([Write("t", "k", b"")])
        tables.faults.down = False
        assert await tables.get("t", "k") is None

    async def test_lost_answer_takes_effect(self) -> None:
        objects = MemoryObjectStore(Faults(lose_answers=1.0))
        with pytest.raises(AnswerLost):
            await objects.put("a/b", b"data")
        assert await objects.get("a/b") == b"data"
        assert await objects.names("a/") == ["a/b"]

    async def test_slow(self, autojump_clock: object) -> None:
        tables = MemoryTableService(Faults(slow_s=2.0))
        started_at_s = trio.current_time()
        await tables.get("t", "k")
        assert trio.current_time() - started_at_s == pytest.approx(2.0)


class TestMemoryInstanceList:
    async def test_entry_expires_after_its_ttl(self, autojump_clock: object) -> None:
        instances = MemoryInstanceList()
        await instances.announce(_instance("r1"), ttl_s=5.0)
        await trio.sleep(4.9)
        assert await instances.instances() == [_instance("r1")]
        await trio.sleep(0.2)
        assert await instances.instances() == []

    async def test_list_shows_the_state_lag_s_ago(self, autojump_clock: object) -> None:
        instances = MemoryInstanceList(Faults(lag_s=3.0))
        await instances.announce(_instance("r1"), ttl_s=60.0)
        assert await instances.instances() == []
        await trio.sleep(3.1)
        await instances.announce(_instance("r1", "leaving"), ttl_s=60.0)
        assert await instances.instances() == [_instance("r1")]
        await trio.sleep(3.1)
        assert await instances.instances() == [_instance("r1", "leaving")]
