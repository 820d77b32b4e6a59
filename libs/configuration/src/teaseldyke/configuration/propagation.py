"""Passes configurations on between routers."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from random import Random

import attrs
import trio

from teaseldyke.peers import PeerLinks
from teaseldyke.telemetry import log_fault
from teaseldyke.types import PlatformUnavailable

from .counters import ReaderCounters
from .documents import (
    Document,
    SheetHistory,
    decode_document,
    encode_document,
    sheet_in,
)
from .encoding import check_hash
from .errors import DocumentBroken
from .messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    VersionNotice,
    VersionQuery,
)
from .offloading import run_off_loop
from .readiness import PeerVersion
from .sheet import Sheet
from .sheet_transfer import SheetTransfer
from .snapshot import Snapshot

FAN_OUT = 8  # peers that one router tells of a new version
REQUEST_TIMEOUT_S = 0.5  # after which another peer may be asked for a document
ANSWER_LOOK_S = 0.01  # between two looks for answers of peers


@attrs.define
class InForce:
    """What is in force in this router.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration in force.
    history : SheetHistory
        Its sheet, with the difference from the one before.
    ready : bool
        Whether there is reason to believe it current.
    """

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    history: SheetHistory = attrs.field(factory=SheetHistory)
    ready: bool = False


@attrs.define(eq=False)
class Propagation:
    """Tells peers of new versions and takes theirs.

    A change that was accepted here is sent to up to `FAN_OUT` peers at once; a version
    that came from elsewhere is only announced, and sent to peers that ask for it.

    Parameters
    ----------
    links : PeerLinks
        Links to the other routers.
    peers : callable
        Returns the names of every other known router.
    in_force : InForce
        What is in force, kept up to date by the reader.
    take : callable
        Called with a peer's snapshot and the peer's name.
    heard : callable
        Called after a peer told its version.
    fetch_sheet : callable
        Reads a large sheet by its hash from the object store.
    counters : ReaderCounters
        Counts of the reader.
    random : Random
        Draws the peers.
    """

    links: PeerLinks
    peers: Callable[[], Iterable[str]]
    in_force: InForce
    take: Callable[[Snapshot, str], Awaitable[None]]
    heard: Callable[[], None]
    fetch_sheet: Callable[[str], Awaitable[Sheet]]
    counters: ReaderCounters
    random: Random
    peer_versions: dict[str, PeerVersion] = attrs.field(factory=dict, init=False)
    _transfer: SheetTransfer = attrs.field(init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _asked_version: int = attrs.field(default=0, init=False)
    _asked_at_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._transfer = SheetTransfer(self.links, lambda: self.in_force.history)
        self.links.subscribe(VersionQuery, self._answer_query)
        self.links.subscribe(VersionNotice, self._take_notice)
        self.links.subscribe(ConfigurationRequest, self._answer_request)
        self.links.subscribe(ConfigurationDocument, self._take_document)

    def start(self, nursery: trio.Nursery) -> None:
        """Answer and take documents from now on, each in a task of its own."""
        self._nursery = nursery
        self._transfer.start(nursery)

    def query(self) -> None:
        """Ask every known peer for its version."""
        for peer in self.peers():
            self.links.send(peer, VersionQuery())

    def announce(self, count: int = FAN_OUT, without: str = "") -> None:
        """Tell random peers of the version in force."""
        self._tell(self._some_peers(count, without))

    async def push(self, sheet_sha256: str) -> None:
        """Send the configuration in force to random peers at once.

        Parameters
        ----------
        sheet_sha256 : str
            Hash of the sheet that peers are expected to have.
        """
        message = await self._document(sheet_sha256)
        for peer in self._some_peers(FAN_OUT):
            self._send_document(peer, message)

    async def ask_versions(self, timeout_s: float) -> dict[str, PeerVersion | None]:
        """Ask every known peer for its version; ``None`` for one that is silent."""
        asked_at_s = trio.current_time()
        answers: dict[str, PeerVersion | None] = dict.fromkeys(sorted(self.peers()))
        self.query()
        with trio.move_on_after(timeout_s):
            while not all(answers.values()):
                await trio.sleep(ANSWER_LOOK_S)
                for peer in answers:
                    told = self.peer_versions.get(peer)
                    if told is not None and told.heard_at_s >= asked_at_s:
                        answers[peer] = told
        return answers

    def _some_peers(self, count: int, without: str = "") -> list[str]:
        names = sorted(set(self.peers()) - {without})
        return self.random.sample(names, min(count, len(names)))

    def _tell(self, peers: Iterable[str]) -> None:
        version = self.in_force.snapshot.version
        for peer in peers:
            self.counters.notices_sent += 1
            self.links.send(peer, VersionNotice(version, self.in_force.ready))

    async def _answer_query(self, sender: str, message: VersionQuery) -> None:
        self._tell([sender])

    async def _take_notice(self, sender: str, message: VersionNotice) -> None:
        now_s = trio.current_time()
        self.peer_versions[sender] = PeerVersion(message.version, message.ready, now_s)
        version = self.in_force.snapshot.version
        if message.version > version:
            self._ask(sender, message.version)
        elif message.version < version:
            self._tell([sender])
        self.heard()

    def _ask(self, peer: str, version: int) -> None:
        now_s = trio.current_time()
        asked_lately = now_s - self._asked_at_s < REQUEST_TIMEOUT_S
        if asked_lately and version <= self._asked_version:
            return
        self._asked_version = version
        self._asked_at_s = now_s
        head = self.in_force.snapshot.head
        self.links.send(peer, ConfigurationRequest(head.version, head.sheet_sha256))

    async def _answer_request(self, sender: str, message: ConfigurationRequest) -> None:
        if self.in_force.snapshot.version <= message.have_version:
            return
        if self._nursery is not None:
            self._nursery.start_soon(self._answer, sender, message.have_sheet_sha256)

    async def _answer(self, peer: str, have_sheet_sha256: str) -> None:
        self._send_document(peer, await self._document(have_sheet_sha256))

    async def _document(self, have_sheet_sha256: str) -> ConfigurationDocument:
        snapshot = self.in_force.snapshot
        history = self.in_force.history
        entries = len(snapshot.sheet.organisations)
        build = partial(history.document_for, snapshot, have_sheet_sha256)
        document = await run_off_loop(entries, build)
        return ConfigurationDocument(snapshot.version, encode_document(document))

    def _send_document(self, peer: str, message: ConfigurationDocument) -> None:
        self.counters.documents_sent += 1
        self.links.send(peer, message)

    async def _take_document(self, sender: str, message: ConfigurationDocument) -> None:
        if message.version <= self.in_force.snapshot.version:
            return
        if self._nursery is not None:
            self._nursery.start_soon(self._apply_document, sender, message)

    async def _apply_document(
        self, sender: str, message: ConfigurationDocument
    ) -> None:
        try:
            document = decode_document(message.document)
            sheet = sheet_in(document, self.in_force.snapshot)
            if sheet is None and document.difference is not None:
                self._ask(sender, message.version)  # it starts from another sheet
                return
            if sheet is None:
                sheet = await self._fetch_sheet(sender, document)
            elif document.difference is not None:
                await check_hash(sheet, document.head.sheet_sha256)
        except DocumentBroken as exc:
            self.counters.documents_broken += 1
            log_fault("configuration_broken", sender=sender, detail=exc.detail)
            return
        await self.take(Snapshot(document.head, sheet, document.switches), sender)

    async def _fetch_sheet(self, sender: str, document: Document) -> Sheet:
        """Return a large sheet from the object store, else from the sender."""
        sha256 = document.head.sheet_sha256
        try:
            return await self.fetch_sheet(sha256)
        except (PlatformUnavailable, DocumentBroken):
            return await self._transfer.fetch(sender, sha256)
