"""Keeps the newest configuration in force on one router."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import attrs
import trio

from teaseldyke.peers import PeerLinks
from teaseldyke.telemetry import log_change, log_fault
from teaseldyke.timers import Timers
from teaseldyke.types import Configuration, PlatformUnavailable

from .archive import SnapshotArchive
from .counters import ReaderCounters
from .errors import DocumentBroken
from .offloading import run_off_loop
from .propagation import ConfigurationInForce, Propagation
from .readiness import PeerVersion, is_confirmed_by_majority
from .snapshot import Snapshot
from .store import ConfigurationStore

FLEET_READS_PER_S = 200.0  # budget of head row reads, over all routers
ANTI_ENTROPY_INTERVAL_S = 2.0  # of announcing the version to a random peer

Subscriber = Callable[[Configuration], None]


@attrs.define(eq=False)
class ConfigurationReader:
    """Applies newer versions from the store, peers and this router's operators.

    A version is never replaced by an older one. The reader is ready once it has read a
    version from the store, or has the newest version that a majority of its peers
    reports.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the accepted versions.
    links : PeerLinks
        Links to the other routers.
    peers : callable
        Returns the names of every other known router.
    poll_interval_s : float
        Mean interval between polls of the head row; longer in large fleets.
    seed : int, optional
        Seed for the choice of peers and the jitter of polls.

    Attributes
    ----------
    loaded : trio.Event
        Set once a version is in force.
    source : str
        What confirmed that the version in force is current: "store", "operator" or
        "peers"; "none" before.
    confirmed_at_s : float
        When this was last confirmed, on trio's clock.
    store_reachable : bool
        Whether the last poll of the store succeeded.
    """

    store: ConfigurationStore
    links: PeerLinks
    peers: Callable[[], Iterable[str]]
    poll_interval_s: float = 1.0
    seed: int | None = None
    loaded: trio.Event = attrs.field(factory=trio.Event, init=False)
    source: str = attrs.field(default="none", init=False)
    confirmed_at_s: float = attrs.field(default=-math.inf, init=False)
    store_reachable: bool = attrs.field(default=True, init=False)
    counters: ReaderCounters = attrs.field(factory=ReaderCounters, init=False)
    archive: SnapshotArchive = attrs.field(init=False)
    _in_force: ConfigurationInForce = attrs.field(
        factory=ConfigurationInForce, init=False
    )
    _propagation: Propagation = attrs.field(init=False)
    _subscribers: list[Subscriber] = attrs.field(factory=list, init=False)
    _random: Random = attrs.field(init=False)
    _apply_lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _archived: Snapshot | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self.archive = SnapshotArchive(self.store.objects)
        self._propagation = Propagation(
            self.links,
            self.peers,
            self._in_force,
            self._apply_from_peer,
            self._update_readiness,
            self.store.sheet_by_hash,
            self.counters,
            self._random,
        )

    @property
    def snapshot(self) -> Snapshot:
        """Snapshot in force; version 0 before the first."""
        return self._in_force.snapshot

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, or ``None`` before the first."""
        return self.snapshot.configuration if self.snapshot.version else None

    @property
    def ready(self) -> bool:
        """Whether the version in force was confirmed as current."""
        return self._in_force.ready

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with each configuration that comes into force."""
        self._subscribers.append(callback)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            self._propagation.start(nursery)
            Timers(nursery).every(
                ANTI_ENTROPY_INTERVAL_S, self._announce_to_random_peer
            )
            nursery.start_soon(self._poll)
            task_status.started()

    async def refresh(self) -> None:
        """Poll the store once and apply its version if it is newer.

        Raises
        ------
        PlatformUnavailable
            If the store cannot be read.
        DocumentBroken
            If a row or object does not match its hash or schema.
        """
        self.counters.store_reads += 1
        head = await self.store.head()
        if head.version > self.snapshot.version:
            snapshot = await self.store.load(self.snapshot)
            await self.apply_if_newer(snapshot, "store")
        if 0 < head.version <= self.snapshot.version:
            self._confirm("store")

    async def apply_if_newer(
        self, snapshot: Snapshot, source: str, sender: str = ""
    ) -> bool:
        """Bring a snapshot into force if it is newer; return whether it was.

        Parameters
        ----------
        snapshot : Snapshot
            A state that the store has accepted.
        source : {"store", "operator", "peer", "archive"}
            Where it came from. A snapshot from an operator is pushed to peers; for any
            other, only its version is announced.
        sender : str
            Peer that it came from, which is left out of the announcement.
        """
        before = self.snapshot
        if not await self._apply(snapshot):
            return False
        log_change("configuration_in_force", version=snapshot.version, source=source)
        if source in ("store", "operator"):
            self._confirm(source)
        if source == "operator":
            await self._propagation.push(before.head.sheet_sha256)
        else:
            self._propagation.announce(exclude=sender)
        return True

    async def query_peers(self, timeout_s: float) -> dict[str, PeerVersion | None]:
        """Query every known peer for its version.

        Parameters
        ----------
        timeout_s : float
            Time after which a peer that has not answered is reported as ``None``.
        """
        return await self._propagation.query_versions(timeout_s)

    async def _apply(self, snapshot: Snapshot) -> bool:
        async with self._apply_lock:
            if snapshot.version <= self.snapshot.version:
                self.counters.older_refused += snapshot.version < self.snapshot.version
                return False
            entries = len(snapshot.sheet.organisations)
            advance = partial(self._in_force.history.advance, snapshot)
            self._in_force.history = await run_off_loop(entries, advance)
            self._in_force.snapshot = snapshot
            self.counters.applied += 1
            for callback in self._subscribers:
                callback(snapshot.configuration)
            self.loaded.set()
        return True

    async def _poll(self) -> None:
        while True:
            try:
                await self.refresh()
                self._set_store_reachable(reachable=True)
            except (PlatformUnavailable, DocumentBroken) as exc:
                self.counters.store_failures += 1
                self._set_store_reachable(reachable=False, detail=exc.detail)
                if not self.ready:
                    await self._recover_without_tables()
            routers = 1 + len(list(self.peers()))
            interval_s = max(self.poll_interval_s, routers / FLEET_READS_PER_S)
            await trio.sleep(interval_s * self._random.uniform(0.5, 1.5))

    async def _recover_without_tables(self) -> None:
        """Query the peers and apply the newest archived version, without the tables."""
        self._propagation.query()
        with contextlib.suppress(PlatformUnavailable, DocumentBroken):
            self._archived = await self.archive.newest() or self._archived
        if self._archived is not None:
            await self.apply_if_newer(self._archived, "archive")
        self._update_readiness()

    async def _apply_from_peer(self, snapshot: Snapshot, sender: str) -> None:
        await self.apply_if_newer(snapshot, "peer", sender)
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self.ready:
            return
        archived = None if self._archived is None else self._archived.version
        if is_confirmed_by_majority(
            self.snapshot.version,
            self.peers(),
            self._propagation.peer_versions,
            archived,
        ):
            self._confirm("peers")

    def _confirm(self, source: str) -> None:
        """Record that the version in force is current as of now."""
        self.confirmed_at_s = trio.current_time()
        self.source = source
        if self.ready:
            return
        self._in_force.ready = True
        version = self.snapshot.version
        log_change("configuration_ready", version=version, source=source)

    def _set_store_reachable(self, *, reachable: bool, detail: str = "") -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        if reachable:
            log_change("configuration_store_reachable")
        else:
            log_fault("configuration_store_unreachable", detail=detail)

    async def _announce_to_random_peer(self) -> None:
        self._propagation.announce(count=1)
