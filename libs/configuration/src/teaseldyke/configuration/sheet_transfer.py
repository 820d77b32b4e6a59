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
MAX_PART_ATTEMPTS = 3
MAX_PARTS = 4096


@attrs.define(eq=False)
class SheetTransfer:
    """Sends the parts of this router's sheet and fetches the sheets of peers.

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
    _expected_part: tuple[str, str, int] | None = attrs.field(default=None, init=False)
    _received_part: SheetPart | None = attrs.field(default=None, init=False)
    _event: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self.links.subscribe(SheetRequest, self._on_request)
        self.links.subscribe(SheetPart, self._on_part)

    def start(self, nursery: trio.Nursery) -> None:
        """Start to send requested parts, each in its own task in the nursery."""
        self._nursery = nursery

    async def fetch(self, peer: str, sha256: str) -> Sheet:
        """Fetch a sheet from a peer, one transfer at a time.

        Raises
        ------
        DocumentBroken
            If the peer stopped answering or the sheet does not match its hash.
        """
        async with self._lock:
            data = bytearray()
            part = 0
            parts = 1
            while part < min(parts, MAX_PARTS):
                received = await self._fetch_part(peer, sha256, part)
                data += received.data
                parts = received.parts
                part += 1
        return await decode_sheet_off_loop(bytes(data), sha256)

    async def _fetch_part(self, peer: str, sha256: str, part: int) -> SheetPart:
        for _ in range(MAX_PART_ATTEMPTS):
            self._expected_part = (peer, sha256, part)
            self._received_part = None
            self._event = trio.Event()
            self.links.send(peer, SheetRequest(sha256, part))
            with trio.move_on_after(PART_TIMEOUT_S):
                await self._event.wait()
            if self._received_part is not None:
                return self._received_part
        raise DocumentBroken(
            f"peer {peer!r} did not send part {part} of sheet {sha256}"
        )

    async def _on_request(self, sender: str, message: SheetRequest) -> None:
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

    async def _on_part(self, sender: str, message: SheetPart) -> None:
        if self._expected_part != (sender, message.sha256, message.part):
            return
        self._received_part = message
        self._event.set()
