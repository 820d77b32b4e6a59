"""Which routers belong to the fleet, and how large this router's part is."""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable, Iterable

import attrs
import trio

from teaseldyke.platform import Instance

from .interfaces import PeerAddress

DROP_DELAY_S = 10.0  # a router missing from the list this long leaves the fleet
FRESH_S = 2.0
INCARNATION_BITS = 31


def _incarnation() -> int:
    return secrets.randbits(INCARNATION_BITS) | 1


@attrs.define(eq=False)
class Membership:
    """Merges the platform's instance list, static peers and this router itself.

    Static peers count until the list has been read once; after that the list
    decides, and a router that it no longer names stays for ``drop_delay_s``. While
    the list cannot be read the last one stands, but this router cannot be sure of
    it after ``list_max_age_s``.

    Parameters
    ----------
    name : str
        Name of this router.
    static_peers : dict of str to PeerAddress
        Routers known from the settings, this one as well if there is no list. When
        empty, this router takes no part before the list names it.
    drop_delay_s : float
        Seconds that a router stays after the list has dropped it.
    list_max_age_s : float
        Age up to which the last list is believed to name every router that takes
        part.
    clock : callable
        Returns the time in seconds.
    """

    name: str
    static_peers: dict[str, PeerAddress] = attrs.field(factory=dict)
    drop_delay_s: float = DROP_DELAY_S
    list_max_age_s: float = FRESH_S
    clock: Callable[[], float] = trio.current_time
    incarnation: int = attrs.field(factory=_incarnation)
    leaving_routers: frozenset[str] = attrs.field(factory=frozenset, init=False)
    leaving_servers: frozenset[str] = attrs.field(factory=frozenset, init=False)
    joined_at_s: float = attrs.field(init=False)
    _listed: dict[str, PeerAddress] = attrs.field(factory=dict, init=False)
    _listed_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _read_at_s: float | None = attrs.field(default=None, init=False)
    _members: frozenset[str] | None = attrs.field(default=None, init=False)
    _self_listed_at_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self.joined_at_s = self.clock() if self.static_peers else math.inf

    @property
    def addresses(self) -> dict[str, PeerAddress]:
        """Return the control address of every other member."""
        known = dict(self._known())
        known.pop(self.name, None)
        return known

    @property
    def members(self) -> frozenset[str]:
        """Return the names of all members, this router included."""
        if self._members is None:
            self._members = frozenset(self._known()) | {self.name}
        return self._members

    def update(self, instances: Iterable[Instance]) -> None:
        """Take in a list that the platform has answered."""
        now_s = self.clock()
        if self._read_at_s is None:
            self._listed = dict(self.static_peers)
            self._listed_at_s = dict.fromkeys(self._listed, now_s)
        self._read_at_s = now_s
        leaving_routers = set()
        leaving_servers = set()
        for instance in instances:
            leaving = instance.state == "leaving"
            if instance.role != "router":
                if leaving:
                    leaving_servers.add(instance.name)
                continue
            if leaving:
                leaving_routers.add(instance.name)
            if instance.name == self.name:
                self._self_listed_at_s = now_s
                self.joined_at_s = min(self.joined_at_s, now_s)
            address = PeerAddress(instance.host, instance.port)
            self._listed[instance.name] = address
            self._listed_at_s[instance.name] = now_s
        self.leaving_routers = frozenset(leaving_routers)
        self.leaving_servers = frozenset(leaving_servers)
        self._drop_missing(now_s)
        self._members = None

    def is_confirmed(self) -> bool:
        """Return whether the list shows that all others count this router."""
        if self._read_at_s is None:
            return bool(self.static_peers)
        now_s = self.clock()
        if now_s - self._read_at_s > self.list_max_age_s:
            return False
        return now_s - self._self_listed_at_s < self.drop_delay_s / 2

    def _known(self) -> dict[str, PeerAddress]:
        return self.static_peers if self._read_at_s is None else self._listed

    def _drop_missing(self, now_s: float) -> None:
        for name, listed_at_s in list(self._listed_at_s.items()):
            if now_s - listed_at_s < self.drop_delay_s:
                continue
            del self._listed_at_s[name]
            del self._listed[name]
