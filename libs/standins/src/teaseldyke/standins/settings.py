"""Settings of the stand-in processes."""

from __future__ import annotations

import attrs

from teaseldyke.settings import NAME_PATTERN, Address, spec


@attrs.frozen
class ViewSettings:
    """A further address of the platform, whose instance list shows relay addresses."""

    listen: Address = attrs.field(
        metadata=spec("Address of table service, object store and instance list.")
    )
    aliases: dict[str, Address] = attrs.field(
        factory=dict,
        metadata=spec("Address shown in the instance list, by instance name."),
    )


@attrs.frozen
class PlatformSettings:
    """Settings of the stand-in for the platform."""

    listen: Address = attrs.field(
        metadata=spec("Address of table service, object store and instance list.")
    )
    aliases: dict[str, Address] = attrs.field(
        factory=dict,
        metadata=spec("Address shown in the instance list, by instance name."),
    )
    views: list[ViewSettings] = attrs.field(
        factory=list,
        metadata=spec("Further addresses, for callers that reach others over relays."),
    )
    list_lag_s: float = attrs.field(
        default=0.0,
        metadata=spec("Delay until the instance list shows a change.", low=0, high=60),
    )
    reads_per_s: float | None = attrs.field(
        default=None,
        metadata=spec("Table reads a second above which calls are refused.", low=1),
    )
    writes_per_s: float | None = attrs.field(
        default=None,
        metadata=spec("Rows written a second above which calls are refused.", low=1),
    )
    connections: int = attrs.field(
        default=4096,
        metadata=spec("Largest number of open connections.", low=1, high=1000000),
    )


@attrs.frozen(kw_only=True)
class ServerSettings:
    """Settings common to engines and plain services."""

    name: str = attrs.field(
        metadata=spec("Unique name of the backend server.", pattern=NAME_PATTERN)
    )
    failure_domain: str = attrs.field(
        metadata=spec("Failure domain of the backend server.", pattern=NAME_PATTERN)
    )
    listen: Address = attrs.field(metadata=spec("Address that accepts requests."))
    platform: Address | None = attrs.field(
        default=None,
        metadata=spec("Platform in whose instance list the server is announced."),
    )
    announce_ttl_s: float = attrs.field(
        default=3.0,
        metadata=spec("Time to live of an announcement.", low=0.3, high=600),
    )
    leave_s: float = attrs.field(
        default=2.0,
        metadata=spec("Shortest time between SIGTERM and exit.", low=0, high=600),
    )
    limit: int = attrs.field(
        default=8,
        metadata=spec("Concurrent requests at full speed.", low=1, high=10000),
    )
    cold_limit: int = attrs.field(
        default=1,
        metadata=spec("Concurrent requests that a cold server survives.", low=1),
    )
    warm_after_requests: int = attrs.field(
        default=8, metadata=spec("Completed requests until the server is warm.", low=0)
    )
    die: bool = attrs.field(
        default=True,
        metadata=spec("Whether a request above cold_limit ends the process."),
    )
    load_lag_s: float = attrs.field(
        default=0.0,
        metadata=spec("Delay until the load report shows a change.", low=0, high=60),
    )
    connections: int = attrs.field(
        default=4096,
        metadata=spec("Largest number of open connections.", low=1, high=1000000),
    )


@attrs.frozen(kw_only=True)
class EngineSettings(ServerSettings):
    """Settings of the stand-in for a model engine."""

    tokens_per_s: float = attrs.field(
        default=50.0,
        metadata=spec(
            "Tokens a second of each request while at most limit run.",
            low=0.1,
            high=1e6,
        ),
    )
    prefill_s: float = attrs.field(
        default=0.1,
        metadata=spec("Prefill time of 1,000 prompt tokens.", low=0, high=600),
    )
    prefix_entries: int = attrs.field(
        default=64,
        metadata=spec("Capacity of the prefix cache, in prompt prefixes.", low=0),
    )


@attrs.frozen(kw_only=True)
class ServiceSettings(ServerSettings):
    """Settings of the stand-in for a plain service."""

    work_s: float = attrs.field(
        default=0.02, metadata=spec("Execution time of a request.", low=0, high=600)
    )
    checks_fencing: bool = attrs.field(
        default=False,
        metadata=spec("Whether a request with an old fencing number is refused."),
    )


@attrs.frozen
class RouteSettings:
    """A listening address of a relay and its target."""

    name: str = attrs.field(
        metadata=spec("Name of the route in orders.", pattern=NAME_PATTERN)
    )
    listen: Address = attrs.field(metadata=spec("Address that accepts connections."))
    target: Address = attrs.field(metadata=spec("Address that they are relayed to."))


@attrs.frozen
class RelaySettings:
    """Settings of a TCP relay."""

    admin: Address = attrs.field(
        metadata=spec("Administration address, which accepts orders.")
    )
    routes: list[RouteSettings] = attrs.field(metadata=spec("Routes of the relay."))
