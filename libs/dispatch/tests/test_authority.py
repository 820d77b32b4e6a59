"""Requests sent with valid permits stay within the limit of a backend server."""

from __future__ import annotations

import math
from random import Random

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from teaseldyke.capacity import LoadReport
from teaseldyke.dispatch import (
    Completion,
    Dispatching,
    DispatchOptions,
    Permit,
    PermitLapsed,
)
from teaseldyke.dispatch.messages import GrantBatch, Report
from teaseldyke.dispatch.waiting import Waiter
from teaseldyke.peers import LinkState, Membership
from teaseldyke.platform import Instance
from teaseldyke.types import BackendServer, Configuration, Organisation, Service

LIMIT = 4
STEP_S = 0.025
LIST_LAG_S = 0.5
LIST_INTERVAL_S = 0.25
LOAD_INTERVAL_S = 0.25
LOAD_LAG_S = 0.5
OPTIONS = DispatchOptions(lease_s=1.0, join_delay_s=2.0, load_lag_s=LOAD_LAG_S)
NAMES = ("a", "b", "c", "d", "e")


@attrs.define(eq=False)
class Process:
    """One router process, with its own clock offset."""

    name: str
    world: World
    clock_offset_s: float
    paused: bool = False
    received: list[tuple[str, object]] = attrs.field(factory=list)
    router: Dispatching = attrs.field(init=False)
    handlers: dict[type, object] = attrs.field(factory=dict)
    waiters: list[Waiter] = attrs.field(factory=list)
    running: list[tuple[float, Permit]] = attrs.field(factory=list)
    list_due_at_s: float = 0.0
    load_due_at_s: float = 0.0
    tick_due_at_s: float = 0.0

    def clock(self) -> float:
        return self.world.now_s + self.clock_offset_s

    def subscribe(self, message_type: type, handler: object) -> None:
        self.handlers[message_type] = handler

    def send(self, peer: str, message: object) -> None:
        self.world.post(self.name, peer, message)

    def state(self, peer: str) -> LinkState:
        return self.world.link_state(self.name, peer)

    def last_received_at_s(self, peer: str) -> float:
        return self.world.heard.get((self, peer), -math.inf)

    def receive(self, sender: str, message: object) -> None:
        self.world.heard[self, sender] = self.clock()
        if isinstance(message, Report | GrantBatch):
            self.router._handle(sender, message)

    def run_step(self) -> None:
        """Run what the tasks of the process would do in one time step."""
        self.finish_requests()
        for organisation in ("x", "y"):
            while len(self.router.queues["llm"][organisation]) < self.world.demand:
                self.add(organisation)
        received, self.received = self.received, []
        for sender, message in received:
            self.receive(sender, message)
        if self.world.now_s >= self.list_due_at_s:
            self.list_due_at_s = self.world.now_s + LIST_INTERVAL_S
            if not self.world.list_is_down:
                self.router.membership.update(self.world.listed())
        if self.world.now_s >= self.tick_due_at_s:
            self.tick_due_at_s = self.world.now_s + OPTIONS.tick_s
            for client in self.router.clients.values():
                client.select_dispatcher()
            for dispatcher in self.router.dispatchers.values():
                dispatcher.tick()
        if self.world.now_s >= self.load_due_at_s:
            self.load_due_at_s = self.world.now_s + LOAD_INTERVAL_S
            self.poll_load()
        for client in self.router.clients.values():
            if client.due_at_s(self.clock()) <= self.clock():
                client.flush()
        self.use_permits()

    def poll_load(self) -> None:
        for dispatcher in self.router.dispatchers.values():
            if not dispatcher.is_acting:
                continue
            report = LoadReport(1.0, self.world.lagged_running(), 0, 0)
            dispatcher.record_load_report("engine", report, self.clock())

    def use_permits(self) -> None:
        for waiter in list(self.waiters):
            if waiter.permit is None or self.world.random.random() < self.world.hold:
                continue
            self.waiters.remove(waiter)
            try:
                waiter.permit.check()
            except PermitLapsed:
                continue
            waiter.permit.mark_sent()
            duration_s = self.world.random.choice((0.05, 0.3, 2.0))
            self.running.append((self.world.now_s + duration_s, waiter.permit))
            self.world.begin()

    def finish_requests(self) -> None:
        for item in list(self.running):
            ends_at_s, permit = item
            if ends_at_s <= self.world.now_s:
                self.running.remove(item)
                self.world.running -= 1
                permit.finish(1.0, Completion.OK)

    def add(self, organisation: str) -> None:
        waiter = Waiter(organisation, self.clock())
        self.waiters.append(waiter)
        self.router.queues["llm"][organisation].add(waiter)
        self.router._report_queue_change("llm")


@attrs.define(eq=False)
class World:
    """Processes, the network between them and one backend server."""

    random: Random
    options: DispatchOptions = OPTIONS
    now_s: float = 1000.0
    processes: dict[str, Process] = attrs.field(factory=dict)
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    list_is_down: bool = False
    delay_max_s: float = 0.05
    loss: float = 0.0
    repeats: bool = False
    heard: dict[tuple[Process, str], float] = attrs.field(factory=dict)
    in_transit: list[tuple[float, str, Process, object]] = attrs.field(factory=list)
    running: int = 0
    zombies: list[float] = attrs.field(factory=list)
    began: int = 0
    history: list[tuple[float, int]] = attrs.field(factory=list)
    lists: list[tuple[float, frozenset[str]]] = attrs.field(factory=list)
    listed_until_s: dict[str, float] = attrs.field(factory=dict)
    worst: int = 0
    demand: int = 3
    hold: float = 0.5

    def start(self, name: str) -> None:
        process = Process(name, self, self.random.uniform(0, 1e6))
        membership = Membership(
            name,
            list_max_age_s=1.0,
            clock=process.clock,
            incarnation=self.random.randrange(1, 2**31),
        )
        process.router = Dispatching(
            name, process, membership, self, options=self.options
        )
        process.router._load_poller = None
        process.router.apply_configuration(CONFIGURATION)
        self.processes[name] = process

    def link_state(self, one: str, other: str) -> LinkState:
        if frozenset((one, other)) in self.cuts:
            return LinkState.DOWN
        return LinkState.UP if other in self.processes else LinkState.GONE

    def post(self, sender: str, receiver: str, message: object) -> None:
        if self.link_state(sender, receiver) is not LinkState.UP:
            return
        if self.random.random() < self.loss:
            return
        for _ in range(1 + self.repeats):
            due_at_s = self.now_s + self.random.uniform(0.0, self.delay_max_s)
            process = self.processes[receiver]
            self.in_transit.append((due_at_s, sender, process, message))

    def listed(self) -> list[Instance]:
        names: frozenset[str] = frozenset()
        for at_s, listed in self.lists:
            if at_s <= self.now_s - LIST_LAG_S:
                names = listed
        return [Instance(n, "router", "live", "z", "127.0.0.1", 1) for n in names]

    def lagged_running(self) -> int:
        at_s = self.now_s - self.random.uniform(0.0, LOAD_LAG_S)
        running = 0
        for since_s, count in self.history:
            if since_s <= at_s:
                running = count
        return running

    def begin(self) -> None:
        self.running += 1
        self.began += 1
        self.worst = max(self.worst, self.running)

    def step(self) -> None:
        self.now_s += STEP_S
        for name in self.processes:
            self.listed_until_s[name] = self.now_s + 5.0
        names = {
            n for n, until_s in self.listed_until_s.items() if until_s > self.now_s
        }
        self.lists.append((self.now_s, frozenset(names)))
        for ends_at_s in list(self.zombies):
            if ends_at_s <= self.now_s:
                self.zombies.remove(ends_at_s)
                self.running -= 1
        due = [item for item in self.in_transit if item[0] <= self.now_s]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now_s]
        for _, sender, process, message in due:
            process.received.append((sender, message))
        for process in list(self.processes.values()):
            if not process.paused:
                process.run_step()
        self.history.append((self.now_s, self.running))
        del self.history[:-100], self.lists[:-100]


CONFIGURATION = Configuration(
    version=1,
    organisations={"x": Organisation("x", 1.0), "y": Organisation("y", 2.0)},
    services={"llm": Service("llm", "engine", LIMIT, warm_after_requests=0)},
    backend_servers={"engine": BackendServer("engine", "llm", "127.0.0.1", 1, "z")},
)


SECONDS = st.sampled_from([0.05, 0.3, 0.6, 1.0, 2.5])
INDEX = st.integers(0, len(NAMES) - 1)


class Authority(RuleBasedStateMachine):
    """Faults at any moment, under a demand that never ends."""

    options = OPTIONS

    @initialize(seed=st.integers(0, 2**32), routers=st.integers(2, 4))
    def begin(self, seed: int, routers: int) -> None:
        self.world = World(Random(seed), self.options)
        for name in NAMES[:routers]:
            self.world.start(name)
        self.advance(3.5)

    def process(self, index: int) -> Process | None:
        found = sorted(self.world.processes)
        return self.world.processes[found[index % len(found)]] if found else None

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.world.step()
            assert self.world.worst <= LIMIT

    @rule(index=INDEX, seconds=SECONDS, after_s=SECONDS)
    def pause(self, index: int, seconds: float, after_s: float) -> None:
        process = self.process(index)
        if process is None:
            return
        process.paused = True
        self.advance(seconds)
        process.paused = False
        self.advance(after_s)

    @rule(index=INDEX, seconds=SECONDS)
    def kill(self, index: int, seconds: float) -> None:
        process = self.process(index)
        if process is None:
            return
        del self.world.processes[process.name]
        self.world.zombies += [ends_at_s for ends_at_s, _ in process.running]
        self.advance(seconds)

    @rule(name=st.sampled_from(NAMES), seconds=SECONDS)
    def start(self, name: str, seconds: float) -> None:
        if name not in self.world.processes:
            self.world.start(name)
        self.advance(seconds)

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES), seconds=SECONDS)
    def cut(self, one: str, other: str, seconds: float) -> None:
        if one != other:
            self.world.cuts.add(frozenset((one, other)))
        self.advance(seconds)

    @rule(name=st.sampled_from(NAMES), seconds=SECONDS)
    def isolate(self, name: str, seconds: float) -> None:
        for other in NAMES:
            if other != name:
                self.world.cuts.add(frozenset((name, other)))
        self.advance(seconds)

    @rule(seconds=SECONDS)
    def heal(self, seconds: float) -> None:
        self.world.cuts.clear()
        self.world.list_is_down = False
        self.advance(seconds)

    @rule(seconds=SECONDS)
    def lose_list(self, seconds: float) -> None:
        self.world.list_is_down = True
        self.advance(seconds)

    @rule(
        delay_max_s=st.sampled_from([0.0, 0.05, 0.4]),
        loss=st.sampled_from([0.0, 0.3]),
        repeats=st.booleans(),
        demand=st.sampled_from([0, 3]),
        hold=st.sampled_from([0.0, 0.5, 0.95]),
    )
    def weather(
        self, delay_max_s: float, loss: float, repeats: bool, demand: int, hold: float
    ) -> None:
        self.world.hold = hold
        self.world.delay_max_s = delay_max_s
        self.world.loss = loss
        self.world.repeats = repeats
        self.world.demand = demand
        self.advance(0.3)


class AuthorityOfFewHolders(Authority):
    """The same in a fleet with more routers than holders of a part."""

    options = attrs.evolve(OPTIONS, holders_max=3)


# Hypothesis derives the seed of derandomized runs from the source of the state
# machines: any edit inside them, except to comments, changes the tested sequences.
SETTINGS = settings(
    derandomize=True,
    max_examples=15,
    stateful_step_count=12,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

TestAuthority = pytest.mark.promise("cold-backend-server")(Authority.TestCase)
TestAuthority.settings = SETTINGS
TestAuthorityOfFewHolders = pytest.mark.promise("cold-backend-server")(
    AuthorityOfFewHolders.TestCase
)
TestAuthorityOfFewHolders.settings = SETTINGS
