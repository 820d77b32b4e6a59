"""Settings of the stand-in processes."""

from __future__ import annotations

import attrs

from teaseldyke.settings import NAME_PATTERN, Address, spec


@attrs.frozen
class ViewSettings:
    """Another address of the platform, whose instance list names relays."""

    listen: Address = attrs.field(metadata=spec("Address of the three services."))
    aliases: dict[str, Address] = attrs.field(
        factory=dict,
        metadata=spec("Address shown in the instance list, by name of instance."),
    )


@attrs.frozen
class PlatformSettings:
    """What a stand-in for the platform is told when it starts."""

    listen: Address = attrs.field(metadata=spec("Address of the three services."))
    aliases: dict[str, Address] = attrs.field(
        factory=dict,
        metadata=spec("Address shown in the instance list, by name of instance."),
    )
    views: list[ViewSettings] = attrs.field(
        factory=list,
        metadata=spec("Further addresses, for callers that see others over relays."),
    )
    list_lag_s: float = attrs.field(
        default=0.0,
        metadata=spec("Age of what the instance list shows.", low=0, high=60),
    )
    reads_per_s: float | None = attrs.field(
        default=None,
        metadata=spec("Reads of tables above which calls are refused.", low=1),
    )
    writes_per_s: float | None = attrs.field(
        default=None,
        metadata=spec("Rows written above which calls are refused.", low=1),
    )
    connections: int = attrs.field(
        default=4096, metadata=spec("Most open connections.", low=1, high=1000000)
    )


@attrs.frozen(kw_only=True)
class ServerSettings:
    """Settings that engines and plain services share."""

    name: str = attrs.field(
        metadata=spec("Unique name of the backend server.", pattern=NAME_PATTERN)
    )
    failure_domain: str = attrs.field(
        metadata=spec("Failure domain that it stands in.", pattern=NAME_PATTERN)
    )
    listen: Address = attrs.field(metadata=spec("Address that requests arrive at."))
    platform: Address | None = attrs.field(
        default=None,
        metadata=spec("Platform whose instance list the server announces itself in."),
    )
    announce_ttl_s: float = attrs.field(
        default=3.0,
        metadata=spec("Time that an announcement lasts.", low=0.3, high=600),
    )
    leave_s: float = attrs.field(
        default=2.0,
        metadata=spec("Time between SIGTERM and the end, at least.", low=0, high=600),
    )
    limit: int = attrs.field(
        default=8, metadata=spec("Requests at once at full speed.", low=1, high=10000)
    )
    cold_limit: int = attrs.field(
        default=1, metadata=spec("Requests at once that it bears cold.", low=1)
    )
    warm_after_requests: int = attrs.field(
        default=8, metadata=spec("Completed requests until it is warm.", low=0)
    )
    die: bool = attrs.field(
        default=True,
        metadata=spec("Whether too many requests while cold end the process."),
    )
    load_lag_s: float = attrs.field(
        default=0.0, metadata=spec("Age of the load report.", low=0, high=60)
    )
    connections: int = attrs.field(
        default=4096, metadata=spec("Most open connections.", low=1, high=1000000)
    )


@attrs.frozen(kw_only=True)
class EngineSettings(ServerSettings):
    """What a stand-in for a model engine is told when it starts."""

    tokens_per_s: float = attrs.field(
        default=50.0,
        metadata=spec(
            "Tokens of each running request, up to limit.", low=0.1, high=1e6
        ),
    )
    prefill_s: float = attrs.field(
        default=0.1,
        metadata=spec("Time to read 1,000 prompt tokens.", low=0, high=600),
    )
    prefix_entries: int = attrs.field(
        default=64, metadata=spec("Prompt prefixes kept in the cache.", low=0)
    )


@attrs.frozen(kw_only=True)
class ServiceSettings(ServerSettings):
    """What a stand-in for a plain service is told when it starts."""

    work_s: float = attrs.field(
        default=0.02, metadata=spec("Time that one request takes.", low=0, high=600)
    )
    checks_fencing: bool = attrs.field(
        default=False,
        metadata=spec("Whether an order with an old fencing number is refused."),
    )


@attrs.frozen
class RouteSettings:
    """One listening address of a relay and where it leads."""

    name: str = attrs.field(metadata=spec("Name in the orders.", pattern=NAME_PATTERN))
    listen: Address = attrs.field(metadata=spec("Address that connections arrive at."))
    target: Address = attrs.field(metadata=spec("Address that they are passed on to."))


@attrs.frozen
class RelaySettings:
    """What a TCP relay is told when it starts."""

    admin: Address = attrs.field(metadata=spec("Address that takes orders."))
    routes: list[RouteSettings] = attrs.field(metadata=spec("What is relayed."))
