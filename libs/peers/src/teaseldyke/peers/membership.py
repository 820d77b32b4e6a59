"""Membership of the fleet, from the platform's instance list and the settings."""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable, Iterable

import attrs
import trio

from teaseldyke.platform import Instance

from .interfaces import PeerAddress

DROP_DELAY_S = 10.0  # a router missing from the list for this long is removed
LIST_MAX_AGE_S = 2.0
INCARNATION_BITS = 31


def _incarnation() -> int:
    return secrets.randbits(INCARNATION_BITS) | 1


@attrs.define(eq=False)
class Membership:
    """Merges the platform's instance list, static peers and this router itself.

    Static peers are members until the list has been read once. After that the list
    decides; a router that is no longer listed remains a member for
    ``drop_delay_s``. While the list cannot be read, the last list remains in force,
    but it is not confirmed once it is older than ``list_max_age_s``.

    Parameters
    ----------
    name : str
        Name of this router.
    static_peers : dict of str to PeerAddress
        Routers named in the settings, including this one if there is no list. If
        empty, this router joins the fleet only once it is listed.
    drop_delay_s : float
        Time for which a router remains a member after its last listing.
    list_max_age_s : float
        Age up to which the last list is assumed to be complete.
    clock : callable
        Returns the time in seconds.
    """

    name: str
    static_peers: dict[str, PeerAddress] = attrs.field(factory=dict)
    drop_delay_s: float = DROP_DELAY_S
    list_max_age_s: float = LIST_MAX_AGE_S
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
        """Control address of every other member."""
        known = dict(self._known())
        known.pop(self.name, None)
        return known

    @property
    def members(self) -> frozenset[str]:
        """Names of all members, including this router."""
        if self._members is None:
            self._members = frozenset(self._known()) | {self.name}
        return self._members

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply an instance list received from the platform."""
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
        """Return whether all other routers certainly count this one as a member.

        Without any list: if there are static peers. Otherwise: if the last list is
        recent and this router was listed within half of the drop delay.
        """
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
