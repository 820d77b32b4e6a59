"""Sharding of a service's backend servers across dispatchers."""

from __future__ import annotations

import attrs

from teaseldyke.capacity import rendezvous_order
from teaseldyke.types import BackendServer, Configuration, Service


@attrs.frozen
class Shard:
    """Subset of a service's backend servers, granted by one dispatcher.

    Parameters
    ----------
    name : str
        Unique over all services.
    service : Service
        Service that the shard belongs to.
    servers : dict of str to BackendServer
        By name, including those that are taken out of service.
    """

    name: str
    service: Service
    servers: dict[str, BackendServer]


def shards_of(configuration: Configuration) -> dict[str, Shard]:
    """Return every shard of a configuration by name.

    A backend server changes its shard only when the number of shards changes.

    Examples
    --------
    >>> service = Service("llm", "engine", 8)
    >>> shards_of(Configuration(1, services={"llm": service})).keys()
    dict_keys(['llm/0-of-1'])
    """
    shards: dict[str, Shard] = {}
    for service in configuration.services.values():
        names = [_name(service, index) for index in range(service.shards)]
        for name in names:
            shards[name] = Shard(name, service, {})
        for server in configuration.servers_of(service.name):
            owner = rendezvous_order(server.name, names)[0]
            shards[owner].servers[server.name] = server
    return shards


def _name(service: Service, index: int) -> str:
    return f"{service.name}/{index}-of-{service.shards}"
