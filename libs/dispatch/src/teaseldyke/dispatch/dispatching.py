"""One router's participation in fair dispatch across the fleet."""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import count
from random import Random

import attrs
import trio
from absl import logging

from teaseldyke.capacity import CapacityLease, LoadSource
from teaseldyke.peers import Membership, PeerLinks
from teaseldyke.timers import Timers
from teaseldyke.types import Configuration

from .candidates import Candidates
from .dispatcher import Dispatcher
from .errors import (
    NotReady,
    OrganisationRefused,
    QueueFull,
    QueueTimeout,
    ServiceUnknown,
)
from .mailbox import Mailbox
from .messages import GrantBatch, Probe, Report
from .options import DispatchOptions
from .permit import Completion, Permit
from .polls import LoadPoller
from .service_queues import ServiceQueues
from .shard_client import ShardClient
from .shards import Shard, shards_of
from .snapshot import DispatchSnapshot
from .status import build_snapshot
from .waiting import Waiter

PROBE_INTERVAL_S = 0.5
IDLE_TICKS = 10  # ticks between two checks of an idle shard
DRAIN_POLL_S = 0.02


@attrs.define(eq=False)
class Dispatching:
    """Queues requests and issues permits to send them.

    Parameters
    ----------
    name : str
        Name of this router.
    links : PeerLinks
        Links to the other routers.
    membership : Membership
        Members of the fleet.
    load_source : LoadSource, optional
        Fetches load reports from the backend servers.
    options : DispatchOptions
        Timing and limits.
    seed : int
        Seed of the jitter of load polls.
    """

    name: str
    links: PeerLinks
    membership: Membership
    load_source: LoadSource | None = None
    options: DispatchOptions = attrs.field(factory=DispatchOptions)
    seed: int = 0
    candidates: Candidates = attrs.field(init=False)
    clients: dict[str, ShardClient] = attrs.field(factory=dict, init=False)
    dispatchers: dict[str, Dispatcher] = attrs.field(factory=dict, init=False)
    queues: dict[str, ServiceQueues] = attrs.field(factory=dict, init=False)
    configuration: Configuration | None = attrs.field(default=None, init=False)
    _loopback: Mailbox = attrs.field(init=False)
    _grant_numbers: Iterator[int] = attrs.field(factory=lambda: count(1), init=False)
    _ticks: int = attrs.field(default=0, init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event, init=False)
    _load_poller: LoadPoller | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._loopback = Mailbox(lambda message: self._handle(self.name, message))
        self.candidates = Candidates(
            self.name,
            self.membership,
            self.links,
            self.membership.clock,
            self.options.holders_max,
        )
        self.links.subscribe(Report, self._on_message)
        self.links.subscribe(GrantBatch, self._on_message)
        self.links.subscribe(Probe, self._on_probe)
        if self.load_source is not None:
            self._load_poller = LoadPoller(
                self.load_source,
                self.options,
                self._acting_dispatcher,
                Random(self.seed),
            )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Report, dispatch and poll until cancelled."""
        async with trio.open_nursery() as nursery:
            timers = Timers(nursery)

            async def tick() -> None:
                self._tick(nursery)

            async def probe() -> None:
                self.candidates.probe_suspects()

            timers.every(self.options.tick_s, tick)
            timers.every(PROBE_INTERVAL_S, probe)
            task_status.started()
            await self._flush_when_due()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration, also to queued requests and unused permits."""
        known = self.configuration
        if known is not None and configuration.version < known.version:
            return
        self.configuration = configuration
        self.candidates.instances_out = configuration.switches.instances_out
        for service in configuration.services.values():
            queues = self.queues.setdefault(service.name, ServiceQueues(service))
            queues.service = service
        shards = shards_of(configuration)
        for shard in shards.values():
            self._apply_shard(shard, configuration)
        for name in set(self.clients) - set(shards):
            del self.clients[name]
        for name in set(self.dispatchers) - set(shards):
            del self.dispatchers[name]
        self._fail_disabled()

    async def acquire(
        self,
        service: str,
        organisation: str,
        *,
        estimate_cost: float,
        deadline_at_s: float = math.inf,
        avoid: frozenset[str] = frozenset(),
        first_at_s: float | None = None,
    ) -> Permit:
        """Wait for a permit to send one request.

        Parameters
        ----------
        service, organisation : str
            Service that the request is for, and organisation that sends it.
        estimate_cost : float
            Expected cost, used until measured costs are known.
        deadline_at_s : float
            Latest time to send, on trio's clock; the service's queue timeout applies
            as well.
        avoid : frozenset of str
            Backend servers at which earlier attempts failed.
        first_at_s : float, optional
            When the first attempt was queued, so that a retry keeps the request's age.

        Raises
        ------
        DispatchError
            One of its subclasses; the request was not sent.
        """
        queues = self._checked_queues(service, organisation)
        queue = queues[organisation]
        now_s = trio.current_time()
        if len(queue) >= queues.service.queue_limit:
            raise QueueFull(
                f"queue for {service!r} is full: {len(queue)} requests of"
                f" {organisation!r} are queued",
                retry_after_s=queues.retry_after_s(organisation, now_s),
            )
        first_s = now_s if first_at_s is None else first_at_s
        deadline_s = min(deadline_at_s, first_s + queues.service.queue_timeout_s)
        avoid = self._effective_avoid(service, avoid)
        waiter = Waiter(organisation, first_s, avoid, deadline_at_s)
        queues.cost_hints[organisation] = estimate_cost
        queue.add(waiter)
        self._report_queue_change(service)
        await self._wait(waiter, deadline_s, queues)
        if waiter.error is not None:
            raise waiter.error
        if waiter.permit is None:
            raise QueueTimeout(
                f"no backend server of {service!r} was free for {organisation!r}"
                f" within {deadline_s - first_s:.3g} s",
                retry_after_s=queues.retry_after_s(organisation, trio.current_time()),
            )
        return waiter.permit

    async def drain(self) -> None:
        """Retire as dispatcher, and wait until queued and running requests are done."""
        others = self.membership.members - {self.name}
        if any(self.candidates.is_usable(name) for name in others):
            self.candidates.draining.add(self.name)
            for dispatcher in self.dispatchers.values():
                dispatcher.retire(draining=True)
        logging.info("dispatch state=draining router=%s", self.name)
        while self._has_work():
            await trio.sleep(DRAIN_POLL_S)

    def snapshot(self) -> DispatchSnapshot:
        """Return queues, effective limits and roles, for the status page."""
        return build_snapshot(self)

    def _checked_queues(self, service: str, organisation: str) -> ServiceQueues:
        configuration = self.configuration
        if configuration is None:
            raise NotReady("no configuration has been loaded yet", retry_after_s=1.0)
        if service not in configuration.services:
            known = ", ".join(sorted(configuration.services))
            raise ServiceUnknown(f"service {service!r} is unknown; known: {known}")
        if not _is_enabled(configuration, organisation):
            raise OrganisationRefused(
                f"organisation {organisation!r} is unknown or disabled in"
                f" configuration version {configuration.version}"
            )
        return self.queues[service]

    def _effective_avoid(self, service: str, avoid: frozenset[str]) -> frozenset[str]:
        if not avoid or self.configuration is None:
            return frozenset()
        for server in self.configuration.servers_of(service):
            if server.name in avoid or self.configuration.is_out(server):
                continue
            if server.name not in self.membership.leaving_servers:
                return avoid
        return frozenset()

    async def _wait(
        self, waiter: Waiter, deadline_s: float, queues: ServiceQueues
    ) -> None:
        try:
            with trio.CancelScope(deadline=deadline_s):
                await waiter.wake.wait()
        except trio.Cancelled:
            if waiter.permit is not None:
                waiter.permit.finish(0.0, Completion.UNUSED)
            raise
        finally:
            if waiter.permit is None:
                queues[waiter.organisation].discard(waiter)
                self._report_queue_change(queues.service.name)

    def _fail_disabled(self) -> None:
        configuration = self.configuration
        if configuration is None:
            return
        for queues in self.queues.values():
            for queue in queues:
                if _is_enabled(configuration, queue.organisation):
                    continue
                error = OrganisationRefused(
                    f"organisation {queue.organisation!r} was disabled"
                )
                queues.fail_all(queue.organisation, error)

    def _apply_shard(self, shard: Shard, configuration: Configuration) -> None:
        client = self.clients.get(shard.name)
        if client is None:
            client = self._new_client(shard, configuration)
            self.clients[shard.name] = client
        client.apply(shard, configuration)
        dispatcher = self.dispatchers.get(shard.name)
        if dispatcher is None:
            dispatcher = Dispatcher(
                shard=shard,
                name=self.name,
                incarnation=self.membership.incarnation,
                candidates=self.candidates,
                options=self.options,
                clock=self.membership.clock,
                send=self._send,
                polls_load=self.load_source is not None,
                grant_numbers=self._grant_numbers,
            )
            self.dispatchers[shard.name] = dispatcher
        dispatcher.apply(shard, configuration)

    def _new_client(self, shard: Shard, configuration: Configuration) -> ShardClient:
        clock = self.membership.clock
        held_until_s = -math.inf
        for client in self.clients.values():
            if client.shard.service.name == shard.service.name:
                # Leases under an earlier sharding of the service may still run.
                held_until_s = clock() + self.options.lease_s
        return ShardClient(
            shard=shard,
            queues=self.queues[shard.service.name],
            membership=self.membership,
            candidates=self.candidates,
            options=self.options,
            clock=clock,
            send=self._send,
            on_change=self._wake_flusher,
            lease=CapacityLease(self.options.lease_s, math.inf),
            configuration=configuration,
            held_until_s=held_until_s,
        )

    def _report_queue_change(self, service: str) -> None:
        now_s = self.membership.clock()
        for client in list(self.clients.values()):
            if client.shard.service.name != service:
                continue
            client.changed = True
            if client.due_at_s(now_s) <= now_s:
                client.flush()
        self._wake_flusher()

    def _wake_flusher(self) -> None:
        self._wake.set()

    async def _flush_when_due(self) -> None:
        while True:
            self._wake = trio.Event()
            now_s = self.membership.clock()
            due_at_s = math.inf
            for client in list(self.clients.values()):
                if client.due_at_s(now_s) <= now_s:
                    client.flush()
                due_at_s = min(due_at_s, client.due_at_s(now_s))
            with trio.CancelScope(deadline=due_at_s):
                await self._wake.wait()

    def _tick(self, nursery: trio.Nursery) -> None:
        """Step busy shards in every tick, idle ones every `IDLE_TICKS` ticks."""
        self._ticks += 1
        all_are_due = self._ticks % IDLE_TICKS == 0
        now_s = self.membership.clock()
        for client in self.clients.values():
            if all_are_due or client.is_active(now_s):
                client.select_dispatcher()
        wanted = set()
        for dispatcher in self.dispatchers.values():
            if all_are_due or dispatcher.is_busy:
                dispatcher.tick()
            if not dispatcher.is_acting:
                continue
            for server in dispatcher.shard.servers:
                wanted.add((dispatcher.shard.name, server))
        if self._load_poller is not None:
            self._load_poller.update(nursery, wanted)

    def _acting_dispatcher(self, shard: str) -> Dispatcher | None:
        dispatcher = self.dispatchers.get(shard)
        if dispatcher is None or not dispatcher.is_acting:
            return None
        return dispatcher

    def _send(self, receiver: str, message: object) -> None:
        if receiver != self.name:
            self.links.send(receiver, message)
            return
        self._loopback.post(message)

    async def _on_message(self, sender: str, message: object) -> None:
        self._handle(sender, message)

    def _handle(self, sender: str, message: object) -> None:
        if isinstance(message, Report):
            dispatcher = self.dispatchers.get(message.shard)
            if dispatcher is not None:
                dispatcher.handle_report(sender, message)
        if isinstance(message, GrantBatch):
            client = self.clients.get(message.shard)
            if client is not None:
                client.handle_batch(sender, message)

    async def _on_probe(self, sender: str, probe: Probe) -> None:
        if not probe.is_answer:
            self.links.send(sender, Probe(is_answer=True))

    def _has_work(self) -> bool:
        if any(client.permits for client in self.clients.values()):
            return True
        if any(queues.waiting for queues in self.queues.values()):
            return True
        if self.name not in self.candidates.draining:
            return False
        return any(d.is_acting for d in self.dispatchers.values())


def _is_enabled(configuration: Configuration, organisation: str) -> bool:
    known = configuration.organisations.get(organisation)
    if known is None or known.disabled:
        return False
    return organisation not in configuration.switches.organisations_disabled
