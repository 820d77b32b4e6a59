"""Links to the other routers over pynng."""

from __future__ import annotations

import errno
import math
from collections import deque

import attrs
import pynng
import trio
from absl import logging

from .codec import Codec, MessageInvalid
from .frames import decode_frame, encode_frame
from .interfaces import Handler, LinkState, PeerAddress

OUTBOX_MESSAGES = 256  # most messages queued for a peer; the oldest are dropped first
FRAME_MESSAGES = 64  # most messages in one frame
FRAME_LIMIT_BYTES = 1024 * 1024
SEND_TIMEOUT_S = 1.0
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 250
PROBE_INTERVAL_S = 0.1  # between TCP connections to a peer that is not up
PROBE_TIMEOUT_S = 0.3


@attrs.define
class LinkCounters:
    """Counts of messages, frames and bytes since the start of the process."""

    messages_sent: int = 0
    frames_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    frames_received: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0
    frames_invalid: int = 0


def _set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


@attrs.define(eq=False)
class _Peer:
    """One peer, with its queue of outgoing messages and the scope of its task."""

    name: str
    address: PeerAddress
    outbox: deque[object] = attrs.field(factory=lambda: deque(maxlen=OUTBOX_MESSAGES))
    wake: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    state: LinkState = LinkState.DOWN
    pipes: int = 0
    disconnected: trio.Event = attrs.field(factory=_set_event)


@attrs.define(eq=False)
class Links:
    """Sends messages to peers and delivers received messages to the subscribers.

    Parameters
    ----------
    name : str
        Name of this router, sent as the sender of its messages.
    host, port : str, int
        Address to listen on.
    codec : Codec
        Codec for every message type in use.
    """

    name: str
    host: str
    port: int
    codec: Codec
    counters: LinkCounters = attrs.field(factory=LinkCounters, init=False)
    _peers: dict[str, _Peer] = attrs.field(factory=dict, init=False)
    _handlers: dict[type, list[Handler]] = attrs.field(factory=dict, init=False)
    _last_received_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``await handler(sender, message)`` for each message of a type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def state(self, peer: str) -> LinkState:
        """Return the state of a peer's process."""
        known = self._peers.get(peer)
        return LinkState.DOWN if known is None else known.state

    def last_received_at_s(self, peer: str) -> float:
        """Return when a peer's last message was received, or minus infinity."""
        return self._last_received_at_s.get(peer, -math.inf)

    def set_peers(self, addresses: dict[str, PeerAddress]) -> None:
        """Replace the set of peers; links to unchanged peers are not interrupted."""
        for name, peer in list(self._peers.items()):
            if addresses.get(name) == peer.address:
                continue
            peer.scope.cancel()
            del self._peers[name]
        for name, address in addresses.items():
            if name == self.name or name in self._peers:
                continue
            peer = _Peer(name, address)
            self._peers[name] = peer
            if self._nursery is not None:
                self._nursery.start_soon(self._run_peer, peer)

    def send(self, peer: str, message: object) -> None:
        """Queue a message; dropped if the peer is not up. Never blocks."""
        known = self._peers.get(peer)
        if known is None or known.state is not LinkState.UP:
            self.counters.messages_dropped += 1
            return
        if len(known.outbox) == OUTBOX_MESSAGES:
            self.counters.messages_dropped += 1
        known.outbox.append(message)
        known.wake.set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, and run one task per peer, until cancelled."""
        with pynng.Pull0(recv_max_size=FRAME_LIMIT_BYTES) as socket:
            socket.listen(f"tcp://{self.host}:{self.port}")
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for peer in self._peers.values():
                    nursery.start_soon(self._run_peer, peer)
                task_status.started()
                while True:
                    await self._receive(await socket.arecv())

    async def _receive(self, data: bytes) -> None:
        self.counters.frames_received += 1
        self.counters.bytes_received += len(data)
        try:
            sender, messages = decode_frame(self.codec, data)
        except MessageInvalid:
            self.counters.frames_invalid += 1
            return
        self._last_received_at_s[sender] = trio.current_time()
        self.counters.messages_received += len(messages)
        for message in messages:
            for handler in self._handlers.get(type(message), ()):
                await handler(sender, message)

    async def _run_peer(self, peer: _Peer) -> None:
        token = trio.lowlevel.current_trio_token()

        def connected(pipe: object) -> None:
            token.run_sync_soon(self._count_pipe, peer, 1)

        def removed(pipe: object) -> None:
            token.run_sync_soon(self._count_pipe, peer, -1)

        with (
            peer.scope,
            pynng.Push0(
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            ) as socket,
        ):
            socket.add_post_pipe_connect_cb(connected)
            socket.add_post_pipe_remove_cb(removed)
            socket.dial(f"tcp://{peer.address.host}:{peer.address.port}", block=False)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._probe, peer)
                while True:
                    await peer.wake.wait()
                    peer.wake = trio.Event()
                    await self._flush(peer, socket)

    def _count_pipe(self, peer: _Peer, change: int) -> None:
        peer.pipes += change
        if peer.pipes > 0:
            peer.disconnected = trio.Event()
            self._set_state(peer, LinkState.UP)
            return
        peer.disconnected.set()
        self._set_state(peer, LinkState.DOWN)
        peer.outbox.clear()

    def _set_state(self, peer: _Peer, state: LinkState) -> None:
        if peer.state is state:
            return
        peer.state = state
        logging.info("link peer=%s state=%s", peer.name, state.value)

    async def _flush(self, peer: _Peer, socket: pynng.Push0) -> None:
        while peer.outbox:
            count = min(FRAME_MESSAGES, len(peer.outbox))
            messages = [peer.outbox.popleft() for _ in range(count)]
            data = encode_frame(self.codec, self.name, messages)
            with trio.move_on_after(SEND_TIMEOUT_S) as scope:
                await socket.asend(data)
            if scope.cancelled_caught:
                self.counters.messages_dropped += count
                continue
            self.counters.frames_sent += 1
            self.counters.messages_sent += count
            self.counters.bytes_sent += len(data)

    async def _probe(self, peer: _Peer) -> None:
        while True:
            await peer.disconnected.wait()
            refused = await _is_refused(peer.address)
            if peer.pipes == 0:
                state = LinkState.GONE if refused else LinkState.DOWN
                self._set_state(peer, state)
            await trio.sleep(PROBE_INTERVAL_S)


async def _is_refused(address: PeerAddress) -> bool:
    """Return whether the peer's host refuses a TCP connection."""
    try:
        with trio.fail_after(PROBE_TIMEOUT_S):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.aclose()
    except trio.TooSlowError:
        return False
    except OSError as exc:
        return _has_errno(exc, errno.ECONNREFUSED)
    return False


def _has_errno(exc: BaseException | None, number: int) -> bool:
    if isinstance(exc, BaseExceptionGroup):
        return any(_has_errno(inner, number) for inner in exc.exceptions)
    if isinstance(exc, OSError) and exc.errno == number:
        return True
    return exc is not None and _has_errno(exc.__cause__, number)
