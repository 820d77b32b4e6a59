from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence
from typing import Literal

import attrs
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from teaseldyke.outcomes import (
    Attempt,
    BeginResult,
    Finished,
    OutcomeRecords,
    RecordLimits,
    Started,
    StoredOutcome,
)
from teaseldyke.platform import MemoryObjectStore, MemoryTableService, Row, Write
from teaseldyke.types import AnswerLost, TeaseldykeError

LIMITS = RecordLimits(lease_s=4.0, lease_margin_s=1.0, row_body_bytes=8)
ROUTERS = ("r1", "r2", "r3")
KEYS = ("grant-1", "payment-2")
SERVICE = "licensing"

ServerBehaviour = Literal[
    "answer", "broken", "refused", "connect-failed", "timed-out", "gone"
]
SERVER_BEHAVIOURS: tuple[ServerBehaviour, ...] = (
    "answer",
    "broken",
    "refused",
    "connect-failed",
    "timed-out",
    "gone",
)
StoreState = Literal["well", "down", "slow", "lossy", "late"]
STORE_STATES: tuple[StoreState, ...] = ("well", "down", "slow", "lossy", "late")


class DelayedTable(MemoryTableService):
    """Applies some writes long after the caller was told that the answer is lost."""

    late = False
    draw = random.Random(7)

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        if not self.late or self.draw.random() < 0.5:
            return await super().transact(writes)
        trio.lowlevel.spawn_system_task(self._later, writes, self.draw.uniform(0, 20))
        raise AnswerLost("the connection broke")

    async def _later(self, writes: Sequence[Write], delay_s: float) -> None:
        await trio.sleep(delay_s)
        try:
            await MemoryTableService.transact(self, writes)
        except TeaseldykeError:
            return


@attrs.define
class Freeze:
    """Suspends every step of one router, like a stopped process."""

    _open: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self._open.set()

    async def wait_while_suspended(self) -> None:
        await self._open.wait()

    async def suspend_for(self, duration_s: float) -> None:
        if not self._open.is_set():
            return
        self._open = trio.Event()
        try:
            await trio.sleep(duration_s)
        finally:
            self._open.set()


@attrs.define
class FreezableTable:
    """A router's access to the shared table, suspended while the router is frozen."""

    table: DelayedTable
    freeze: Freeze

    async def get(self, table: str, key: str) -> Row | None:
        await self.freeze.wait_while_suspended()
        row = await self.table.get(table, key)
        await self.freeze.wait_while_suspended()
        return row

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        return []

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        await self.freeze.wait_while_suspended()
        try:
            return await self.table.transact(writes)
        finally:
            with trio.CancelScope(shield=True):
                await self.freeze.wait_while_suspended()


class NaiveRecords(OutcomeRecords):
    """Stores no records: every request is executed each time it is received."""

    async def begin(
        self, organisation: str, key: str, fingerprint: str, *, service: str
    ) -> BeginResult:
        attempt = Attempt(key, service, fingerprint, self.router, "1", 1e9)
        return Started(attempt, 1)

    async def finish(self, attempt: Attempt, outcome: StoredOutcome) -> None:
        return


@attrs.define
class Router:
    name: str
    incarnation: int
    records: OutcomeRecords
    freeze: Freeze
    nursery: trio.Nursery


@attrs.define
class Fleet:
    """Routers that share one store, and the requests executed by the backend server."""

    nursery: trio.Nursery
    records_class: type[OutcomeRecords] = OutcomeRecords
    table: DelayedTable = attrs.field(factory=DelayedTable)
    objects: MemoryObjectStore = attrs.field(factory=MemoryObjectStore)
    routers: dict[str, Router] = attrs.field(factory=dict)
    executed: dict[str, list[StoredOutcome]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    responses: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))

    async def start(self, name: str) -> None:
        before = self.routers.pop(name, None)
        if before is not None:
            before.nursery.cancel_scope.cancel()
        incarnation = 1 if before is None else before.incarnation + 1
        freeze = Freeze()
        records = self.records_class(
            FreezableTable(self.table, freeze),
            self.objects,
            name,
            str(incarnation),
            LIMITS,
            random.Random(incarnation),
        )
        nursery = await self.nursery.start(self._run_records, records)
        self.routers[name] = Router(name, incarnation, records, freeze, nursery)

    async def _run_records(
        self,
        records: OutcomeRecords,
        *,
        task_status: trio.TaskStatus[trio.Nursery] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(records.run)
            task_status.started(nursery)
            await trio.sleep_forever()

    def set_store(self, state: StoreState) -> None:
        faults = self.table.faults
        faults.down = state == "down"
        faults.slow_s = 3.0 if state == "slow" else 0.0
        faults.lose_answers = 0.5 if state == "lossy" else 0.0
        self.table.late = state == "late"
        self.objects.faults.down = state == "down"
        self.objects.faults.lose_answers = faults.lose_answers

    async def request(
        self, router: Router, key: str, behaviour: ServerBehaviour, wait_s: float
    ) -> None:
        """Serve one request as a router does, and check the answer to the caller."""
        try:
            await self._serve(router, key, behaviour, wait_s)
        except TeaseldykeError as exc:
            self.responses[exc.code] += 1
            if exc.executed == "no":
                self.check_not_executed(key, exc.code)

    def check_not_executed(self, key: str, code: str) -> None:
        assert not self.executed[key], f"{key} was executed but answered {code}"

    async def _serve(
        self, router: Router, key: str, behaviour: ServerBehaviour, wait_s: float
    ) -> None:
        records = router.records
        result = await records.begin("parish", key, key, service=SERVICE)
        await router.freeze.wait_while_suspended()
        if isinstance(result, Finished):
            self.responses["kept"] += 1
            assert self.executed[key] == [result.outcome]
            return
        attempt = result.attempt
        try:
            await trio.sleep(wait_s)
            await router.freeze.wait_while_suspended()
            records.mark_sending(attempt)
        except TeaseldykeError:
            await records.abandon(attempt)
            raise
        # A pause between the lease check and the send is not detected by the router.
        await router.freeze.wait_while_suspended()
        if behaviour in ("refused", "connect-failed"):
            await records.abandon(attempt)
            assert not self.executed[key]
            return
        if behaviour == "timed-out":
            self.nursery.start_soon(self._execute_later, key, 7.0)
            await records.mark_unknown(attempt)
            return
        outcome = self._execute(key)
        await router.freeze.wait_while_suspended()
        if behaviour == "broken":
            await records.mark_unknown(attempt)
            return
        if behaviour == "gone":
            await trio.sleep(2 * LIMITS.lease_s)
        await records.finish(attempt, outcome)
        self.responses["answered"] += 1

    def _execute(self, key: str) -> StoredOutcome:
        number = len(self.executed[key])
        outcome = StoredOutcome(200, body=f"{key} answer {number}".encode())
        self.executed[key].append(outcome)
        assert number == 0, f"{key} ran {number + 1} times"
        return outcome

    async def _execute_later(self, key: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._execute(key)


@attrs.frozen
class SendRequest:
    router: str
    key: str
    behaviour: ServerBehaviour
    wait_s: float

    async def apply(self, fleet: Fleet) -> None:
        router = fleet.routers[self.router]
        router.nursery.start_soon(
            fleet.request, router, self.key, self.behaviour, self.wait_s
        )


@attrs.frozen
class FreezeRouter:
    router: str
    duration_s: float

    async def apply(self, fleet: Fleet) -> None:
        router = fleet.routers[self.router]
        router.nursery.start_soon(router.freeze.suspend_for, self.duration_s)


@attrs.frozen
class RestartRouter:
    router: str

    async def apply(self, fleet: Fleet) -> None:
        await fleet.start(self.router)


@attrs.frozen
class SetStore:
    state: StoreState

    async def apply(self, fleet: Fleet) -> None:
        fleet.set_store(self.state)


@attrs.frozen
class Wait:
    duration_s: float

    async def apply(self, fleet: Fleet) -> None:
        await trio.sleep(self.duration_s)


Step = SendRequest | FreezeRouter | RestartRouter | SetStore | Wait
ROUTER = st.sampled_from(ROUTERS)
SECONDS = st.sampled_from((0.0, 0.001, 0.01, 0.5, 3.0, 6.0, 12.0))
SEND_REQUEST = st.builds(
    SendRequest,
    ROUTER,
    st.sampled_from(KEYS),
    st.sampled_from(SERVER_BEHAVIOURS),
    wait_s=SECONDS,
)
STEPS = st.lists(
    st.one_of(
        SEND_REQUEST,
        SEND_REQUEST,
        st.builds(FreezeRouter, ROUTER, SECONDS),
        st.builds(RestartRouter, ROUTER),
        st.builds(SetStore, st.sampled_from(STORE_STATES)),
        st.builds(Wait, SECONDS),
    ),
    max_size=24,
)


async def run_fleet(
    steps: Sequence[Step], records_class: type[OutcomeRecords]
) -> dict[str, int]:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, records_class)
        for name in ROUTERS:
            await fleet.start(name)
        for step in steps:
            await step.apply(fleet)
        fleet.set_store("well")
        await trio.sleep(60.0)
        await resolve_all_keys(fleet)
        nursery.cancel_scope.cancel()
    return fleet.responses


async def resolve_all_keys(fleet: Fleet) -> None:
    """Repeat a request for every key at every router until none is "running"."""
    for key in KEYS:
        for name in ROUTERS:
            for _ in range(20):
                before = fleet.responses["attempt_running"]
                await fleet.request(fleet.routers[name], key, "answer", 0.0)
                if fleet.responses["attempt_running"] == before:
                    break
                await trio.sleep(1.0)
            else:
                raise AssertionError(f"{key} is still running after 20 requests")
    for router in fleet.routers.values():
        assert router.records.pending_final_states == 0
        assert router.records.leases_held == 0


def run(
    steps: Sequence[Step], records_class: type[OutcomeRecords] = OutcomeRecords
) -> dict[str, int]:
    clock = MockClock(autojump_threshold=0)
    return trio.run(run_fleet, steps, records_class, clock=clock)


@pytest.mark.promise("at-most-once")
@pytest.mark.promise("true-refusal")
@settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(steps=STEPS)
def test_runs_once_and_tells_the_truth_under_faults(steps: list[Step]) -> None:
    run(steps)


BROKEN_ATTEMPT = [SendRequest("r1", "grant-1", "broken", 0.0), Wait(0.5)]


@pytest.mark.promise("at-most-once")
def test_the_same_check_fails_without_records() -> None:
    with pytest.raises(ExceptionGroup) as caught:
        run(
            [*BROKEN_ATTEMPT, SendRequest("r2", "grant-1", "answer", 0.0)],
            NaiveRecords,
        )
    assert caught.group_contains(AssertionError, match="ran 2 times")
