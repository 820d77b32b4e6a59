"""Keeps track of the software versions that began streams, beyond one instance.

While streams may be of several versions, instances tell each other in their messages
which began where, and some of them write it to the store, which outlasts a kill of all
instances. At other times there is nothing to tell or to write.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
import msgspec
import trio

from teaseldyke.placement import (
    FactSource,
    News,
    ServerState,
    ServiceVersion,
    StreamOrigin,
    StreamVersions,
    split_keys,
    stream_key,
)
from teaseldyke.telemetry import counter, gauge, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    Route,
    RoutingTable,
    TeaseldykeError,
)

from .interfaces import StreamRows

LISTING_KEY = "versions"  # row with the versions that may have begun streams
BEGUN_PREFIX = "begun/"
WRITE_INTERVAL_S = 0.25  # between two writes of begun streams
GATHER_S = 0.005  # streams that begin together are written together
SLOT_S = 5.0  # for which begun streams are added to the same row
SLOTS = 32  # rows of one writer; more than hold a stream's life
ROW_STREAMS_MAX = 2000  # own and heard ones each; 32 KB
WRITERS = 2  # instances of each neighbourhood that write, as one may be killed
UNKNOWN_WAIT_S = 0.3  # for word of a stream from another instance or the store
UNKNOWN_CHECK_S = 0.05  # between two checks, beside those when word has come
UNKNOWN_RETRY_S = 0.2  # retry-after, if there was none
READ_INTERVAL_S = 1.0  # between two readings because of unknown streams
INSTANCES_PER_READ_S = 20  # a large fleet reads less often
RANK_DELAY_S = 0.1  # per instance; the first one to find a version lists it
RANK_DELAY_MAX_S = 1.0
POLL_MAX_S = 13.0  # of the servers' entries, its answer included
RETRY_MIN_S = 0.1  # doubles with each failed call
RETRY_MAX_S = 0.8

TAKE_UPS = counter(
    "teaseldyke_take_ups_total",
    "Streams resumed by their callers, by how their version was known.",
)
STREAMS_KNOWN = gauge(
    "teaseldyke_streams_known", "Streams whose version this instance knows."
).bind()

NO_ROW = (0, b"")
EncodedStreams = list[tuple[str, str, bytes]]


class StreamFleet(Protocol):
    """The instances that streams' versions are shared with."""

    @property
    def name(self) -> str:
        """Name of this instance."""
        ...

    @property
    def instances(self) -> int:
        """Number of instances, this one included."""
        ...

    @property
    def in_touch_as_of_s(self) -> float:
        """Since when most instances were heard of; -inf if one knows newer entries."""
        ...

    def rank(self, key: str) -> int:
        """Return this instance's rank in the fleet for a key, from 0."""
        ...

    def neighbour_names(self) -> list[str]:
        """Return the live instances of the neighbourhood, this one included."""
        ...


class Listing(msgspec.Struct, frozen=True):
    """The row of listed versions.

    Attributes
    ----------
    era : int
        Era of the store in which it was last known to be complete.
    versions : list of tuple
        Services and versions that may have begun streams that still go on, with the
        store's time in ms when they were listed.
    """

    era: int
    versions: list[tuple[str, str, int]]


class BegunRow(msgspec.Struct, frozen=True):
    """A row of begun streams.

    Attributes
    ----------
    number : int
        Grows with each row of a writer.
    streams : list of tuple
        Services, versions and joined keys of the streams.
    """

    number: int
    streams: EncodedStreams


@attrs.define(eq=False)
class _Slot:
    """Row that begun streams are being added to."""

    number: int = 0
    since_s: float = -math.inf
    first: tuple[int, int] = (0, 0)


class StreamMemory:
    """Knows at which version streams go on, from this instance, others and the store.

    Parameters
    ----------
    rows : StreamRows
        Rows of the store.
    fleet : StreamFleet
        The other instances.
    """

    def __init__(self, rows: StreamRows, fleet: StreamFleet) -> None:
        self.versions = StreamVersions(boot_time_s())
        self._rows = rows
        self._fleet = fleet
        self._services: set[str] = set()
        # Until when each route, by host and prefix, has led to its services.
        self._led_to: dict[tuple[str, str], dict[str, float]] = {}
        self._changing_routes: list[tuple[str, str]] = []  # with several services
        self._near = News(includes_heard=False)
        self._far = News(includes_heard=True)
        self._was_shared = False
        self._changed = trio.Event()
        self._wake = trio.Event()
        self._wants_reading = False
        self._read_at_s = -math.inf
        self._unlisted_since_s = math.inf
        self._listing_era = -1
        self._listing = NO_ROW
        self._listed_ms: dict[ServiceVersion, int] = {}
        self._store_ms = 0  # as of the last reading
        self._era = -1
        self._slot = _Slot()
        self._written = (0, 0)
        self._written_at_s = -math.inf
        self._retry_s = RETRY_MIN_S

    def apply_routing(self, table: RoutingTable) -> None:
        """Find the services with streams that callers can resume."""
        now_s = boot_time_s()
        for services in self._led_to.values():
            for name, until_s in services.items():
                services[name] = min(until_s, now_s)
        for route in table.routes:
            if not route.resumable:
                continue
            names = [name for name, _ in route.split]
            self._services.update(names)
            led_to = self._led_to.setdefault((route.host, route.prefix), {})
            led_to.update(dict.fromkeys(names, math.inf))
            self.versions.record_timeout(route.timeout_s)
        for key in list(self._led_to):
            if not self._services_led_to(key, now_s):
                del self._led_to[key]
        self._changing_routes = [
            key for key, services in self._led_to.items() if len(services) > 1
        ]

    def _services_led_to(self, key: tuple[str, str], now_s: float) -> set[str]:
        """Return the services at which a route's streams that go on may have begun."""
        return {
            name
            for name, until_s in self._led_to.get(key, {}).items()
            if now_s - until_s < self.versions.life_s
        }

    def observe(
        self,
        states: Iterable[ServerState],
        servers_as_of_s: float,
        now_s: float,
        *,
        store_available: bool,
    ) -> None:
        """Record the versions of all servers that are known.

        A change ends the long poll of each instance at once, so that a poll that waits
        tells as much as one that has ended, unless this instance was cut off. It wasn't
        as long as it hears of most others; a sole instance polls more often instead.
        """
        is_polling = store_available and now_s - servers_as_of_s < POLL_MAX_S
        if is_polling:
            servers_as_of_s = max(servers_as_of_s, self._fleet.in_touch_as_of_s)
        present: dict[str, set[str]] = {name: set() for name in self._services}
        for state in states:
            versions = present.get(state.server.service)
            if versions is not None:
                versions.add(state.server.version)
        self.versions.servers_as_of_s = servers_as_of_s
        groups = [self._services_led_to(key, now_s) for key in self._changing_routes]
        self.versions.observe(present, now_s, groups)
        is_shared = self.versions.shares_streams(now_s)
        if is_shared != self._was_shared:
            self._was_shared = is_shared
            log_decision(
                "stream_versions_shared" if is_shared else "stream_versions_sole",
                versions={name: sorted(found) for name, found in present.items()},
                servers_age_s=round(min(999.0, now_s - servers_as_of_s), 3),
                is_read=self.versions.is_read,
            )
            STREAMS_KNOWN.set(len(self.versions.streams))
            self._wake.set()

    def may_serve(self, server: AnnouncedServer, now_s: float) -> bool:
        """Return whether a server's version may begin streams."""
        if server.service not in self._services:
            return True
        return self.versions.may_serve(server.service, server.version, now_s)

    def record_begun(
        self, organisation: str, request_id: bytes, server: AnnouncedServer
    ) -> None:
        """Record the server that brings a stream's first event."""
        if server.service not in self._services:
            return
        now_s = boot_time_s()
        key = stream_key(organisation, request_id)
        begun_at = ServiceVersion(server.service, server.version)
        self.versions.streams.record_begun(key, begun_at, now_s)
        if self.versions.shares_streams(now_s):
            self._wake.set()

    async def origin(
        self,
        request_id: str,
        organisation: str,
        resumes: bytes | None,
        route: Route,
        service: str,
        caller_timeout_s: float | None,
    ) -> StreamOrigin:
        """Return the version that began a stream, waiting a moment for word of it.

        Parameters
        ----------
        request_id : str
            Id of the request that resumes it, for the log.
        resumes : bytes or None
            Id of the request that began it.
        route : Route
            Route of the request that resumes it.
        service : str
            Service of that route.
        """
        if caller_timeout_s is not None:
            self.versions.record_timeout(caller_timeout_s)
        key = stream_key(organisation, resumes) if resumes else b""
        started_at_s = boot_time_s()
        services = self._services_led_to((route.host, route.prefix), started_at_s)
        origin = self.versions.origin(key, service, started_at_s, services)
        is_ready = self.versions.is_read and self.versions.is_current(started_at_s)
        if origin.begun_at is None and (key or not is_ready):
            with trio.move_on_after(UNKNOWN_WAIT_S):
                self._wants_reading = True
                self._wake.set()
                while origin.begun_at is None:
                    with trio.move_on_after(UNKNOWN_CHECK_S):
                        await self._changed.wait()
                    now_s = boot_time_s()
                    origin = self.versions.origin(key, service, now_s, services)
        TAKE_UPS.bind(source=origin.source.value).add()
        log_decision(
            "stream_taken_up" if origin.begun_at else "stream_version_unknown",
            id=request_id,
            resumes=resumes.decode("latin-1")[:40] if resumes else None,
            version=origin.begun_at.version if origin.begun_at else None,
            source=origin.source.value,
            after_s=round(boot_time_s() - started_at_s, 3),
        )
        return origin

    def news(self, *, is_far: bool) -> EncodedStreams:
        """Return the streams to tell others next."""
        if not self.versions.shares_streams(boot_time_s()):
            return []
        found = self.versions.streams.news(self._far if is_far else self._near)
        return [(key.service, key.version, data) for key, data in found.items()]

    def has_news(self, *, has_far: bool) -> bool:
        """Return whether there are streams to tell others about."""
        if not self.versions.shares_streams(boot_time_s()):
            return False
        streams = self.versions.streams
        return streams.has_news(self._near) or (has_far and streams.has_news(self._far))

    def listed(self) -> list[tuple[str, str]]:
        """Return the versions that the store lists, to tell others."""
        now_s = boot_time_s()
        if not self.versions.shares_streams(now_s):
            return []
        return [attrs.astuple(version) for version in self.versions.listed(now_s)]

    def merge(
        self,
        streams: EncodedStreams,
        listed: Sequence[tuple[str, str]],
        *,
        is_neighbour: bool,
    ) -> None:
        """Add what another instance has told; raises `ValueError` if it is odd."""
        now_s = boot_time_s()
        for service, version in listed:
            self.versions.record_listed(ServiceVersion(service, version), now_s)
        self._merge(streams, FactSource.PEER, is_neighbour=is_neighbour)

    def _merge(
        self, streams: EncodedStreams, source: FactSource, *, is_neighbour: bool = False
    ) -> None:
        if not streams:
            return
        now_s = boot_time_s()
        for service, version, data in streams:
            self.versions.streams.merge(
                split_keys(data),
                ServiceVersion(service, version),
                source,
                now_s,
                is_neighbour=is_neighbour,
            )
        self._notify()
        self._wake.set()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Read and write the store's rows until cancelled."""
        while True:
            try:
                await self._step()
                self._retry_s = RETRY_MIN_S
            except TeaseldykeError as exc:
                log_decision("stream_rows_failed", reason=exc.detail)
                await trio.sleep(self._retry_s)
                self._retry_s = min(2.0 * self._retry_s, RETRY_MAX_S)
                continue
            with trio.move_on_after(WRITE_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            pause_s = self._written_at_s + WRITE_INTERVAL_S - boot_time_s()
            await trio.sleep(max(GATHER_S, 0.0 if self._is_urgent() else pause_s))

    def _is_urgent(self) -> bool:
        """Return whether something other than begun streams is to be done."""
        return self._wants_reading or bool(self.versions.unlisted())

    async def _step(self) -> None:
        """Do what is due."""
        now_s = boot_time_s()
        if self._rows.store_era != self._era >= 0:
            self.versions.start_era()
            self._written = (0, 0)  # all of it may be lost
            self._start_slot(now_s)
        interval_s = max(READ_INTERVAL_S, self._fleet.instances / INSTANCES_PER_READ_S)
        may_read = now_s - self._read_at_s >= interval_s
        if not self.versions.is_read or (self._wants_reading and may_read):
            await self._read()
        self._wants_reading = False
        self._era = self._rows.store_era
        if self._must_list(now_s):
            await self._list()
        await self._write_streams()

    def _must_list(self, now_s: float) -> bool:
        """Return whether it is this instance's turn to change the listed versions."""
        versions = self.versions
        is_complete = (
            self._listing == NO_ROW
            or self._listing_era == self._era
            or versions.is_doubted(now_s)
        )
        if not versions.unlisted() and is_complete and not versions.removable(now_s):
            self._unlisted_since_s = math.inf
            return False
        self._unlisted_since_s = min(self._unlisted_since_s, now_s)
        delay_s = min(RANK_DELAY_MAX_S, RANK_DELAY_S * self._fleet.rank(LISTING_KEY))
        return now_s - self._unlisted_since_s >= delay_s

    async def _read(self) -> None:
        """Read all rows."""
        rows, self._store_ms = await self._rows.stream_rows()
        now_s = self._read_at_s = boot_time_s()
        for key, (_, value) in rows.items():
            if not key.startswith(BEGUN_PREFIX):
                continue
            try:
                row = msgspec.msgpack.decode(value, type=BegunRow)
                self._merge(row.streams, FactSource.STORE)
            except ValueError as exc:
                log_decision("stream_row_unreadable", key=key, error=str(exc)[:200])
                continue
            if key.rpartition("/")[0] == BEGUN_PREFIX + self._fleet.name:
                self._slot.number = max(self._slot.number, row.number + 1)
        self._apply_listing(rows.get(LISTING_KEY, NO_ROW), now_s)
        log_decision(
            "stream_rows_read",
            rows=len(rows),
            streams=len(self.versions.streams),
            listing_era=self._listing_era,
        )
        self._notify()

    def _apply_listing(self, row: tuple[int, bytes], now_s: float) -> None:
        """Apply the row of listed versions, with the store's version of it."""
        self._listing = row
        version, value = row
        listing = Listing(-1, [])
        if version:
            try:
                listing = msgspec.msgpack.decode(value, type=Listing)
            except ValueError as exc:
                log_decision("stream_row_unreadable", key=LISTING_KEY, error=str(exc))
        self._listing_era = listing.era
        self._listed_ms = {
            ServiceVersion(service, name): at_ms
            for service, name, at_ms in listing.versions
        }
        self.versions.record_listing(
            {
                entry: (self._store_ms - at_ms) / 1000.0
                for entry, at_ms in self._listed_ms.items()
            },
            now_s,
            is_old=bool(version)
            and not self.versions.is_read
            and listing.era != self._rows.store_era,
        )

    async def _list(self) -> None:
        """List the versions in use, and remove those that have long gone."""
        now_s = boot_time_s()
        await self._read()
        versions = self.versions
        version, _ = self._listing
        gone = set(versions.removable(now_s)) if self._is_first else set()
        era = self._listing_era if versions.is_doubted(now_s) else self._era
        new = versions.unlisted()
        if not new and not gone and era == self._listing_era:
            return
        listed_ms = self._listed_ms | dict.fromkeys(new, self._store_ms)
        listing = Listing(
            era,
            sorted(
                (entry.service, entry.version, at_ms)
                for entry, at_ms in listed_ms.items()
                if entry not in gone
            ),
        )
        data = msgspec.msgpack.encode(listing)
        written = await self._rows.write_stream_row(LISTING_KEY, data, version)
        if written is None:
            return  # another instance changed it meanwhile
        self._apply_listing((written, data), boot_time_s())
        log_decision(
            "stream_versions_listed",
            listed=[f"{service}:{name}" for service, name, _ in listing.versions],
            era=era,
        )
        self._notify()

    @property
    def _is_first(self) -> bool:
        return self._fleet.rank(LISTING_KEY) == 0

    async def _write_streams(self) -> None:
        """Write the streams that have begun, if it is this instance's turn."""
        now_s = boot_time_s()
        if not self.versions.shares_streams(now_s):
            return
        if self._fleet.name not in sorted(self._fleet.neighbour_names())[:WRITERS]:
            return
        streams = self.versions.streams
        if streams.ends == self._written:
            return
        if now_s - self._slot.since_s >= SLOT_S:
            self._start_slot(now_s)
        last = self._last_in_slot(streams.ends)
        if last == self._written:
            self._start_slot(now_s)
            last = self._last_in_slot(streams.ends)
        found = streams.between(self._slot.first, last)
        row = BegunRow(
            self._slot.number,
            [(key.service, key.version, data) for key, data in found.items()],
        )
        key = f"{BEGUN_PREFIX}{self._fleet.name}/{self._slot.number % SLOTS:02}"
        self._written_at_s = now_s
        await self._rows.write_stream_row(key, msgspec.msgpack.encode(row), None)
        self._written = last

    def _start_slot(self, now_s: float) -> None:
        own, heard = self.versions.streams.starts
        first = max(own, self._written[0]), max(heard, self._written[1])
        self._slot = _Slot(self._slot.number + 1, now_s, first)

    def _last_in_slot(self, ends: tuple[int, int]) -> tuple[int, int]:
        own, heard = self._slot.first
        return (
            min(ends[0], own + ROW_STREAMS_MAX),
            min(ends[1], heard + ROW_STREAMS_MAX),
        )
