from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
import trio
from trio.testing import MockClock

from teaseldyke.outcomes import (
    AttemptLapsed,
    AttemptRunning,
    BeginResult,
    Finished,
    KeyReused,
    OutcomeRecords,
    OutcomeUnknown,
    RecordLimits,
    RecordUnavailable,
    Started,
    StoredOutcome,
)
from teaseldyke.platform import MemoryObjectStore, MemoryTableService

LIMITS = RecordLimits()
DONE = StoredOutcome(201, ((b"content-type", b"text/plain"),), b"grant 7")


@attrs.define
class Store:
    """One store and the routers that share it."""

    table: MemoryTableService = attrs.field(factory=MemoryTableService)
    objects: MemoryObjectStore = attrs.field(factory=MemoryObjectStore)

    @asynccontextmanager
    async def router(
        self, name: str, incarnation: str = "1", limits: RecordLimits = LIMITS
    ) -> AsyncIterator[OutcomeRecords]:
        records = OutcomeRecords(
            self.table, self.objects, name, incarnation, limits, random.Random(1)
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(records.run)
            yield records
            nursery.cancel_scope.cancel()


async def begin(records: OutcomeRecords, fingerprint: str = "f") -> BeginResult:
    return await records.begin("parish", "key", fingerprint, service="licensing")


async def started(records: OutcomeRecords) -> Started:
    result = await begin(records)
    assert isinstance(result, Started)
    return result


@pytest.mark.promise("at-most-once")
class TestRepeatedRequests:
    @pytest.mark.parametrize("body_bytes", [7, 5_000])
    async def test_stored_answer_through_another_router(
        self, body_bytes: int, autojump_clock: MockClock
    ) -> None:
        store = Store()
        outcome = attrs.evolve(DONE, body=b"x" * body_bytes)
        async with store.router("r1") as first, store.router("r2") as second:
            attempt = (await started(first)).attempt
            await first.finish(attempt, outcome)
            await first.drained()
            assert await begin(second) == Finished(outcome)
            assert await begin(first) == Finished(outcome)

    async def test_answer_too_large_to_store(self, autojump_clock: MockClock) -> None:
        store = Store()
        limits = RecordLimits(row_body_bytes=10, object_body_bytes=20)
        async with store.router("r1", limits=limits) as records:
            attempt = (await started(records)).attempt
            await records.finish(attempt, attrs.evolve(DONE, body=b"x" * 21))
            await records.drained()
            with pytest.raises(OutcomeUnknown, match="too large"):
                await begin(records)

    async def test_running_attempt_of_this_and_another_router(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as first, store.router("r2") as second:
            await started(first)
            for records in (first, second):
                with pytest.raises(AttemptRunning) as caught:
                    await begin(records)
                assert caught.value.retry_after_s is not None

    async def test_key_reused_for_another_body(self, autojump_clock: MockClock) -> None:
        async with Store().router("r1") as records:
            await started(records)
            with pytest.raises(KeyReused):
                await begin(records, "another")

    async def test_abandoned_attempt_frees_the_key(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as first, store.router("r2") as second:
            earlier = await started(first)
            await first.abandon(earlier.attempt)
            with pytest.raises(AttemptLapsed):
                first.mark_sending(earlier.attempt)
            await first.drained()
            later = await started(second)
            assert later.fencing_number > earlier.fencing_number

    async def test_unknown_outcome_is_never_rerun(
        self, autojump_clock: MockClock
    ) -> None:
        async with Store().router("r1") as records:
            await records.mark_unknown((await started(records)).attempt)
            await records.drained()
            with pytest.raises(OutcomeUnknown):
                await begin(records)


async def until_resolved(records: OutcomeRecords) -> float:
    """Repeat a request while its attempt is running; return the seconds it took."""
    started_at_s = trio.current_time()
    while True:
        try:
            await begin(records)
        except AttemptRunning as exc:
            await trio.sleep(exc.retry_after_s or 0.1)
            continue
        except OutcomeUnknown:
            return trio.current_time() - started_at_s


@pytest.mark.promise("at-most-once")
class TestLostOwners:
    async def test_dead_owner_becomes_unknown_after_its_lease(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as first:
            await started(first)
        async with store.router("r2") as second:
            waited_s = await until_resolved(second)
        lease_s = LIMITS.lease_s + LIMITS.lease_margin_s
        assert lease_s <= waited_s <= lease_s + 1.5

    async def test_restarted_owner_resolves_at_once(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1", "1") as first:
            await started(first)
        async with store.router("r1", "2") as again:
            assert await until_resolved(again) < 0.1

    async def test_live_owner_keeps_its_lease(self, autojump_clock: MockClock) -> None:
        store = Store()
        async with store.router("r1") as first, store.router("r2") as second:
            attempt = (await started(first)).attempt
            for _ in range(60):
                with pytest.raises(AttemptRunning):
                    await begin(second)
                await trio.sleep(1.0)
            first.mark_sending(attempt)

    async def test_owner_without_the_store_may_not_send_after_its_lease(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as records:
            attempt = (await started(records)).attempt
            store.table.faults.down = True
            await trio.sleep(LIMITS.lease_s)
            with pytest.raises(AttemptLapsed):
                records.mark_sending(attempt)

    async def test_late_answer_replaces_unknown(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1", "1") as first, store.router("r1", "2") as again:
            attempt = (await started(first)).attempt
            first.mark_sending(attempt)
            await until_resolved(again)
            await first.finish(attempt, DONE)
            await first.drained()
            assert await begin(again) == Finished(DONE)


@pytest.mark.promise("true-refusal")
class TestStoreFaults:
    async def test_store_outage_is_refused_at_once(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        store.table.faults.down = True
        async with store.router("r1") as records:
            with pytest.raises(RecordUnavailable):
                await begin(records)
            started_at_s = trio.current_time()
            for _ in range(100):
                with pytest.raises(RecordUnavailable) as caught:
                    await begin(records)
                assert caught.value.retry_after_s
            assert trio.current_time() == started_at_s
            assert records.leases_held == records.pending_final_states == 0

    async def test_slow_store_is_refused_in_bounded_time(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        store.table.faults.slow_s = 30.0
        async with store.router("r1") as records:
            with pytest.raises(RecordUnavailable):
                await begin(records)
            assert trio.current_time() <= LIMITS.begin_timeout_s + 0.01
            store.table.faults.slow_s = 0.0
            await records.drained()
            await started(records)

    async def test_executed_is_unknown_while_the_store_is_down(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as records:
            await records.finish((await started(records)).attempt, DONE)
            await records.drained()
            store.table.faults.down = True
            with pytest.raises(RecordUnavailable) as caught:
                await begin(records)
            assert caught.value.executed == "unknown"

    async def test_final_state_is_written_after_an_outage(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        async with store.router("r1") as first, store.router("r2") as second:
            attempt = (await started(first)).attempt
            first.mark_sending(attempt)
            store.table.faults.down = True
            await first.finish(attempt, DONE)
            await trio.sleep(300.0)
            assert first.pending_final_states == 1
            store.table.faults.down = False
            await first.drained()
            assert await begin(second) == Finished(DONE)

    async def test_pending_final_states_are_bounded(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        limits = RecordLimits(closings=8)
        async with store.router("r1", limits=limits) as records:
            attempts = []
            for i in range(10):
                result = await records.begin("parish", str(i), "f", service="s")
                assert isinstance(result, Started)
                attempts.append(result.attempt)
            store.table.faults.down = True
            for attempt in attempts:
                await records.finish(attempt, DONE)
            assert records.pending_final_states == 8
            with pytest.raises(
                RecordUnavailable, match="outcomes are pending for the outcome store"
            ):
                await begin(records)

    async def test_lost_answer_is_not_an_outage(
        self, autojump_clock: MockClock
    ) -> None:
        store = Store()
        store.table.faults.lose_answers = 1.0
        async with store.router("r1") as records:
            for i in range(5):
                result = await records.begin("parish", str(i), "f", service="s")
                assert isinstance(result, Started)

    async def test_every_answer_lost(self, autojump_clock: MockClock) -> None:
        store = Store()
        store.table.faults.lose_answers = 1.0
        store.objects.faults.lose_answers = 0.5
        async with store.router("r1") as first, store.router("r2") as second:
            attempt = (await started(first)).attempt
            first.mark_sending(attempt)
            await first.finish(attempt, DONE)
            await first.drained()
            assert await begin(second) == Finished(DONE)


async def test_cancelled_begin_frees_the_key(
    autojump_clock: MockClock,
) -> None:
    store = Store()
    store.table.faults.slow_s = 0.5
    async with store.router("r1") as records:
        with trio.move_on_after(0.2):
            await begin(records)
        await trio.sleep(5.0)
        assert records.pending_final_states == 0
        await started(records)


@pytest.mark.promise("at-most-once")
async def test_cancelled_begin_does_not_overwrite_another_attempt(
    autojump_clock: MockClock,
) -> None:
    store = Store()
    async with store.router("r1") as first, store.router("r2") as second:
        store.table.faults.slow_s = 0.5
        with trio.move_on_after(0.2):
            await begin(first)
        store.table.faults.slow_s = 0.0
        await started(second)
        await trio.sleep(2.0)
        assert first.pending_final_states == 0
        with pytest.raises(AttemptRunning):
            await begin(first)


@pytest.mark.parametrize(
    ("is_restored", "expected"), [(False, Finished), (True, Started)]
)
async def test_restored_platform_has_lost_the_record_of_a_finished_request(
    is_restored: bool, expected: type
) -> None:
    """At most once holds only for what the platform keeps; see docs/proofs.md."""
    store = Store()
    copy = store.table.copy()
    async with store.router("r1") as records:
        attempt = (await started(records)).attempt
        await records.finish(attempt, DONE)
        await records.drained()
    if is_restored:
        store.table.restore(copy)
    async with store.router("r2") as records:
        assert isinstance(await begin(records), expected)
