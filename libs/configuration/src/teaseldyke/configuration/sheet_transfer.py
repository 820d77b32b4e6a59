"""Transfer of large sheets between routers, one part at a time."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from teaseldyke.peers import PeerLinks

from .documents import SheetHistory
from .encoding import decode_sheet_off_loop
from .errors import DocumentBroken
from .messages import SheetPart, SheetRequest
from .offloading import run_off_loop
from .sheet import Sheet

PART_BYTES = 32 * 1024
PART_TIMEOUT_S = 1.0
PART_ATTEMPTS = 3
PARTS_LIMIT = 4096


@attrs.define(eq=False)
class SheetTransfer:
    """Serves the parts of this router's sheet and fetches those of a peer's.

    Parameters
    ----------
    links : PeerLinks
        Links to the peers.
    history : callable
        Returns the sheet in force.
    """

    links: PeerLinks
    history: Callable[[], SheetHistory]
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _awaited: tuple[str, str, int] | None = attrs.field(default=None, init=False)
    _arrived: SheetPart | None = attrs.field(default=None, init=False)
    _event: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self.links.subscribe(SheetRequest, self._serve)
        self.links.subscribe(SheetPart, self._take)

    def start(self, nursery: trio.Nursery) -> None:
        """Serve parts from now on, each in a task of its own."""
        self._nursery = nursery

    async def fetch(self, peer: str, sha256: str) -> Sheet:
        """Return a peer's sheet.

        Raises
        ------
        DocumentBroken
            If the peer stopped answering or the sheet does not match its hash.
        """
        async with self._lock:
            data = bytearray()
            part = 0
            parts = 1
            while part < min(parts, PARTS_LIMIT):
                arrived = await self._fetch_part(peer, sha256, part)
                data += arrived.data
                parts = arrived.parts
                part += 1
        return await decode_sheet_off_loop(bytes(data), sha256)

    async def _fetch_part(self, peer: str, sha256: str, part: int) -> SheetPart:
        for _ in range(PART_ATTEMPTS):
            self._awaited = (peer, sha256, part)
            self._arrived = None
            self._event = trio.Event()
            self.links.send(peer, SheetRequest(sha256, part))
            with trio.move_on_after(PART_TIMEOUT_S):
                await self._event.wait()
            if self._arrived is not None:
                return self._arrived
        raise DocumentBroken(f"peer {peer!r} did not send part {part} of its sheet")

    async def _serve(self, sender: str, message: SheetRequest) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._send_part, sender, message)

    async def _send_part(self, sender: str, message: SheetRequest) -> None:
        history = self.history()
        if message.sha256 != history.sha256:
            return
        data = await run_off_loop(len(history.sheet.organisations), history.data)
        parts = -(-len(data) // PART_BYTES)
        if not 0 <= message.part < parts:
            return
        start = message.part * PART_BYTES
        part = data[start : start + PART_BYTES]
        self.links.send(sender, SheetPart(message.sha256, message.part, parts, part))

    async def _take(self, sender: str, message: SheetPart) -> None:
        if self._awaited != (sender, message.sha256, message.part):
            return
        self._arrived = message
        self._event.set()
