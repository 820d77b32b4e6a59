"""Parts of a router's report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .messages import Demand, Holding, ServerCounts, grant_number
from .permit import Completion, Permit

if TYPE_CHECKING:
    from .shard_client import ShardClient

DEMAND_ENTRIES_MAX = 64


@attrs.define
class Counts:
    """Cumulative results at one backend server."""

    completed: int = 0
    failed: int = 0
    refused: int = 0
    cold: int = 0

    def add(self, completion: Completion) -> None:
        """Count the end of one request."""
        if completion is Completion.OK:
            self.completed += 1
        elif completion is Completion.FAILED:
            self.failed += 1
        elif completion is Completion.REFUSED:
            self.refused += 1

    def message(self, server: str) -> ServerCounts:
        """Return the message part for a backend server."""
        return ServerCounts(
            server, self.completed, self.failed, self.refused, self.cold
        )


def running_of(client: ShardClient) -> tuple[int, ...]:
    """Return the numbers of the current dispatcher's grants that are in use."""
    numbers = []
    for permit in client.permits.values():
        if permit.is_sent and _is_known(client, permit):
            numbers.append(grant_number(permit.grant_id))
    return tuple(numbers)


def _is_known(client: ShardClient, permit: Permit) -> bool:
    if client.list_all:
        return False
    lease = client.lease
    return permit.dispatcher == (lease.dispatcher, lease.incarnation)


def holdings_of(client: ShardClient) -> tuple[Holding, ...]:
    """Return the grants that a router holds unused, or has of other dispatchers."""
    holdings = []
    for permit in client.permits.values():
        if permit.is_sent and _is_known(client, permit):
            continue
        holdings.append(
            Holding(
                permit.grant_id,
                permit.organisation,
                permit.server.name,
                permit.estimate_cost,
                permit.is_sent,
            )
        )
    return tuple(holdings)


def demand_of(client: ShardClient, now_s: float) -> tuple[Demand, ...]:
    """Return the demand entries that matter most, the least served first."""
    queues = client.queues
    here: dict[str, float] = {}
    for permit in client.permits.values():
        known = here.get(permit.organisation, 0.0)
        here[permit.organisation] = known + permit.estimate_cost
    entries = []
    for queue in queues:
        name = queue.organisation
        served_cost = queues.served.total(name)
        if not queue and not served_cost:
            continue
        waiting = len(queue)
        outstanding = queues.outstanding.get(name, 0.0)
        avoid = queue.avoided() & client.shard.servers.keys()
        entries.append(
            Demand(
                organisation=name,
                waiting=waiting,
                oldest_age_s=now_s - queue.oldest_at_s if waiting else 0.0,
                estimate_cost=queues.estimate(name),
                served_cost=served_cost,
                elsewhere_cost=max(0.0, outstanding - here.get(name, 0.0)),
                virtual_time=client.virtual_times.get(name, 0.0),
                avoid=tuple(sorted(avoid)),
            )
        )
    entries.sort(key=lambda entry: (entry.waiting == 0, entry.virtual_time))
    return tuple(entries[:DEMAND_ENTRIES_MAX])
