"""Builds the status snapshot of a router's dispatch state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .dispatcher import Dispatcher
from .snapshot import DispatchSnapshot, QueueSnapshot, ServerSnapshot, ShardSnapshot

if TYPE_CHECKING:
    from .dispatching import Dispatching


def build_snapshot(dispatching: Dispatching) -> DispatchSnapshot:
    """Return queues, effective limits and roles of a router."""
    now_s = dispatching.membership.clock()
    queues = []
    for service, service_queues in dispatching.queues.items():
        for queue in service_queues:
            if not queue:
                continue
            age_s = now_s - queue.oldest_at_s
            name = queue.organisation
            queues.append(QueueSnapshot(service, name, len(queue), age_s))
    shards = []
    running = 0
    for name, client in dispatching.clients.items():
        running += len(client.permits)
        dispatcher = dispatching.dispatchers[name]
        acting = dispatcher.is_acting
        shards.append(
            ShardSnapshot(
                shard=name,
                dispatcher=client.lease.dispatcher or "",
                is_acting=acting,
                servers=_server_snapshots(dispatcher, now_s) if acting else (),
                gap=_virtual_time_gap(dispatcher) if acting else 0.0,
            )
        )
    return DispatchSnapshot(tuple(queues), tuple(shards), running)


def _server_snapshots(
    dispatcher: Dispatcher, now_s: float
) -> tuple[ServerSnapshot, ...]:
    servers = []
    for name, slots in sorted(dispatcher.slots.items()):
        servers.append(
            ServerSnapshot(
                server=name,
                limit=slots.limit(now_s),
                in_flight=slots.in_flight,
                foreign=slots.foreign.count,
                is_ejected=slots.ejection.is_ejected(now_s),
            )
        )
    return tuple(servers)


def _virtual_time_gap(dispatcher: Dispatcher) -> float:
    tags = []
    for _, account in dispatcher.accounts.items():
        if account.backlogged:
            tags.append(account.start_tag)
    return max(tags) - min(tags) if tags else 0.0
