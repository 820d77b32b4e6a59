"""The instances that share the fleet's limits, and who exchanges totals with whom.

Up to `FULL_MESH_MAX` instances, each sends its totals to every other. A larger fleet is
split into neighbourhoods, about as many as each has members: an instance sends its own
totals to its neighbours, and each neighbourhood sends its sum to every instance outside
it once per round. The datagrams of an instance then grow with the square root of the
fleet's size.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import attrs

from teaseldyke.placement import rendezvous_weight

from .interfaces import FeedRole, Peer

FULL_MESH_MAX = 16  # above it, two hops need under half the datagrams of one
ALIVE_TIMEOUT_S = 0.6  # six rounds of a small fleet; then a peer's load is dropped
PROBE_INTERVAL_S = 1.0  # between datagrams to peers that don't answer
MEMBER_TTL_S = 30.0  # silence after which a peer no longer shares the fleet's limits
GOSSIP_SAMPLE = 4  # peers per datagram; names all of the largest fleet within 1 s


@attrs.define
class _Member:
    peer: Peer
    last_received_at_s: float
    probed_at_s: float = -math.inf


class Membership:
    """The fleet's instances as known to one of them.

    Parameters
    ----------
    own : Peer
        This instance.

    Attributes
    ----------
    alive_s : float
        How long an instance counts as alive after its last sign of life.
    neighbourhoods : int
        Number of neighbourhoods; a power of two, so that the loss of an instance
        rarely reassigns the others.
    majority_heard_at_s : float
        Since when signs of life have come from a majority, this instance included. A
        sole instance has no majority to hear of.
    """

    def __init__(self, own: Peer) -> None:
        self.own = own
        self.alive_s = ALIVE_TIMEOUT_S
        self.neighbourhoods = 1
        self.majority_heard_at_s = -math.inf
        self._known: dict[str, _Member] = {}
        self._names = [own.name]
        self._alive: list[Peer] = [own]
        self._ranks: dict[str, int] = {}
        self._numbers: dict[str, int] = {}
        self._neighbours: list[Peer] = [own]

    @property
    def instances(self) -> int:
        """Number of instances that share the fleet's limits, this one included."""
        return len(self._names)

    @property
    def alive(self) -> int:
        """Number of instances heard of lately, this one included."""
        return len(self._alive)

    def rank(self, key: str) -> int:
        """Return this instance's rendezvous rank in the fleet for a key, from 0."""
        rank = self._ranks.get(key)
        if rank is None:
            own_weight = rendezvous_weight(key, self.own.name)
            rank = sum(
                rendezvous_weight(key, name) > own_weight for name in self._names
            )
            self._ranks[key] = rank
        return rank

    def add(self, peer: Peer, now_s: float) -> bool:
        """Add an instance or update its address; return whether it was unknown."""
        if peer.name == self.own.name:
            return False
        known = self._known.get(peer.name)
        if known is not None:
            known.peer = peer
            return False
        self._known[peer.name] = _Member(peer, now_s)
        self.refresh(now_s)
        return True

    def add_all(self, peers: Iterable[Peer], now_s: float) -> None:
        """Add instances; cheaper than one at a time, as members are sorted once."""
        for peer in peers:
            if peer.name != self.own.name and peer.name not in self._known:
                self._known[peer.name] = _Member(peer, now_s)
        self.refresh(now_s)

    def record_alive(self, name: str, host: str, port: int, now_s: float) -> bool:
        """Record a sign of life of an instance; return whether it was unknown."""
        known = self._known.get(name)
        if known is None or (known.peer.host, known.peer.port) != (host, port):
            return self.record_received(Peer(name, host, port), now_s)
        known.last_received_at_s = now_s
        return False

    def knows(self, name: str, host: str, port: int) -> bool:
        """Return whether an instance is known at an address."""
        known = self._known.get(name)
        return known is not None and (known.peer.host, known.peer.port) == (host, port)

    def record_received(self, peer: Peer, now_s: float) -> bool:
        """Record a sign of life of an instance; return whether it was unknown."""
        found = self.add(peer, now_s)
        if peer.name != self.own.name:
            self._known[peer.name].last_received_at_s = now_s
        return found

    def refresh(self, now_s: float) -> None:
        """Recompute the members and who is alive; called before each exchange round."""
        members = [
            name
            for name, known in self._known.items()
            if now_s - known.last_received_at_s < MEMBER_TTL_S
        ]
        names = sorted([*members, self.own.name])
        if names != self._names:
            self._names = names
            self._ranks.clear()
            neighbourhoods = neighbourhood_count(len(names))
            if neighbourhoods != self.neighbourhoods:
                self.neighbourhoods = neighbourhoods
                self._numbers.clear()
        self._alive = [
            known.peer
            for known in self._known.values()
            if now_s - known.last_received_at_s < self.alive_s
        ]
        self._alive.append(self.own)
        self._update_majority()
        own = self.neighbourhood_of(self.own.name)
        self._neighbours = [
            peer for peer in self._alive if self.neighbourhood_of(peer.name) == own
        ]

    def _update_majority(self) -> None:
        others_needed = len(self._names) // 2
        heard_at_s = sorted(
            (
                self._known[name].last_received_at_s
                for name in self._names
                if name != self.own.name
            ),
            reverse=True,
        )
        self.majority_heard_at_s = (
            heard_at_s[others_needed - 1] if others_needed else -math.inf
        )

    def neighbourhood_of(self, name: str) -> int:
        """Return the neighbourhood of an instance."""
        number = self._numbers.get(name)
        if number is None:
            weight = rendezvous_weight("neighbourhood", name)
            number = self._numbers[name] = weight % self.neighbourhoods
        return number

    def neighbours(self) -> list[Peer]:
        """Return the live instances of the own neighbourhood, this one included."""
        return self._neighbours

    def feed_role(self) -> FeedRole:
        """Return this instance's role in following the store's entries.

        The live neighbour whose name sorts first leads.
        """
        if self.neighbourhoods == 1:
            return FeedRole.INDEPENDENT
        first = min(peer.name for peer in self.neighbours())
        return FeedRole.LEADER if first == self.own.name else FeedRole.FOLLOWER

    def poll_rank(self) -> tuple[int, int]:
        """Return the rank of this instance among its live neighbours, and their number.

        They poll the same tables of the store. Without a majority of the instances it
        counts as the only one, since nobody else may tell it of changes.
        """
        if 2 * len(self._alive) <= len(self._names):
            return 0, 1
        names = sorted(peer.name for peer in self.neighbours())
        return names.index(self.own.name), len(names)

    def receivers(self, now_s: float) -> tuple[list[Peer], list[Peer]]:
        """Return the receivers of the own totals and of the neighbourhood's sum.

        The instances outside are split between the neighbours. Instances that don't
        answer are probed at longer intervals.
        """
        own_number = self.neighbourhood_of(self.own.name)
        senders = sorted(peer.name for peer in self.neighbours())
        own_index = senders.index(self.own.name)
        alive = {peer.name for peer in self._alive}
        next_indices: dict[int, int] = {}
        neighbours: list[Peer] = []
        others: list[Peer] = []
        for name in self._names:
            if name == self.own.name:
                continue
            known = self._known[name]
            number = self.neighbourhood_of(name)
            index = next_indices.get(number, number)
            next_indices[number] = index + 1
            if number != own_number and index % len(senders) != own_index:
                continue
            if name not in alive:
                if now_s - known.probed_at_s < PROBE_INTERVAL_S:
                    continue
                known.probed_at_s = now_s
            (neighbours if number == own_number else others).append(known.peer)
        return neighbours, others

    def gossip_sample(self) -> list[Peer]:
        """Return a random sample of live instances, for others that don't know them."""
        if self.neighbourhoods == 1:
            return []
        return random.sample(self._alive, min(GOSSIP_SAMPLE, len(self._alive)))


def neighbourhood_count(instances: int) -> int:
    """Return the number of neighbourhoods of a fleet.

    Examples
    --------
    >>> [neighbourhood_count(instances) for instances in (1, 16, 30, 69, 300, 1000)]
    [1, 1, 4, 8, 16, 32]
    """
    if instances <= FULL_MESH_MAX:
        return 1
    return int(2 ** round(math.log2(math.sqrt(instances))))
