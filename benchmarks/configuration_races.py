"""Races of operators over the configuration, with lost answers, outages and cuts.

Every sheet of a race gives both organisations one share of its own, so that a state
tells which sheet made it and whether that sheet was applied whole.
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
CHANGES = 4  # of one operator
LOSS = 0.25
THINK_S = 0.1  # largest time between what an operator saw and the change
SETTLED_S = 1.5  # after the faults are over
NETWORK_DELAY_S = 0.0015
POLL_INTERVAL_S = 0.1

Design = Literal["teaseldyke", "naive"]
Store = ConfigurationStore | NaiveStore


@attrs.define
class Asked:
    """A change that an operator asked for, and what the operator was told.

    Parameters
    ----------
    change : ApplySheet or SetSwitch
        What was asked.
    change_id : str
        Its id.
    version : int
        Version that it was told to have made; 0 when it was refused.
    """

    change: ApplySheet | SetSwitch
    change_id: str
    version: int = 0

    @property
    def part(self) -> str:
        """Which part of the configuration it changes."""
        return self.change.name if isinstance(self.change, SetSwitch) else "sheet"

    @property
    def value(self) -> float:
        """What it gives that part."""
        if isinstance(self.change, SetSwitch):
            return float(self.change.out)
        return self.change.sheet.organisations["p"].share


@attrs.define
class RaceResult:
    """Harms that a race did.

    Parameters
    ----------
    accepted, refused : int
        Changes by what their operators were told.
    lost_changes : int
        Parts whose last accepted change is not in force at the end.
    reversions : int
        Times that a router went back to an older version.
    half_applied : int
        States in force that held a part of a sheet.
    both_won : int
        Accepted changes whose part had changed since the version they were made from.
    false_refusals : int
        Changes in force although their operators were told that they are not.
    late_routers : int
        Routers that are not at the last version when all faults are long over.
    unreadable : int
        Races at whose end the rows in the store do not fit each other.
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
        """Add the counts of another race."""
        for field in attrs.fields(RaceResult):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    @property
    def harms(self) -> int:
        """All harms together."""
        return sum(attrs.astuple(self)[2:])


@attrs.define(eq=False)
class Race:
    """One race: three routers, four operators and a store that fails.

    Parameters
    ----------
    design : {"teaseldyke", "naive"}
        What is raced over.
    seed : int
        Decides everything.
    """

    design: Design
    seed: int
    asked: list[Asked] = attrs.field(factory=list, init=False)
    seen: dict[str, list[Snapshot]] = attrs.field(factory=dict, init=False)
    stores: dict[str, Store] = attrs.field(factory=dict, init=False)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict, init=False)
    incarnation: int = attrs.field(default=0, init=False)
    _random: Random = attrs.field(init=False)
    _stamp: int = attrs.field(default=1, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)

    async def run(self) -> RaceResult:
        """Run the race and count the harms."""
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
            self.asked.append(Asked(first, "first", accepted.record.version))
            table.loss = LOSS
            async with trio.open_nursery() as operators:
                for operator in range(OPERATORS):
                    operators.start_soon(self._operate, operator, network)
                operators.start_soon(self._disturb, table, network, start)
            table.loss = 0.0
            await trio.sleep(SETTLED_S)
            store = _fresh_store(self.design, table, objects)
            try:
                result = self._judge(await store.load())
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
        seen: list[Snapshot] = []
        self.seen[f"{router}-{self.incarnation}"] = seen
        store = _fresh_store(self.design, table, objects)
        self.stores[router] = store
        self.scopes[router] = trio.CancelScope()
        run = _reader(store, network, router, seen.append, self.incarnation)
        nursery.start_soon(_run_in, self.scopes[router], run)

    async def _operate(self, operator: int, network: MemoryNetwork) -> None:
        for i in range(CHANGES):
            await trio.sleep(self._random.uniform(0, 2 * THINK_S))
            router = self._random.choice(ROUTERS)
            try:
                base_version = (await self.stores[router].load()).version
            except TeaseldykeError:
                continue
            await trio.sleep(self._random.uniform(0, THINK_S))
            change = self._draw_change(base_version)
            asked = Asked(change, f"{operator}-{i}")
            self.asked.append(asked)
            await self._ask(asked, f"operator-{operator}")

    async def _ask(self, asked: Asked, operator: str) -> None:
        """Ask for a change through any router, until told whether it was accepted."""
        unsettled = False
        while True:
            store = self.stores[self._random.choice(ROUTERS)]
            try:
                accepted = await store.change(asked.change, asked.change_id, operator)
            except TeaseldykeError as exc:
                unsettled = unsettled or exc.executed == "unknown"
                if not unsettled or exc.status != 503:
                    return
            else:
                asked.version = accepted.record.version
                return
            await trio.sleep(0.1)

    async def _disturb(
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
            self._stamp += 1
            return ApplySheet(self._sheet(self._stamp), base_version)
        out = self._random.random() < 0.5
        domain = self._random.choice(DOMAINS)
        return SetSwitch("failure-domain", domain, out, base_version)

    def _sheet(self, stamp: int) -> Sheet:
        share = float(stamp)
        organisations = {name: Organisation(name, share) for name in ("p", "q")}
        return Sheet(organisations, failure_domains=DOMAINS)

    def _judge(self, final: Snapshot) -> RaceResult:
        accepted = [asked for asked in self.asked if asked.version]
        refused = [asked for asked in self.asked if not asked.version]
        states = [snapshot for seen in self.seen.values() for snapshot in seen]
        in_force = {_value(snapshot, "sheet") for snapshot in [*states, final]}
        return RaceResult(
            accepted=len(accepted),
            refused=len(refused),
            lost_changes=sum(_is_lost(part, accepted, final) for part in _parts()),
            reversions=sum(_count_reversions(seen) for seen in self.seen.values()),
            half_applied=sum(map(_is_half_applied, [*states, final])),
            both_won=_count_both_won(accepted),
            false_refusals=sum(
                asked.part == "sheet" and asked.value in in_force for asked in refused
            ),
            late_routers=sum(
                self._last_version(router) != final.version for router in ROUTERS
            ),
        )

    def _last_version(self, router: str) -> int:
        incarnations = [seen for name, seen in self.seen.items() if name[0] == router]
        last = incarnations[-1]
        return last[-1].version if last else 0


def run_races(design: Design, seeds: range) -> RaceResult:
    """Run one race for each seed on a virtual clock and add up the harms."""
    total = RaceResult()
    for seed in seeds:
        _repeat_scheduling(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        total.add(trio.run(Race(design, seed).run, clock=clock))
    return total


def _repeat_scheduling(seed: int) -> None:
    """Let trio run tasks in an order that the seed decides, as pytest-trio does."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)


def _fresh_store(
    design: Design, table: UnreliableTable, objects: MemoryObjectStore
) -> Store:
    if design == "naive":
        return NaiveStore(table)
    return ConfigurationStore(table, objects)


def _reader(
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


async def _run_in(scope: trio.CancelScope, run: Callable[[], object]) -> None:
    with scope:
        await run()  # type: ignore[misc]


def _parts() -> tuple[str, ...]:
    return ("sheet", *DOMAINS)


def _value(snapshot: Snapshot, part: str) -> float:
    if part == "sheet":
        organisation = snapshot.sheet.organisations.get("p")
        return 0.0 if organisation is None else organisation.share
    return float(part in snapshot.switches.failure_domains_out)


def _is_lost(part: str, accepted: list[Asked], final: Snapshot) -> bool:
    changes = [asked for asked in accepted if asked.part == part]
    if not changes:
        return False
    last = max(changes, key=lambda asked: asked.version)
    return _value(final, part) != last.value


def _count_reversions(seen: list[Snapshot]) -> int:
    versions = [snapshot.version for snapshot in seen]
    return sum(after < before for before, after in pairwise(versions))


def _is_half_applied(snapshot: Snapshot) -> bool:
    shares = {o.share for o in snapshot.sheet.organisations.values()}
    return len(shares) > 1


def _count_both_won(accepted: list[Asked]) -> int:
    """Count changes that were accepted over another one their operator had not seen."""
    same_version = Counter(asked.version for asked in accepted)
    count = sum(number - 1 for number in same_version.values())
    for asked in accepted:
        base_version = asked.change.base_version
        assert base_version is not None
        for other in accepted:
            if other is asked or other.part != asked.part:
                continue
            count += base_version < other.version < asked.version
    return count
