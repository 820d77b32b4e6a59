"""Views of a router and its configuration in the administration API."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import msgspec
import trio

from teaseldyke.configuration import (
    ConfigurationReader,
    Head,
    PeerVersion,
    Sheet,
    Snapshot,
)
from teaseldyke.telemetry import counter, gauge
from teaseldyke.types import Organisation, Switches

SHOWN_HASH_CHARACTERS = 8

VERSION = gauge("teaseldyke_configuration_version", "Version in force.")
READY = gauge("teaseldyke_configuration_ready", "1 when it is believed current.")
CONFIRMED_AGE = gauge(
    "teaseldyke_configuration_confirmed_age_s",
    "Time since the store or a majority of peers last confirmed the version.",
)
EVENTS = counter(
    "teaseldyke_configuration_events_total", "Events of the configuration reader."
)


@attrs.frozen
class StatusView:
    """Response to ``GET /v1/status``.

    Parameters
    ----------
    router : str
        Name of the router that responds.
    version : int
        Version in force.
    ready : bool
        Whether the version was confirmed as current.
    source : str
        Source that last confirmed the version: store, operator or peers.
    store_reachable : bool
        Whether the last poll of the store succeeded.
    confirmed_age_s : float or None
        Time since the version was last confirmed; ``None`` if not ready.
    switches : Switches
        Instances, servers, domains and organisations that are out.
    counters : dict
        Counters of the configuration reader.
    parts : dict
        Status sections of the other components.
    """

    router: str
    version: int
    ready: bool
    source: str
    store_reachable: bool
    confirmed_age_s: float | None
    switches: Switches
    counters: dict[str, int]
    parts: dict[str, Any]


@attrs.frozen
class RouterVersion:
    """Version in force on one router; ``None`` if the router did not respond."""

    router: str
    version: int | None
    ready: bool


@attrs.frozen
class ConfigurationView:
    """Response to ``GET /v1/configuration``."""

    head: Head
    sheet: Sheet
    switches: Switches


def status_view(
    router: str,
    reader: ConfigurationReader,
    sources: Mapping[str, Callable[[], object]],
) -> StatusView:
    """Return the status of a router."""
    return StatusView(
        router=router,
        version=reader.snapshot.version,
        ready=reader.ready,
        source=reader.source,
        store_reachable=reader.store_reachable,
        confirmed_age_s=_confirmed_age_s(reader),
        switches=reader.snapshot.switches,
        counters=attrs.asdict(reader.counters),
        parts={name: source() for name, source in sources.items()},
    )


def versions_view(
    router: str,
    reader: ConfigurationReader,
    peer_versions: Mapping[str, PeerVersion | None],
) -> list[RouterVersion]:
    """Return the versions in force on this router and its peers, sorted by name."""
    versions = [RouterVersion(router, reader.snapshot.version, reader.ready)]
    for peer, reported in peer_versions.items():
        if reported is None:
            versions.append(RouterVersion(peer, None, False))
            continue
        versions.append(RouterVersion(peer, reported.version, reported.ready))
    return sorted(versions, key=lambda version: version.router)


def configuration_view(snapshot: Snapshot, show_hashes: bool) -> bytes:
    """Return a configuration as JSON; may run in a worker thread.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration to encode.
    show_hashes : bool
        Whether key hashes are shown in full; shortened ones are invalid in a sheet.
    """
    sheet = snapshot.sheet
    if not show_hashes:
        organisations = {
            name: _with_shortened_hashes(organisation)
            for name, organisation in sheet.organisations.items()
        }
        sheet = attrs.evolve(sheet, organisations=organisations)
    return msgspec.json.encode(
        ConfigurationView(snapshot.head, sheet, snapshot.switches)
    )


def publish_metrics(reader: ConfigurationReader) -> None:
    """Update the configuration metrics."""
    VERSION.bind().set(reader.snapshot.version)
    READY.bind().set(float(reader.ready))
    CONFIRMED_AGE.bind().set(_confirmed_age_s(reader) or 0.0)
    for name, value in attrs.asdict(reader.counters).items():
        bound = EVENTS.bind(event=name)
        bound.add(value - bound.value)


def _confirmed_age_s(reader: ConfigurationReader) -> float | None:
    if not reader.ready:
        return None
    return round(trio.current_time() - reader.confirmed_at_s, 3)


def _with_shortened_hashes(organisation: Organisation) -> Organisation:
    short = tuple(
        f"{key_hash[:SHOWN_HASH_CHARACTERS]}..." for key_hash in organisation.key_hashes
    )
    return attrs.evolve(organisation, key_hashes=short)
