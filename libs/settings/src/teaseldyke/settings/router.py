"""Settings of a router process."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import Literal

import attrs

from .address import Address
from .fields import spec

OperatorRole = Literal["read", "operate", "own"]

NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
_MIB = 1024 * 1024


@attrs.frozen
class PeerSettings:
    """A peer router that is known independently of the instance list."""

    name: str = attrs.field(metadata=spec("Name of the router.", pattern=NAME_PATTERN))
    control: Address = attrs.field(
        metadata=spec("Address of its links between routers.")
    )
    administration: Address = attrs.field(
        metadata=spec("Address of its administration API.")
    )


@attrs.frozen
class TracingSettings:
    """Destination of trace spans."""

    exporter: Literal["none", "file", "otlp"] = attrs.field(
        default="none", metadata=spec("Where spans are sent.")
    )
    path: Path | None = attrs.field(
        default=None, metadata=spec("File that spans are appended to.")
    )
    endpoint: Address | None = attrs.field(
        default=None, metadata=spec("Collector that takes OTLP over HTTP.")
    )


@attrs.frozen
class CallerLimits:
    """Limits on callers' connections and requests."""

    header_bytes: int = attrs.field(
        default=16384,
        metadata=spec("Largest request line and headers.", low=1024, high=1048576),
    )
    header_timeout_s: float = attrs.field(
        default=10.0,
        metadata=spec("Longest time for the headers to arrive.", low=0.1, high=300),
    )
    idle_timeout_s: float = attrs.field(
        default=60.0,
        metadata=spec(
            "Longest time between requests on one connection.", low=1, high=3600
        ),
    )
    body_bytes: int = attrs.field(
        default=16 * _MIB,
        metadata=spec("Largest request body.", low=0, high=1024 * _MIB),
    )
    body_idle_timeout_s: float = attrs.field(
        default=30.0,
        metadata=spec("Longest pause within a request body.", low=0.1, high=300),
    )
    connections: int = attrs.field(
        default=4096,
        metadata=spec("Most open connections of callers.", low=1, high=1000000),
    )


@attrs.frozen
class OperatorToken:
    """An operator who may use the administration API."""

    hash: str = attrs.field(
        metadata=spec(
            "SHA-256 of the token, in lower-case hexadecimal.", pattern="[0-9a-f]{64}"
        )
    )
    name: str = attrs.field(
        metadata=spec("Name in the audit trail.", pattern=NAME_PATTERN)
    )
    role: OperatorRole = attrs.field(
        default="read",
        metadata=spec(
            "Read sees, operate switches and applies sheets, own handles keys too."
        ),
    )
    expires_at: datetime | None = attrs.field(
        default=None, metadata=spec("When the token stops being accepted.")
    )


@attrs.frozen
class RouterSettings:
    """All settings of a router process, read when it starts."""

    name: str = attrs.field(
        metadata=spec("Unique name of the router.", pattern=NAME_PATTERN)
    )
    failure_domain: str = attrs.field(
        metadata=spec("Failure domain that the router stands in.", pattern=NAME_PATTERN)
    )
    callers: Address = attrs.field(
        factory=lambda: _loopback(8080),
        metadata=spec("Address that callers connect to."),
    )
    control: Address = attrs.field(
        factory=lambda: _loopback(8081),
        metadata=spec("Address of links between routers."),
    )
    administration: Address = attrs.field(
        factory=lambda: _loopback(8082),
        metadata=spec("Address of the administration API."),
    )
    platform: Address = attrs.field(
        factory=lambda: _loopback(8090),
        metadata=spec("Address of the platform's services."),
    )
    peers: list[PeerSettings] = attrs.field(
        factory=list,
        metadata=spec("Routers known before the instance list names them."),
    )
    lease_s: float = attrs.field(
        default=1.0,
        metadata=spec(
            "Time that a delegation to a dispatcher lasts without renewal.",
            low=0.1,
            high=60,
        ),
    )
    poll_interval_s: float = attrs.field(
        default=1.0,
        metadata=spec(
            "Mean time between two looks at the configuration's version.",
            low=0.1,
            high=60,
        ),
    )
    drain_timeout_s: float = attrs.field(
        default=60.0,
        metadata=spec(
            "Longest time that a planned stop waits for running requests.",
            low=0,
            high=3600,
        ),
    )
    join_delay_s: float = attrs.field(
        default=3.0,
        metadata=spec(
            "Time in which a router that has joined holds its part of the limits back.",
            low=0,
            high=60,
        ),
    )
    list_poll_s: float = attrs.field(
        default=1.0,
        metadata=spec("Time between two looks at the instance list.", low=0.1, high=60),
    )
    record: Path | None = attrs.field(
        default=None, metadata=spec("File that a trace of all requests is written to.")
    )
    tracing: TracingSettings = attrs.field(
        factory=TracingSettings, metadata=spec("Where spans go.")
    )
    log_format: Literal["text", "json"] = attrs.field(
        default="text", metadata=spec("Form of a log line.")
    )
    limits: CallerLimits = attrs.field(
        factory=CallerLimits, metadata=spec("Limits on the side of the callers.")
    )
    operator_tokens: list[OperatorToken] = attrs.field(
        factory=list, metadata=spec("Operators who may use the administration API.")
    )


def _loopback(port: int) -> Address:
    return Address("127.0.0.1", port)
