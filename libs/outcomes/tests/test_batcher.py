from __future__ import annotations

from collections.abc import Sequence
from functools import partial

import attrs
import pytest
import trio
from trio.testing import MockClock

from teaseldyke.outcomes import RecordLimits, RecordUnavailable
from teaseldyke.outcomes.batcher import WriteBatcher
from teaseldyke.outcomes.store_health import StoreHealth
from teaseldyke.platform import ABSENT, MemoryTableService, Write
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

TABLE = "outcomes"


def write(key: str, value: str, expected: int = ABSENT) -> Write:
    return Write(TABLE, key, value.encode(), expected)


@attrs.define
class DelayedTable(MemoryTableService):
    """Loses the answer of the first transaction, and applies it after a delay."""

    first_delay_s: float = 0.0
    calls: int = 0

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        self.calls += 1
        if self.calls > 1:
            return await MemoryTableService.transact(self, writes)
        trio.lowlevel.spawn_system_task(self._later, writes)
        raise AnswerLost("the connection broke")

    async def _later(self, writes: Sequence[Write]) -> None:
        await trio.sleep(self.first_delay_s)
        try:
            await MemoryTableService.transact(self, writes)
        except WriteConflict:
            return


def batcher_for(
    table: MemoryTableService, limits: RecordLimits | None = None
) -> WriteBatcher:
    return WriteBatcher(table, limits or RecordLimits(), StoreHealth())


async def write_all(
    batcher: WriteBatcher, writes: Sequence[Write]
) -> dict[str, int | str]:
    results: dict[str, int | str] = {}

    async def one(item: Write) -> None:
        try:
            version = await batcher.write(item, urgent=True)
        except (WriteConflict, PlatformUnavailable, AnswerLost) as exc:
            results[item.key] = exc.code
            return
        results[item.key] = version

    async with trio.open_nursery() as nursery:
        for item in writes:
            nursery.start_soon(one, item)
    return results


async def test_simultaneous_writes_share_a_transaction(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    batcher = batcher_for(MemoryTableService())
    await nursery.start(batcher.run)
    writes = [write(str(i), "a") for i in range(40)]
    assert await write_all(batcher, writes) == {str(i): 1 for i in range(40)}
    assert batcher.transactions == 1


async def test_conflict_fails_only_its_own_write(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    table = MemoryTableService()
    await table.transact([write("2", "old")])
    batcher = batcher_for(table)
    await nursery.start(batcher.run)
    results = await write_all(batcher, [write(str(i), "a") for i in range(4)])
    assert results == {"0": 1, "1": 1, "2": "write_conflict", "3": 1}
    assert batcher.transactions == 2


async def test_lost_answers_are_resolved_by_reading(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    table = MemoryTableService()
    table.faults.lose_answers = 1.0
    batcher = batcher_for(table)
    await nursery.start(batcher.run)
    results = await write_all(batcher, [write(str(i), "a") for i in range(4)])
    assert results == {str(i): 1 for i in range(4)}


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 5.0])
async def test_delayed_write_is_applied_once(
    delay_s: float, autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    table = DelayedTable(first_delay_s=delay_s)
    batcher = batcher_for(table)
    await nursery.start(batcher.run)
    assert await batcher.write(write("0", "a"), urgent=True) == 1
    await trio.sleep(10.0)
    row = await table.get(TABLE, "0")
    assert row is not None
    assert (row.version, row.value) == (1, b"a")


async def test_writes_of_one_row_are_serialised(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    batcher = batcher_for(MemoryTableService())
    await nursery.start(batcher.run)
    results = []

    async def one(item: Write) -> None:
        try:
            results.append(await batcher.write(item, urgent=True))
        except WriteConflict:
            results.append("conflict")

    async with trio.open_nursery() as writers:
        for value in "abc":
            writers.start_soon(one, write("0", value))
    assert sorted(map(str, results)) == ["1", "conflict", "conflict"]


async def test_full_queue_is_refused_at_once(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    table = MemoryTableService()
    table.faults.slow_s = 1.0
    limits = RecordLimits(waiting_writes=8, batch_writes=1, transactions_at_once=1)
    batcher = batcher_for(table, limits)
    await nursery.start(batcher.run)
    refused = 0

    async def one(item: Write) -> None:
        nonlocal refused
        try:
            await batcher.write(item, urgent=True)
        except RecordUnavailable:
            refused += 1

    async with trio.open_nursery() as writers:
        for i in range(20):
            writers.start_soon(one, write(str(i), "a"))
    assert refused == 12


@pytest.mark.parametrize("routers", [4, 40])
async def test_routers_share_the_rate_of_transactions(
    routers: int, autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    limits = RecordLimits(transactions_per_s=40.0, finish_gather_s=0.001)
    batcher = batcher_for(MemoryTableService(), limits)
    batcher.set_router_count(routers)
    await nursery.start(batcher.run)
    async with trio.open_nursery() as writers:
        for i in range(500):
            one = partial(batcher.write, write(str(i), "a"), urgent=False)
            writers.start_soon(one)
            await trio.sleep(0.01)
    assert batcher.transactions <= 40.0 / routers * trio.current_time() + 3


async def test_final_states_share_the_next_transaction_at_a_low_rate(
    autojump_clock: MockClock, nursery: trio.Nursery
) -> None:
    limits = RecordLimits(transactions_per_s=1.0, routers=1)
    batcher = batcher_for(MemoryTableService(), limits)
    await nursery.start(batcher.run)
    waits_s = []
    requests = 30
    async with trio.open_nursery() as writers:
        for i in range(requests):
            started_at_s = trio.current_time()
            await batcher.write(write(str(i), "begun"), urgent=True)
            waits_s.append(trio.current_time() - started_at_s)
            end = partial(batcher.write, write(str(i), "ended", 1), urgent=False)
            writers.start_soon(end)
            await trio.sleep_until(started_at_s + 1.2)
    assert max(waits_s) < 0.01
    assert batcher.transactions <= 1.2 * requests + 2
