"""Concurrent configuration changes under lost replies, outages and network cuts.

Each sheet of a race gives both organisations the same share, one that no other sheet
uses. The shares in a snapshot therefore identify its sheet, and two different shares
show that a sheet was applied only partially.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from random import Random
from typing import Any, Literal

import attrs
import trio
import trio.testing

from benchmarks.naive_configuration import NaiveReader, NaiveStore
from benchmarks.unreliable_table import UnreliableTable
from teaseldyke.configuration import (
    ApplySheet,
    ConfigurationReader,
    ConfigurationStore,
    SetSwitch,
    Sheet,
    Snapshot,
)
from teaseldyke.peers import MemoryNetwork
from teaseldyke.platform import MemoryObjectStore, MemoryTableService
from teaseldyke.types import Organisation, TeaseldykeError

ROUTERS = ("a", "b", "c")
DOMAINS = ("zone-a", "zone-b")
OPERATORS = 4
CHANGES = 4  # per operator
REPLY_LOSS_RATE = 0.25
THINK_TIME_MAX_S = 0.1  # longest time between reading a version and changing it
CONVERGENCE_S = 1.5  # from the last fault until convergence is checked
NETWORK_DELAY_S = 0.0015
POLL_INTERVAL_S = 0.1

Design = Literal["teaseldyke", "naive"]
Store = ConfigurationStore | NaiveStore


@attrs.define
class RequestedChange:
    """A change that an operator requested, and the reply to it.

    Parameters
    ----------
    change : ApplySheet or SetSwitch
        Requested change.
    change_id : str
        Id of the change; the same for its retries.
    version : int
        Version that the change created according to the reply; 0 if it was refused.
    """

    change: ApplySheet | SetSwitch
    change_id: str
    version: int = 0

    @property
    def part(self) -> str:
        """Part of the configuration that is changed: the sheet or a failure domain."""
        return self.change.name if isinstance(self.change, SetSwitch) else "sheet"

    @property
    def value(self) -> float:
        """Value that the change sets, comparable with that of a snapshot."""
        if isinstance(self.change, SetSwitch):
            return float(self.change.out)
        return self.change.sheet.organisations["p"].share


@attrs.define
class RaceResult:
    """Counts of consistency violations ("harms") in one or more races.

    Parameters
    ----------
    accepted, refused : int
        Number of changes by the reply that the operator received.
    lost_changes : int
        Parts whose last accepted change is not in force at the end.
    reversions : int
        Times that a router's version decreased.
    half_applied : int
        Snapshots in force with a partially applied sheet.
    both_won : int
        Accepted changes whose part had changed since their base version.
    false_refusals : int
        Sheets that came into force although the reply said that they were refused.
    late_routers : int
        Routers that are not at the last version `CONVERGENCE_S` after the faults.
    unreadable : int
        Races at whose end the rows in the store are inconsistent.
    """

    accepted: int = 0
    refused: int = 0
    lost_changes: int = 0
    reversions: int = 0
    half_applied: int = 0
    both_won: int = 0
    false_refusals: int = 0
    late_routers: int = 0
    unreadable: int = 0

    def add(self, other: RaceResult) -> None:
        """Add the counts of another result."""
        for field in attrs.fields(RaceResult):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    @property
    def harms(self) -> int:
        """Sum of all violations."""
        return sum(attrs.astuple(self)[2:])


@attrs.define(eq=False)
class Race:
    """One race: three routers, four operators and an unreliable store.

    Parameters
    ----------
    design : {"teaseldyke", "naive"}
        Configuration store under test.
    seed : int
        Seeds the changes, the faults, the delays and the losses.
    """

    design: Design
    seed: int
    requested_changes: list[RequestedChange] = attrs.field(factory=list, init=False)
    observed: dict[str, list[Snapshot]] = attrs.field(factory=dict, init=False)
    stores: dict[str, Store] = attrs.field(factory=dict, init=False)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict, init=False)
    incarnation: int = attrs.field(default=0, init=False)
    _random: Random = attrs.field(init=False)
    _sheet_number: int = attrs.field(default=1, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)

    async def run(self) -> RaceResult:
        """Run the race and count the violations."""
        async with trio.open_nursery() as nursery:
            inner = MemoryTableService()
            table = UnreliableTable(inner, nursery, Random(self.seed + 1))
            network = MemoryNetwork(nursery, delay_s=NETWORK_DELAY_S, seed=self.seed)
            objects = MemoryObjectStore()
            start = partial(self._start_router, nursery, network, table, objects)
            for router in ROUTERS:
                start(router)
            first = ApplySheet(self._sheet(1), 0)
            accepted = await self.stores["a"].change(first, "first", "morning")
            self.requested_changes.append(
                RequestedChange(first, "first", accepted.record.version)
            )
            table.loss = REPLY_LOSS_RATE
            async with trio.open_nursery() as operators:
                for operator in range(OPERATORS):
                    operators.start_soon(self._run_operator, operator, network)
                operators.start_soon(self._inject_faults, table, network, start)
            table.loss = 0.0
            await trio.sleep(CONVERGENCE_S)
            store = _create_store(self.design, table, objects)
            try:
                result = self._count_harms(await store.load())
            except TeaseldykeError:
                result = RaceResult(unreadable=1)
            nursery.cancel_scope.cancel()
        return result

    def _start_router(
        self,
        nursery: trio.Nursery,
        network: MemoryNetwork,
        table: UnreliableTable,
        objects: MemoryObjectStore,
        router: str,
    ) -> None:
        self.incarnation += 1
        observed: list[Snapshot] = []
        self.observed[f"{router}-{self.incarnation}"] = observed
        store = _create_store(self.design, table, objects)
        self.stores[router] = store
        self.scopes[router] = trio.CancelScope()
        run = _reader_task(store, network, router, observed.append, self.incarnation)
        nursery.start_soon(_run_in_scope, self.scopes[router], run)

    async def _run_operator(self, operator: int, network: MemoryNetwork) -> None:
        for i in range(CHANGES):
            await trio.sleep(self._random.uniform(0, 2 * THINK_TIME_MAX_S))
            router = self._random.choice(ROUTERS)
            try:
                base_version = (await self.stores[router].load()).version
            except TeaseldykeError:
                continue
            await trio.sleep(self._random.uniform(0, THINK_TIME_MAX_S))
            change = self._draw_change(base_version)
            requested = RequestedChange(change, f"{operator}-{i}")
            self.requested_changes.append(requested)
            await self._submit(requested, f"operator-{operator}")

    async def _submit(self, requested: RequestedChange, operator: str) -> None:
        """Send a change, each attempt through a random router, until it has an outcome.

        A 503 is retried if the outcome of this or an earlier attempt is unknown; any
        other error ends the attempts.
        """
        outcome_unknown = False
        while True:
            store = self.stores[self._random.choice(ROUTERS)]
            try:
                accepted = await store.change(
                    requested.change, requested.change_id, operator
                )
            except TeaseldykeError as exc:
                outcome_unknown = outcome_unknown or exc.executed == "unknown"
                if not outcome_unknown or exc.status != 503:
                    return
            else:
                requested.version = accepted.record.version
                return
            await trio.sleep(0.1)

    async def _inject_faults(
        self,
        table: UnreliableTable,
        network: MemoryNetwork,
        start: Callable[[str], None],
    ) -> None:
        for _ in range(3):
            await trio.sleep(self._random.uniform(0.05, 0.4))
            router = self._random.choice(ROUTERS)
            match self._random.choice(("outage", "cut", "restart")):
                case "outage":
                    table.down = True
                case "cut":
                    for other in ROUTERS:
                        network.cut(router, other)
                case "restart":
                    self.scopes[router].cancel()
                    start(router)
            await trio.sleep(self._random.uniform(0.05, 0.8))
            table.down = False
            network.heal()

    def _draw_change(self, base_version: int) -> ApplySheet | SetSwitch:
        if self._random.random() < 0.5:
            self._sheet_number += 1
            return ApplySheet(self._sheet(self._sheet_number), base_version)
        out = self._random.random() < 0.5
        domain = self._random.choice(DOMAINS)
        return SetSwitch("failure-domain", domain, out, base_version)

    def _sheet(self, sheet_number: int) -> Sheet:
        share = float(sheet_number)
        organisations = {name: Organisation(name, share) for name in ("p", "q")}
        return Sheet(organisations, failure_domains=DOMAINS)

    def _count_harms(self, final: Snapshot) -> RaceResult:
        accepted = [
            requested for requested in self.requested_changes if requested.version
        ]
        refused = [
            requested for requested in self.requested_changes if not requested.version
        ]
        states = [
            snapshot for observed in self.observed.values() for snapshot in observed
        ]
        in_force = {_value(snapshot, "sheet") for snapshot in [*states, final]}
        return RaceResult(
            accepted=len(accepted),
            refused=len(refused),
            lost_changes=sum(_is_lost(part, accepted, final) for part in _part_names()),
            reversions=sum(
                _count_reversions(observed) for observed in self.observed.values()
            ),
            half_applied=sum(map(_is_half_applied, [*states, final])),
            both_won=_count_both_won(accepted),
            false_refusals=sum(
                requested.part == "sheet" and requested.value in in_force
                for requested in refused
            ),
            late_routers=sum(
                self._last_version(router) != final.version for router in ROUTERS
            ),
        )

    def _last_version(self, router: str) -> int:
        incarnations = [
            observed for name, observed in self.observed.items() if name[0] == router
        ]
        last = incarnations[-1]
        return last[-1].version if last else 0


def run_races(design: Design, seeds: range) -> RaceResult:
    """Run a race for each seed on a virtual clock and sum up the violations."""
    total = RaceResult()
    for seed in seeds:
        _seed_scheduler(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        total.add(trio.run(Race(design, seed).run, clock=clock))
    return total


def _seed_scheduler(seed: int) -> None:
    """Seed the order in which trio runs tasks, as pytest-trio does."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)


def _create_store(
    design: Design, table: UnreliableTable, objects: MemoryObjectStore
) -> Store:
    if design == "naive":
        return NaiveStore(table)
    return ConfigurationStore(table, objects)


def _reader_task(
    store: Store,
    network: MemoryNetwork,
    router: str,
    observe: Callable[[Snapshot], None],
    seed: int,
) -> Callable[[], object]:
    if isinstance(store, NaiveStore):
        return NaiveReader(store, observe, POLL_INTERVAL_S).run
    links = network.join(router)
    others = [other for other in ROUTERS if other != router]
    reader = ConfigurationReader(
        store, links, lambda: others, poll_interval_s=POLL_INTERVAL_S, seed=seed
    )
    reader.subscribe(lambda _: observe(reader.snapshot))
    return reader.run


async def _run_in_scope(scope: trio.CancelScope, run: Callable[[], object]) -> None:
    with scope:
        await run()  # type: ignore[misc]


def _part_names() -> tuple[str, ...]:
    return ("sheet", *DOMAINS)


def _value(snapshot: Snapshot, part: str) -> float:
    if part == "sheet":
        organisation = snapshot.sheet.organisations.get("p")
        return 0.0 if organisation is None else organisation.share
    return float(part in snapshot.switches.failure_domains_out)


def _is_lost(part: str, accepted: list[RequestedChange], final: Snapshot) -> bool:
    changes = [requested for requested in accepted if requested.part == part]
    if not changes:
        return False
    last = max(changes, key=lambda requested: requested.version)
    return _value(final, part) != last.value


def _count_reversions(observed: list[Snapshot]) -> int:
    versions = [snapshot.version for snapshot in observed]
    return sum(after < before for before, after in pairwise(versions))


def _is_half_applied(snapshot: Snapshot) -> bool:
    shares = {o.share for o in snapshot.sheet.organisations.values()}
    return len(shares) > 1


def _count_both_won(accepted: list[RequestedChange]) -> int:
    """Count accepted changes that overwrote a change newer than their base version.

    Changes accepted under the same version also count, all but one of them.
    """
    same_version = Counter(requested.version for requested in accepted)
    count = sum(number - 1 for number in same_version.values())
    for requested in accepted:
        base_version = requested.change.base_version
        assert base_version is not None
        for other in accepted:
            if other is requested or other.part != requested.part:
                continue
            count += base_version < other.version < requested.version
    return count
