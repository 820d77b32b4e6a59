"""Gossip of configuration versions between routers."""

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

FAN_OUT = 8  # peers that a router notifies of a new version
REQUEST_TIMEOUT_S = 0.5  # until a document may be requested again, from any peer
RESPONSE_POLL_INTERVAL_S = 0.01  # of checking for replies from peers


@attrs.define
class ConfigurationInForce:
    """Configuration in force on this router.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot in force.
    history : SheetHistory
        Its sheet, with the difference from the previous one.
    ready : bool
        Whether the snapshot was confirmed as current.
    """

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    history: SheetHistory = attrs.field(factory=SheetHistory)
    ready: bool = False


@attrs.define(eq=False)
class Propagation:
    """Sends new versions to peers and receives theirs.

    A change that was accepted on this router is pushed to up to `FAN_OUT` peers at
    once. A version from any other source is only announced, and sent on request.

    Parameters
    ----------
    links : PeerLinks
        Links to the other routers.
    peers : callable
        Returns the names of every other known router.
    in_force : ConfigurationInForce
        Configuration in force; the reader updates it.
    on_snapshot : callable
        Called with a peer's snapshot and the name of the peer.
    on_peer_version : callable
        Called after a peer has reported its version.
    fetch_sheet : callable
        Reads a large sheet by its hash from the object store.
    counters : ReaderCounters
        Counters of the reader.
    random : Random
        Chooses the peers.
    """

    links: PeerLinks
    peers: Callable[[], Iterable[str]]
    in_force: ConfigurationInForce
    on_snapshot: Callable[[Snapshot, str], Awaitable[None]]
    on_peer_version: Callable[[], None]
    fetch_sheet: Callable[[str], Awaitable[Sheet]]
    counters: ReaderCounters
    random: Random
    peer_versions: dict[str, PeerVersion] = attrs.field(factory=dict, init=False)
    _transfer: SheetTransfer = attrs.field(init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _requested_version: int = attrs.field(default=0, init=False)
    _requested_at_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._transfer = SheetTransfer(self.links, lambda: self.in_force.history)
        self.links.subscribe(VersionQuery, self._on_query)
        self.links.subscribe(VersionNotice, self._on_notice)
        self.links.subscribe(ConfigurationRequest, self._on_request)
        self.links.subscribe(ConfigurationDocument, self._on_document)

    def start(self, nursery: trio.Nursery) -> None:
        """Start to send and apply documents, each in its own task in the nursery."""
        self._nursery = nursery
        self._transfer.start(nursery)

    def query(self) -> None:
        """Send a version query to every known peer."""
        for peer in self.peers():
            self.links.send(peer, VersionQuery())

    def announce(self, count: int = FAN_OUT, exclude: str = "") -> None:
        """Send the version in force to random peers, but not to ``exclude``."""
        self._send_notices(self._sample_peers(count, exclude))

    async def push(self, sheet_sha256: str) -> None:
        """Send the configuration in force to random peers at once.

        Parameters
        ----------
        sheet_sha256 : str
            Hash of the sheet that peers are expected to have.
        """
        message = await self._build_document(sheet_sha256)
        for peer in self._sample_peers(FAN_OUT):
            self._send_document(peer, message)

    async def query_versions(self, timeout_s: float) -> dict[str, PeerVersion | None]:
        """Query every known peer; the result is ``None`` for one that did not reply."""
        query_sent_at_s = trio.current_time()
        answers: dict[str, PeerVersion | None] = dict.fromkeys(sorted(self.peers()))
        self.query()
        with trio.move_on_after(timeout_s):
            while not all(answers.values()):
                await trio.sleep(RESPONSE_POLL_INTERVAL_S)
                for peer in answers:
                    reported = self.peer_versions.get(peer)
                    if (
                        reported is not None
                        and reported.received_at_s >= query_sent_at_s
                    ):
                        answers[peer] = reported
        return answers

    def _sample_peers(self, count: int, exclude: str = "") -> list[str]:
        names = sorted(set(self.peers()) - {exclude})
        return self.random.sample(names, min(count, len(names)))

    def _send_notices(self, peers: Iterable[str]) -> None:
        version = self.in_force.snapshot.version
        for peer in peers:
            self.counters.notices_sent += 1
            self.links.send(peer, VersionNotice(version, self.in_force.ready))

    async def _on_query(self, sender: str, message: VersionQuery) -> None:
        self._send_notices([sender])

    async def _on_notice(self, sender: str, message: VersionNotice) -> None:
        now_s = trio.current_time()
        self.peer_versions[sender] = PeerVersion(message.version, message.ready, now_s)
        version = self.in_force.snapshot.version
        if message.version > version:
            self._request_document(sender, message.version)
        elif message.version < version:
            self._send_notices([sender])
        self.on_peer_version()

    def _request_document(self, peer: str, version: int) -> None:
        now_s = trio.current_time()
        requested_recently = now_s - self._requested_at_s < REQUEST_TIMEOUT_S
        if requested_recently and version <= self._requested_version:
            return
        self._requested_version = version
        self._requested_at_s = now_s
        head = self.in_force.snapshot.head
        self.links.send(peer, ConfigurationRequest(head.version, head.sheet_sha256))

    async def _on_request(self, sender: str, message: ConfigurationRequest) -> None:
        if self.in_force.snapshot.version <= message.have_version:
            return
        if self._nursery is not None:
            self._nursery.start_soon(
                self._send_requested_document, sender, message.have_sheet_sha256
            )

    async def _send_requested_document(self, peer: str, have_sheet_sha256: str) -> None:
        self._send_document(peer, await self._build_document(have_sheet_sha256))

    async def _build_document(self, have_sheet_sha256: str) -> ConfigurationDocument:
        snapshot = self.in_force.snapshot
        history = self.in_force.history
        entries = len(snapshot.sheet.organisations)
        build = partial(history.document_for, snapshot, have_sheet_sha256)
        document = await run_off_loop(entries, build)
        return ConfigurationDocument(snapshot.version, encode_document(document))

    def _send_document(self, peer: str, message: ConfigurationDocument) -> None:
        self.counters.documents_sent += 1
        self.links.send(peer, message)

    async def _on_document(self, sender: str, message: ConfigurationDocument) -> None:
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
                # The difference is based on another sheet than the one in force.
                self._request_document(sender, message.version)
                return
            if sheet is None:
                sheet = await self._fetch_sheet(sender, document)
            elif document.difference is not None:
                await check_hash(sheet, document.head.sheet_sha256)
        except DocumentBroken as exc:
            self.counters.documents_broken += 1
            log_fault("configuration_broken", sender=sender, detail=exc.detail)
            return
        await self.on_snapshot(
            Snapshot(document.head, sheet, document.switches), sender
        )

    async def _fetch_sheet(self, sender: str, document: Document) -> Sheet:
        """Return a large sheet from the object store, else from the sender."""
        sha256 = document.head.sheet_sha256
        try:
            return await self.fetch_sheet(sha256)
        except (PlatformUnavailable, DocumentBroken):
            return await self._transfer.fetch(sender, sha256)
