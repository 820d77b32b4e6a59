"""Builds the components of a router process from its settings."""

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
from .recorded import AtMostOnceForwarder
from .recording import TraceRecorder

PLATFORM_TIMEOUT_S = 1.0


@attrs.frozen
class Platform:
    """Clients of the platform's table service, object store and instance list."""

    table: TableService
    objects: ObjectStore
    instances: InstanceList


@attrs.define
class Components:
    """The components that run in a router process.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the process.
    platform : Platform
        Clients of the table service, object store and instance list.
    membership, links, dispatching, reader, records, callers, tracing
        The components, connected to each other but not started.
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


def build_platform(settings: RouterSettings) -> Platform:
    """Return the platform's clients; change this to support another platform."""
    client = HttpClient(timeout_s=PLATFORM_TIMEOUT_S)
    address = (client, settings.platform.host, settings.platform.port)
    return Platform(
        HttpTableService(*address),
        HttpObjectStore(*address),
        HttpInstanceList(*address),
    )


def build_components(settings: RouterSettings) -> Components:
    """Return the components of a router, not started."""
    platform = build_platform(settings)
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
    tracing = build_tracing(settings.tracing, settings.name)
    forwarder = Forwarder(dispatching, BackendPool(), RetryBudget(), tracing)
    callers = CallerHandler(
        lambda: reader.current,
        forwarder,
        AtMostOnceForwarder(forwarder, records),
        tracing,
        settings.limits.body_bytes,
        build_recorder(settings),
    )
    return Components(
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


def build_administration(
    components: Components,
    is_stopping: Callable[[], bool],
    is_listening: Callable[[], bool],
) -> Administration:
    """Return the administration API of a router."""
    settings = components.settings
    return Administration(
        settings.name,
        components.reader,
        AccessControl(settings.operator_tokens),
        AuditTrail(components.platform.table, settings.name),
        {
            "dispatch": components.dispatching.snapshot,
            "links": lambda: components.links.counters,
            "members": lambda: sorted(components.membership.members),
            "running": lambda: components.callers.running,
            "records": lambda: components.records.leases_held,
        },
        is_stopping,
        is_listening,
    )


def build_tracing(settings: TracingSettings, process: str) -> Tracing:
    """Return the configured tracing."""
    if settings.endpoint is None:
        return Tracing(settings.exporter, path=settings.path, process=process)
    return Tracing(
        settings.exporter,
        path=settings.path,
        host=settings.endpoint.host,
        port=settings.endpoint.port,
        process=process,
    )


def build_recorder(settings: RouterSettings) -> TraceRecorder | None:
    """Return the trace recorder, or ``None`` if the settings name no file."""
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
