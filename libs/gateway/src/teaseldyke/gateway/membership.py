"""Which instances share the fleet's bounds, and which tell each other what.

Up to `WHOLE_FLEET_MAX` instances each tells every other. A larger fleet falls into
neighbourhoods, about as many as each has members: an instance tells its neighbours its
own totals, and each neighbourhood's sum reaches every instance elsewhere once. The
datagrams of an instance then grow with the root of the fleet's size.
"""

from __future__ import annotations

import math
import random

import attrs

from teaseldyke.placement import weight

from .interfaces import FeedRole, Peer

WHOLE_FLEET_MAX = 16  # beyond it, two steps cost under half the datagrams of one
ALIVE_S = 0.6  # six rounds of a small fleet; then a peer's load no longer counts
GREET_S = 1.0  # between datagrams to peers that are not heard
KEPT_S = 30.0  # a peer unheard for so long no longer shares the bounds
MENTIONS = 4  # instances named in a datagram; each second names the largest fleet


@attrs.define
class _Known:
    peer: Peer
    heard_at_s: float
    greeted_at_s: float = -math.inf


class Membership:
    """The instances that one instance knows.

    Parameters
    ----------
    own : Peer
        This instance.

    Attributes
    ----------
    alive_s : float
        How long an instance counts as alive after it was heard.
    neighbourhoods : int
        Into how many the fleet falls; a power of two, so that a lost instance hardly
        ever moves the others.
    """

    def __init__(self, own: Peer) -> None:
        self.own = own
        self.alive_s = ALIVE_S
        self.neighbourhoods = 1
        self._known: dict[str, _Known] = {}
        self._names = [own.name]
        self._alive: list[Peer] = [own]
        self._ranks: dict[str, int] = {}

    @property
    def instances(self) -> int:
        """Instances that share the fleet's bounds, this one included."""
        return len(self._names)

    def rank(self, key: str) -> int:
        """Return this instance's place among them for a key, from 0."""
        rank = self._ranks.get(key)
        if rank is None:
            own_weight = weight(key, self.own.name)
            rank = sum(weight(key, name) > own_weight for name in self._names)
            self._ranks[key] = rank
        return rank

    def add(self, peer: Peer, now_s: float) -> bool:
        """Take in an instance that was named; return whether it was unknown."""
        if peer.name == self.own.name:
            return False
        known = self._known.get(peer.name)
        if known is not None:
            known.peer = peer
            return False
        self._known[peer.name] = _Known(peer, now_s)
        self.refresh(now_s)
        return True

    def hear(self, peer: Peer, now_s: float) -> bool:
        """Note that an instance is alive; return whether it was unknown."""
        found = self.add(peer, now_s)
        if peer.name != self.own.name:
            self._known[peer.name].heard_at_s = now_s
        return found

    def refresh(self, now_s: float) -> None:
        """Work out anew who counts; called before each round of datagrams."""
        kept = [
            name
            for name, known in self._known.items()
            if now_s - known.heard_at_s < KEPT_S
        ]
        names = sorted([*kept, self.own.name])
        if names != self._names:
            self._names = names
            self._ranks.clear()
            self.neighbourhoods = neighbourhoods_of(len(names))
        self._alive = [
            known.peer
            for known in self._known.values()
            if now_s - known.heard_at_s < self.alive_s
        ]
        self._alive.append(self.own)

    def number_of(self, name: str) -> int:
        """Return the neighbourhood of an instance."""
        return weight("neighbourhood", name) % self.neighbourhoods

    def neighbours(self) -> list[Peer]:
        """Return who is alive in the own neighbourhood, this instance included."""
        own = self.number_of(self.own.name)
        return [peer for peer in self._alive if self.number_of(peer.name) == own]

    def feed_role(self) -> FeedRole:
        """Return who of the neighbours follows the backend servers' entries."""
        if self.neighbourhoods == 1:
            return FeedRole.INDEPENDENT
        first = min(peer.name for peer in self.neighbours())
        return FeedRole.LEADER if first == self.own.name else FeedRole.FOLLOWER

    def receivers(self, now_s: float) -> tuple[list[Peer], list[Peer]]:
        """Return who gets this instance's totals now, and who its neighbourhood's.

        Instances that are not heard are greeted at longer intervals.
        """
        own_number = self.number_of(self.own.name)
        senders = sorted(peer.name for peer in self.neighbours())
        own_turn = senders.index(self.own.name)
        alive = {peer.name for peer in self._alive}
        turns: dict[int, int] = {}
        neighbours: list[Peer] = []
        others: list[Peer] = []
        for name in self._names:
            if name == self.own.name:
                continue
            known = self._known[name]
            number = self.number_of(name)
            turn = turns.get(number, number)
            turns[number] = turn + 1
            if number != own_number and turn % len(senders) != own_turn:
                continue
            if name not in alive:
                if now_s - known.greeted_at_s < GREET_S:
                    continue
                known.greeted_at_s = now_s
            (neighbours if number == own_number else others).append(known.peer)
        return neighbours, others

    def mentions(self) -> list[Peer]:
        """Return some instances that others may not know yet."""
        if self.neighbourhoods == 1:
            return []
        return random.sample(self._alive, min(MENTIONS, len(self._alive)))


def neighbourhoods_of(instances: int) -> int:
    """Return into how many neighbourhoods a fleet falls.

    Examples
    --------
    >>> [neighbourhoods_of(instances) for instances in (1, 16, 30, 69, 300, 1000)]
    [1, 1, 4, 8, 16, 32]
    """
    if instances <= WHOLE_FLEET_MAX:
        return 1
    return int(2 ** round(math.log2(math.sqrt(instances))))
