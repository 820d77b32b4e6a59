"""Exchange of totals between the instances of a fleet, by datagrams.

Each datagram holds the sender's whole state, so lost, late and repeated ones do no
harm, and no connection can go silent. `pynng` was weighed and left out here: its
connections need a keep-alive of their own, and a round trip cost 290 us of processor
time in a trial. What a datagram costs was not measured on its own.
"""

from __future__ import annotations

import attrs
import msgspec
import trio

from teaseldyke.placement import Load, Standings, weight
from teaseldyke.telemetry import log_decision
from teaseldyke.timers import boot_time_s

from .beliefs import FleetBeliefs
from .interfaces import Directory, Peer
from .placing import Placing

EXCHANGE_S = 0.1  # between two datagrams; the load of an engine changes in about that
LOST_AFTER_S = 0.6  # six datagrams; then a peer's load no longer counts
GREET_S = 1.0  # between datagrams to peers that are not heard
DATAGRAM_BYTES = 65536
IDLE_SKIP_MAX = 5  # datagrams left out in a row while nothing has changed
INSTANCES_KEPT_S = 30.0  # a peer unheard for so long no longer shares the bounds


class Totals(msgspec.Struct, array_like=True, frozen=True):
    """What one instance tells the others.

    Attributes
    ----------
    name, host, port
        The sender.
    born_s : float
        Start of its process; tells restarts apart.
    number : int
        Grows with each datagram of a process.
    versions : tuple of int
        Newest entries of the operator and of the servers that it knows.
    loads : dict
        By backend server: prompt tokens to read, requests, tokens held.
    usage, waiting : dict
        By organisation: tokens given lately, and tokens that wait.
    """

    name: str
    host: str
    port: int
    born_s: float
    number: int
    versions: tuple[int, int]
    loads: dict[str, tuple[int, int, int]]
    usage: dict[str, int]
    waiting: dict[str, int]


@attrs.define
class _PeerState:
    peer: Peer
    heard_at_s: float
    totals: Totals | None = None
    greeted_at_s: float = 0.0


class TotalsExchange:
    """Sends this instance's totals and adds up those of the others.

    Parameters
    ----------
    own : Peer
        This instance.
    beliefs, directory
        What this instance knows.
    """

    def __init__(
        self,
        own: Peer,
        beliefs: FleetBeliefs,
        directory: Directory,
    ) -> None:
        self.own = own
        self.newer: tuple[Peer, tuple[int, int]] | None = None
        self._beliefs = beliefs
        self._directory = directory
        self._peers: dict[str, _PeerState] = {}
        self._born_s = boot_time_s()
        self._number = 0
        self._skipped = 0
        self._last_content: tuple[object, ...] = ()
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)

    @property
    def instances(self) -> int:
        """Instances that share the fleet's bounds, this one included."""
        now_s = boot_time_s()
        return 1 + sum(
            now_s - state.heard_at_s < INSTANCES_KEPT_S
            for state in self._peers.values()
        )

    def rank(self, key: str) -> int:
        """Return this instance's place among them for a key, from 0."""
        now_s = boot_time_s()
        own_weight = weight(key, self.own.name)
        return sum(
            weight(key, name) > own_weight
            for name, state in self._peers.items()
            if now_s - state.heard_at_s < INSTANCES_KEPT_S
        )

    async def open(self) -> None:
        """Bind the socket."""
        await self._socket.bind((self.own.host, self.own.port))

    def add_peers(self, peers: list[Peer]) -> None:
        """Take listed instances into the exchange."""
        now_s = boot_time_s()
        for peer in peers:
            if peer.name == self.own.name:
                continue
            known = self._peers.get(peer.name)
            if known is None:
                self._peers[peer.name] = _PeerState(peer, now_s)
                continue
            known.peer = peer

    async def receive(self) -> None:
        """Take in datagrams until cancelled."""
        decoder = msgspec.msgpack.Decoder(Totals)
        while True:
            try:
                data, address = await self._socket.recvfrom(DATAGRAM_BYTES)
            except OSError as exc:
                log_decision("totals_not_received", error=str(exc))
                await trio.sleep(EXCHANGE_S)
                continue
            try:
                totals = decoder.decode(data)
            except (msgspec.DecodeError, ValueError) as exc:
                log_decision("totals_unreadable", sender=address, error=str(exc))
                continue
            self._take(totals)

    async def send(self, placing: Placing) -> None:
        """Send this instance's totals to the others, and add up theirs."""
        now_s = boot_time_s()
        totals = self._totals(placing, now_s)
        content = (totals.versions, totals.loads, totals.waiting)
        if content == self._last_content and self._skipped < IDLE_SKIP_MAX:
            self._skipped += 1
            self._add_up(placing.standings, now_s)
            return
        self._skipped = 0
        self._last_content = content
        data = msgspec.msgpack.encode(totals)
        for state in self._peers.values():
            is_heard = now_s - state.heard_at_s < LOST_AFTER_S
            if not is_heard and now_s - state.greeted_at_s < GREET_S:
                continue
            state.greeted_at_s = now_s
            try:
                await self._socket.sendto(data, (state.peer.host, state.peer.port))
            except OSError as exc:
                log_decision("totals_not_sent", peer=state.peer.name, error=str(exc))
        self._add_up(placing.standings, now_s)

    def _totals(self, placing: Placing, now_s: float) -> Totals:
        self._number += 1
        loads = {}
        for state in self._beliefs.all_states():
            own = state.own
            if own.running:
                loads[state.server.id] = (
                    int(own.pending_tokens),
                    own.running,
                    int(own.memory_tokens),
                )
        usage = placing.standings.own_usage(now_s)
        waiting = placing.waiting_tokens()
        return Totals(
            self.own.name,
            self.own.host,
            self.own.port,
            self._born_s,
            self._number,
            self._directory.versions,
            loads,
            {name: int(value) for name, value in usage.items() if value >= 1.0},
            {name: int(value) for name, value in waiting.items()},
        )

    def _take(self, totals: Totals) -> None:
        now_s = boot_time_s()
        state = self._peers.get(totals.name)
        if state is None:
            peer = Peer(totals.name, totals.host, totals.port)
            state = self._peers[totals.name] = _PeerState(peer, now_s)
            log_decision("peer_found", peer=totals.name)
        last = state.totals
        if last is not None:
            newest = (last.born_s, last.number)
            if newest >= (totals.born_s, totals.number):
                return
        state.totals = totals
        state.heard_at_s = now_s
        if self._directory.is_behind(totals.versions):
            self.newer = (state.peer, totals.versions)

    def _add_up(self, standings: Standings, now_s: float) -> None:
        """Replace what the others have at each backend server and gave out."""
        sums: dict[str, Load] = {}
        usage: dict[str, float] = {}
        waiting: dict[str, float] = {}
        for state in self._peers.values():
            if state.totals is None or now_s - state.heard_at_s > LOST_AFTER_S:
                continue
            for name, (pending, running, memory) in state.totals.loads.items():
                load = sums.setdefault(name, Load())
                load.pending_tokens += pending
                load.running += running
                load.memory_tokens += memory
            for name, tokens in state.totals.usage.items():
                usage[name] = usage.get(name, 0.0) + tokens
            for name, tokens in state.totals.waiting.items():
                waiting[name] = waiting.get(name, 0.0) + tokens
        for server in self._beliefs.all_states():
            server.foreign = sums.get(server.server.id) or Load()
        standings.foreign_usage = usage
        standings.foreign_waiting = waiting
