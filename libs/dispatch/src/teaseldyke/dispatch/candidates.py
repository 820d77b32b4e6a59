"""Choice of the router that acts as a shard's dispatcher."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from teaseldyke.capacity import rendezvous_order
from teaseldyke.peers import LinkState, Membership, PeerLinks

from .messages import Probe
from .options import HOLDERS_MAX


@attrs.define(eq=False)
class Candidates:
    """Ranks the candidates for the dispatcher role, as this router sees them.

    Parameters
    ----------
    name : str
        Name of this router.
    membership : Membership
        Members of the fleet.
    links : PeerLinks
        Links to the other routers, which also show whether they are up.
    clock : callable
        Returns the current time in seconds.
    holders_max : int
        Most members that hold a fraction of a shard's limits.
    """

    name: str
    membership: Membership
    links: PeerLinks
    clock: Callable[[], float]
    holders_max: int = HOLDERS_MAX
    instances_out: frozenset[str] = frozenset()
    draining: set[str] = attrs.field(factory=set)
    suspected_at_s: dict[str, float] = attrs.field(factory=dict)
    _ranks: dict[str, list[str]] = attrs.field(factory=dict, init=False)
    _holders: dict[str, frozenset[str]] = attrs.field(factory=dict, init=False)
    _ranked: frozenset[str] = attrs.field(factory=frozenset, init=False)

    def preferred_dispatcher(self, shard: str) -> str:
        """Return the highest-ranked usable member, or this router if none is."""
        order = self._order(shard)
        for name in order:
            if self.is_usable(name):
                return name
        return self.name

    def holders(self, shard: str) -> frozenset[str]:
        """Return the members that each hold an equal fraction of a shard's limits.

        Each fraction costs its holder lease renewals and the dispatcher messages, so
        the number of holders is capped independently of the size of the fleet.
        """
        order = self._order(shard)
        found = self._holders.get(shard)
        if found is None:
            found = frozenset(order[: self.holders_max])
            self._holders[shard] = found
        return found

    def _order(self, shard: str) -> list[str]:
        members = self.membership.members
        if members is not self._ranked and members != self._ranked:
            self._ranks.clear()
            self._holders.clear()
            self.draining &= members
        self._ranked = members
        order = self._ranks.get(shard)
        if order is None:
            order = rendezvous_order(shard, members)
            self._ranks[shard] = order
        return order

    def is_usable(self, name: str) -> bool:
        """Return whether a member may be chosen as dispatcher."""
        if name in self.draining or name in self.instances_out:
            return False
        if name in self.membership.leaving_routers:
            return False
        return not self.is_unresponsive(name)

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a member cannot be expected to answer."""
        if name == self.name:
            return False
        if name not in self.membership.members:
            return True
        if self.links.state(name) is not LinkState.UP:
            return True
        return self._is_suspect(name)

    def is_gone(self, name: str) -> bool:
        """Return whether a member's process is known to have ended."""
        if name == self.name:
            return False
        return self.links.state(name) is LinkState.GONE

    def suspect(self, name: str) -> None:
        """Exclude a silent member until its next message arrives."""
        if name != self.name:
            self.suspected_at_s.setdefault(name, self.clock())

    def probe_suspects(self) -> None:
        """Send a probe to every suspected member."""
        for name in list(self.suspected_at_s):
            if self._is_suspect(name):
                self.links.send(name, Probe(is_answer=False))

    def _is_suspect(self, name: str) -> bool:
        suspected_at_s = self.suspected_at_s.get(name)
        if suspected_at_s is None:
            return False
        if self.links.last_received_at_s(name) <= suspected_at_s:
            return True
        del self.suspected_at_s[name]
        return False
