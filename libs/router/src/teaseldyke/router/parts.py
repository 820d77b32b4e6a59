"""The parts of a router process, put together from its settings."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from teaseldyke.configuration import (
    MESSAGE_TYPES,
    ConfigurationReader,
    ConfigurationStore,
)
from teaseldyke.dispatch import Dispatching, DispatchOptions, dispatch_codec
from teaseldyke.http import BackendPool, HttpClient, ServerLimits
from teaseldyke.outcomes import OutcomeRecords, RetryBudget
from teaseldyke.peers import Codec, Links, Membership, PeerAddress
from teaseldyke.platform import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
    InstanceList,
    ObjectStore,
    TableService,
)
from teaseldyke.settings import CallerLimits, RouterSettings, TracingSettings
from teaseldyke.telemetry import Tracing

from .administration import Administration
from .administration_access import AccessControl, AuditTrail
from .callers import CallerHandler
from .forwarding import Forwarder
from .load import HttpLoadSource
from .recorded import RecordedForwarder
from .recording import TraceRecorder

PLATFORM_TIMEOUT_S = 1.0


@attrs.frozen
class Platform:
    """The three interfaces of the platform."""

    table: TableService
    objects: ObjectStore
    instances: InstanceList


@attrs.define
class Parts:
    """Everything that runs in a router process.

    Parameters
    ----------
    settings : RouterSettings
        What the process was told.
    platform : Platform
        Table service, object store and instance list.
    membership, links, dispatching, reader, records, callers
        The parts, wired to each other and not running yet.
    """

    settings: RouterSettings
    platform: Platform
    membership: Membership
    links: Links
    dispatching: Dispatching
    reader: ConfigurationReader
    records: OutcomeRecords
    callers: CallerHandler
    tracing: Tracing


def platform_of(settings: RouterSettings) -> Platform:
    """Return the platform's drivers; another platform is met by changing this."""
    client = HttpClient(timeout_s=PLATFORM_TIMEOUT_S)
    place = (client, settings.platform.host, settings.platform.port)
    return Platform(
        HttpTableService(*place), HttpObjectStore(*place), HttpInstanceList(*place)
    )


def assemble(settings: RouterSettings) -> Parts:
    """Return the parts of a router."""
    platform = platform_of(settings)
    static_peers = {
        peer.name: PeerAddress(peer.control.host, peer.control.port)
        for peer in settings.peers
    }
    membership = Membership(settings.name, static_peers)
    codec = Codec((*dispatch_codec().message_types, *MESSAGE_TYPES))
    control = settings.control
    links = Links(settings.name, control.host, control.port, codec)
    dispatching = Dispatching(
        settings.name,
        links,
        membership,
        HttpLoadSource(HttpClient()),
        DispatchOptions(lease_s=settings.lease_s, join_delay_s=settings.join_delay_s),
        seed=membership.incarnation,
    )
    store = ConfigurationStore(platform.table, platform.objects)
    reader = ConfigurationReader(
        store,
        links,
        lambda: membership.addresses,
        poll_interval_s=settings.poll_interval_s,
        seed=membership.incarnation,
    )
    reader.subscribe(dispatching.apply_configuration)
    records = OutcomeRecords(
        platform.table, platform.objects, settings.name, str(membership.incarnation)
    )
    tracing = tracing_of(settings.tracing, settings.name)
    forwarder = Forwarder(dispatching, BackendPool(), RetryBudget(), tracing)
    callers = CallerHandler(
        lambda: reader.current,
        forwarder,
        RecordedForwarder(forwarder, records),
        tracing,
        settings.limits.body_bytes,
        recorder_of(settings),
    )
    return Parts(
        settings,
        platform,
        membership,
        links,
        dispatching,
        reader,
        records,
        callers,
        tracing,
    )


def administration_of(parts: Parts, is_stopping: Callable[[], bool]) -> Administration:
    """Return the administration API of a router."""
    settings = parts.settings
    return Administration(
        settings.name,
        parts.reader,
        AccessControl(settings.operator_tokens),
        AuditTrail(parts.platform.table, settings.name),
        {
            "dispatch": parts.dispatching.snapshot,
            "links": lambda: parts.links.counters,
            "members": lambda: sorted(parts.membership.members),
            "running": lambda: parts.callers.running,
            "records": lambda: parts.records.leases_held,
        },
        is_stopping,
    )


def tracing_of(settings: TracingSettings, process: str) -> Tracing:
    """Return the tracing that the settings ask for."""
    if settings.endpoint is None:
        return Tracing(settings.exporter, path=settings.path, process=process)
    return Tracing(
        settings.exporter,
        path=settings.path,
        host=settings.endpoint.host,
        port=settings.endpoint.port,
        process=process,
    )


def recorder_of(settings: RouterSettings) -> TraceRecorder | None:
    """Return the recorder of traces, if the settings name a file."""
    if settings.record is None:
        return None
    return TraceRecorder(settings.record, settings.name)


def caller_limits(limits: CallerLimits) -> ServerLimits:
    """Return the limits of the callers' port."""
    return ServerLimits(
        header_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        body_bytes=limits.body_bytes,
        body_idle_timeout_s=limits.body_idle_timeout_s,
        connections=limits.connections,
    )
