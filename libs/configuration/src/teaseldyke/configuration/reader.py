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
from .documents import (
    Document,
    SheetHistory,
    decode_document,
    encode_document,
    sheet_in,
)
from .errors import DocumentBroken
from .messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    VersionNotice,
    VersionQuery,
)
from .offloading import run_off_loop
from .readiness import PeerVersion, is_believed_current
from .sheet import Sheet
from .sheet_transfer import SheetTransfer
from .snapshot import Snapshot
from .store import ConfigurationStore

FAN_OUT = 8  # peers that one router tells of a new version
FLEET_READS_PER_S = 200.0  # of the head row, by all routers together
COMPARE_INTERVAL_S = 2.0  # between comparisons of versions with a random peer
REQUEST_TIMEOUT_S = 0.5  # after which another peer may be asked for a document

Subscriber = Callable[[Configuration], None]


@attrs.define
class ReaderCounters:
    """Counts since the start of the process."""

    store_reads: int = 0
    store_failures: int = 0
    applied: int = 0
    older_refused: int = 0
    documents_sent: int = 0
    documents_broken: int = 0
    notices_sent: int = 0


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
    """

    store: ConfigurationStore
    links: PeerLinks
    peers: Callable[[], Iterable[str]]
    poll_interval_s: float = 1.0
    seed: int | None = None
    ready: bool = attrs.field(default=False, init=False)
    source: str = attrs.field(default="none", init=False)
    snapshot: Snapshot = attrs.field(factory=Snapshot, init=False)
    confirmed_at_s: float = attrs.field(default=-math.inf, init=False)
    counters: ReaderCounters = attrs.field(factory=ReaderCounters, init=False)
    peer_versions: dict[str, PeerVersion] = attrs.field(factory=dict, init=False)
    archive: SnapshotArchive = attrs.field(init=False)
    _history: SheetHistory = attrs.field(factory=SheetHistory, init=False)
    _transfer: SheetTransfer = attrs.field(init=False)
    _subscribers: list[Subscriber] = attrs.field(factory=list, init=False)
    _random: Random = attrs.field(init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _applying: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _archived: Snapshot | None = attrs.field(default=None, init=False)
    _asked_version: int = attrs.field(default=0, init=False)
    _asked_at_s: float = attrs.field(default=-math.inf, init=False)
    _store_reachable: bool = attrs.field(default=True, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self.archive = SnapshotArchive(self.store.objects)
        self._transfer = SheetTransfer(self.links, lambda: self._history)
        self.links.subscribe(VersionQuery, self._answer_query)
        self.links.subscribe(VersionNotice, self._take_notice)
        self.links.subscribe(ConfigurationRequest, self._answer_request)
        self.links.subscribe(ConfigurationDocument, self._take_document)

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, or ``None`` before the first."""
        return self.snapshot.configuration if self.snapshot.version else None

    @property
    def store_reachable(self) -> bool:
        """Whether the last look at the store succeeded."""
        return self._store_reachable

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each configuration that comes into force."""
        self._subscribers.append(callback)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            timers = Timers(nursery)
            timers.every(COMPARE_INTERVAL_S, self._compare_with_a_peer)
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
            await self.offer(snapshot, "store")
        if 0 < head.version <= self.snapshot.version:
            self._confirm("store")

    async def offer(self, snapshot: Snapshot, source: str, sender: str = "") -> bool:
        """Bring a snapshot into force if it is newer; return whether it was.

        Parameters
        ----------
        snapshot : Snapshot
            A state that the store has accepted.
        source : str
            Where it came from, for status and log.
        sender : str
            Peer that it came from; it is not told again.
        """
        async with self._applying:
            if snapshot.version <= self.snapshot.version:
                self.counters.older_refused += snapshot.version < self.snapshot.version
                return False
            entries = len(snapshot.sheet.organisations)
            history = await run_off_loop(
                entries, partial(self._history.follow, snapshot)
            )
            self._history = history
            self.snapshot = snapshot
            self.counters.applied += 1
            for callback in self._subscribers:
                callback(snapshot.configuration)
        log_change("configuration_in_force", version=snapshot.version, source=source)
        if source in ("store", "operator"):
            self._confirm(source)
        self._tell(self._some_peers(FAN_OUT, sender))
        return True

    async def ask_peers(self, timeout_s: float) -> dict[str, PeerVersion | None]:
        """Ask every known peer for its version.

        Parameters
        ----------
        timeout_s : float
            Time after which a peer that has not answered is given as ``None``.
        """
        asked_at_s = trio.current_time()
        names = sorted(self.peers())
        for peer in names:
            self.links.send(peer, VersionQuery())
        answers: dict[str, PeerVersion | None] = dict.fromkeys(names)
        with trio.move_on_after(timeout_s):
            while True:
                for peer in names:
                    told = self.peer_versions.get(peer)
                    if told is not None and told.heard_at_s >= asked_at_s:
                        answers[peer] = told
                if all(answers.values()):
                    break
                await trio.sleep(0.01)
        return answers

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
        """Look for the newest version without the store."""
        self._tell_query(self.peers())
        with contextlib.suppress(PlatformUnavailable, DocumentBroken):
            self._archived = await self.archive.newest() or self._archived
        if self._archived is not None:
            await self.offer(self._archived, "archive")
        self._consider_ready()

    def _consider_ready(self) -> None:
        if self.ready:
            return
        archived = None if self._archived is None else self._archived.version
        if is_believed_current(
            self.snapshot.version, self.peers(), self.peer_versions, archived
        ):
            self._confirm("peers")

    def _confirm(self, source: str) -> None:
        """Note that the version in force was just seen to be current."""
        self.confirmed_at_s = trio.current_time()
        if self.ready and source == self.source:
            return
        if not self.ready:
            log_change(
                "configuration_ready", version=self.snapshot.version, source=source
            )
        self.ready = True
        self.source = source

    def _note_store(self, *, reachable: bool, detail: str = "") -> None:
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        if reachable:
            log_change("configuration_store_reachable")
        else:
            log_fault("configuration_store_unreachable", detail=detail)

    async def _compare_with_a_peer(self) -> None:
        self._tell(self._some_peers(1))

    def _some_peers(self, count: int, without: str = "") -> list[str]:
        names = sorted(set(self.peers()) - {without})
        return self._random.sample(names, min(count, len(names)))

    def _tell(self, peers: Iterable[str]) -> None:
        for peer in peers:
            self.counters.notices_sent += 1
            self.links.send(peer, VersionNotice(self.snapshot.version, self.ready))

    def _tell_query(self, peers: Iterable[str]) -> None:
        for peer in peers:
            self.links.send(peer, VersionQuery())

    async def _answer_query(self, sender: str, message: VersionQuery) -> None:
        self._tell([sender])

    async def _take_notice(self, sender: str, message: VersionNotice) -> None:
        now_s = trio.current_time()
        self.peer_versions[sender] = PeerVersion(message.version, message.ready, now_s)
        if message.version > self.snapshot.version:
            self._ask(sender, message.version)
        elif message.version < self.snapshot.version:
            self._tell([sender])
        self._consider_ready()

    def _ask(self, peer: str, version: int) -> None:
        now_s = trio.current_time()
        asked_lately = now_s - self._asked_at_s < REQUEST_TIMEOUT_S
        if asked_lately and version <= self._asked_version:
            return
        self._asked_version = version
        self._asked_at_s = now_s
        request = ConfigurationRequest(
            self.snapshot.version, self.snapshot.head.sheet_sha256
        )
        self.links.send(peer, request)

    async def _answer_request(self, sender: str, message: ConfigurationRequest) -> None:
        snapshot = self.snapshot
        if snapshot.version <= message.have_version:
            return
        entries = len(snapshot.sheet.organisations)
        build = partial(self._history.document_for, snapshot, message.have_sheet_sha256)
        document = await run_off_loop(entries, build)
        self.counters.documents_sent += 1
        self.links.send(
            sender, ConfigurationDocument(snapshot.version, encode_document(document))
        )

    async def _take_document(self, sender: str, message: ConfigurationDocument) -> None:
        if message.version <= self.snapshot.version or self._nursery is None:
            return
        self._nursery.start_soon(self._apply_document, sender, message)

    async def _apply_document(
        self, sender: str, message: ConfigurationDocument
    ) -> None:
        try:
            document = decode_document(message.document)
            sheet = sheet_in(document, self.snapshot)
            if sheet is None:
                sheet = await self._fetch_sheet(sender, document)
        except DocumentBroken as exc:
            self.counters.documents_broken += 1
            log_fault("configuration_broken", sender=sender, detail=exc.detail)
            return
        snapshot = Snapshot(document.head, sheet, document.switches)
        await self.offer(snapshot, "peer", sender)
        self._consider_ready()

    async def _fetch_sheet(self, sender: str, document: Document) -> Sheet:
        """Return a large sheet from the object store, else from the sender."""
        sha256 = document.head.sheet_sha256
        try:
            return await self.store.sheet_by_hash(sha256)
        except (PlatformUnavailable, DocumentBroken):
            return await self._transfer.fetch(sender, sha256)
