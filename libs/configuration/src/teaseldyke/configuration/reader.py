"""Keeps the newest configuration in force in one router."""

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
from .propagation import InForce, Propagation
from .readiness import PeerVersion, is_believed_current
from .snapshot import Snapshot
from .store import ConfigurationStore

FLEET_READS_PER_S = 200.0  # of the head row, by all routers together
COMPARE_INTERVAL_S = 2.0  # between comparisons of versions with a random peer

Subscriber = Callable[[Configuration], None]


@attrs.define(eq=False)
class ConfigurationReader:
    """Takes newer versions from the store, from peers and from this router's operators.

    A version is never replaced by an older one. The reader is ready once it has a
    version from the store, or the newest of a majority of its peers.

    Parameters
    ----------
    store : ConfigurationStore
        Where accepted versions lie.
    links : PeerLinks
        Links to the other routers.
    peers : callable
        Returns the names of every other known router.
    poll_interval_s : float
        Mean time between two looks at the head row; longer in large fleets.
    seed : int, optional
        Seed of the draws of peers and pauses.

    Attributes
    ----------
    loaded : trio.Event
        Set once a version is in force.
    source : str
        Whence the belief came that the version in force is current.
    confirmed_at_s : float
        When that belief was last confirmed, on trio's clock.
    store_reachable : bool
        Whether the last look at the store succeeded.
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
    _in_force: InForce = attrs.field(factory=InForce, init=False)
    _propagation: Propagation = attrs.field(init=False)
    _subscribers: list[Subscriber] = attrs.field(factory=list, init=False)
    _random: Random = attrs.field(init=False)
    _applying: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _archived: Snapshot | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self.archive = SnapshotArchive(self.store.objects)
        self._propagation = Propagation(
            self.links,
            self.peers,
            self._in_force,
            self._take_from_peer,
            self._consider_ready,
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
        """Whether there is reason to believe the version in force current."""
        return self._in_force.ready

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each configuration that comes into force."""
        self._subscribers.append(callback)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            self._propagation.start(nursery)
            Timers(nursery).every(COMPARE_INTERVAL_S, self._compare_with_a_peer)
            nursery.start_soon(self._poll)
            task_status.started()

    async def refresh(self) -> None:
        """Look at the store once; take what it holds.

        Raises
        ------
        PlatformUnavailable
            If the store cannot be read.
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
            Where it came from; peers are sent what an operator changed here.
        sender : str
            Peer that it came from; it is not told again.
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
            self._propagation.announce(without=sender)
        return True

    async def query_peers(self, timeout_s: float) -> dict[str, PeerVersion | None]:
        """Ask every known peer for its version.

        Parameters
        ----------
        timeout_s : float
            Time after which a peer that has not answered is given as ``None``.
        """
        return await self._propagation.ask_versions(timeout_s)

    async def _apply(self, snapshot: Snapshot) -> bool:
        async with self._applying:
            if snapshot.version <= self.snapshot.version:
                self.counters.older_refused += snapshot.version < self.snapshot.version
                return False
            entries = len(snapshot.sheet.organisations)
            follow = partial(self._in_force.history.follow, snapshot)
            self._in_force.history = await run_off_loop(entries, follow)
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
                self._note_store(reachable=True)
            except (PlatformUnavailable, DocumentBroken) as exc:
                self.counters.store_failures += 1
                self._note_store(reachable=False, detail=exc.detail)
                if not self.ready:
                    await self._gather()
            routers = 1 + len(list(self.peers()))
            interval_s = max(self.poll_interval_s, routers / FLEET_READS_PER_S)
            await trio.sleep(interval_s * self._random.uniform(0.5, 1.5))

    async def _gather(self) -> None:
        """Look for the newest version without the table service."""
        self._propagation.query()
        with contextlib.suppress(PlatformUnavailable, DocumentBroken):
            self._archived = await self.archive.newest() or self._archived
        if self._archived is not None:
            await self.apply_if_newer(self._archived, "archive")
        self._consider_ready()

    async def _take_from_peer(self, snapshot: Snapshot, sender: str) -> None:
        await self.apply_if_newer(snapshot, "peer", sender)
        self._consider_ready()

    def _consider_ready(self) -> None:
        if self.ready:
            return
        archived = None if self._archived is None else self._archived.version
        if is_believed_current(
            self.snapshot.version,
            self.peers(),
            self._propagation.peer_versions,
            archived,
        ):
            self._confirm("peers")

    def _confirm(self, source: str) -> None:
        """Note that the version in force was just seen to be current."""
        self.confirmed_at_s = trio.current_time()
        self.source = source
        if self.ready:
            return
        self._in_force.ready = True
        version = self.snapshot.version
        log_change("configuration_ready", version=version, source=source)

    def _note_store(self, *, reachable: bool, detail: str = "") -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        if reachable:
            log_change("configuration_store_reachable")
        else:
            log_fault("configuration_store_unreachable", detail=detail)

    async def _compare_with_a_peer(self) -> None:
        self._propagation.announce(count=1)
