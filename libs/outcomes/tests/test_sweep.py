from __future__ import annotations

import random

import attrs
from trio.testing import MockClock

from teaseldyke.outcomes.limits import RecordLimits
from teaseldyke.outcomes.record import Record, encode_record, row_key_of
from teaseldyke.outcomes.sweep import PAGE_ROWS, Sweep
from teaseldyke.platform import MemoryTableService, Write

NOW_S = 1_000_000.0
RECORD = Record("a", "r1", "1", "licensing", "f", "finished", 10.0, NOW_S)


async def test_removes_expired_records(
    autojump_clock: MockClock,
) -> None:
    table = MemoryTableService()
    limits = RecordLimits(retention_s=100.0)
    for i in range(300):
        age_s = 200.0 if i % 2 else 50.0
        record = attrs.evolve(RECORD, written_at_s=NOW_S - age_s)
        key = row_key_of("parish", str(i))
        await table.transact([Write("outcomes", key, encode_record(record))])
    sweep = Sweep(table, "outcomes", limits, random.Random(1), lambda: NOW_S)
    before = table.counts.writes
    for _ in range(60):
        assert await sweep.sweep_page() <= PAGE_ROWS
    assert sweep.removed == 150
    assert table.counts.writes - before == 150
    rows = await table.scan("outcomes")
    assert len(rows) == 150


async def test_keeps_unreadable_rows(autojump_clock: MockClock) -> None:
    table = MemoryTableService()
    await table.transact([Write("outcomes", "0", b"no record")])
    sweep = Sweep(table, "outcomes", RecordLimits(), random.Random(1))
    assert await sweep.sweep_page() == 0
