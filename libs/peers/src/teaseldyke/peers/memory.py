"""In-memory links with delay, partitions and loss, for tests and measurements."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import attrs
import trio

from .interfaces import Handler, LinkState


@attrs.define(eq=False)
class MemoryNetwork:
    """Connects the `MemoryLinks` of several routers in one process.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the deliveries.
    delay_s : float
        One-way delay of each message.
    loss : float
        Fraction of the messages that is lost, from 0 to 1.
    seed : int
        Seed of the message losses.
    size_of : callable, optional
        Returns the size of a message in bytes, for ``bytes_sent``.
    """

    nursery: trio.Nursery
    delay_s: float = 0.0
    loss: float = 0.0
    seed: int = 0
    size_of: Callable[[object], int] | None = None
    links: dict[str, MemoryLinks] = attrs.field(factory=dict, init=False)
    cuts: set[frozenset[str]] = attrs.field(factory=set, init=False)
    frozen: set[str] = attrs.field(factory=set, init=False)
    bytes_sent: dict[str, int] = attrs.field(factory=dict, init=False)
    messages_sent: dict[str, int] = attrs.field(factory=dict, init=False)
    _random: Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)

    def join(self, name: str) -> MemoryLinks:
        """Return the links of a newly started router."""
        links = MemoryLinks(name, self)
        self.links[name] = links
        return links

    def kill(self, name: str) -> None:
        """End the process of a router."""
        del self.links[name]

    def cut(self, one: str, other: str) -> None:
        """Partition two routers, in both directions."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()

    def state(self, one: str, other: str) -> LinkState:
        """Return the state of the second router's process as seen by the first."""
        if frozenset((one, other)) in self.cuts:
            return LinkState.DOWN
        return LinkState.UP if other in self.links else LinkState.GONE

    def post(self, sender: str, receiver: str, message: object) -> None:
        """Deliver a message after the delay, unless partitioned or lost."""
        if self.state(sender, receiver) is not LinkState.UP:
            return
        self.messages_sent[sender] = self.messages_sent.get(sender, 0) + 1
        if self.size_of is not None:
            size_bytes = self.size_of(message)
            self.bytes_sent[sender] = self.bytes_sent.get(sender, 0) + size_bytes
        if self.loss and self._random.random() < self.loss:
            return
        self.nursery.start_soon(self._deliver, sender, self.links[receiver], message)

    async def _deliver(
        self, sender: str, receiver: MemoryLinks, message: object
    ) -> None:
        await trio.sleep(self.delay_s)
        if self.links.get(receiver.name) is not receiver:
            return
        if receiver.name in self.frozen or sender in self.frozen:
            return
        await receiver.receive(sender, message)


@attrs.define(eq=False)
class MemoryLinks:
    """Links of one router in a `MemoryNetwork`."""

    name: str
    network: MemoryNetwork
    _handlers: dict[type, list[Handler]] = attrs.field(factory=dict, init=False)
    _last_received_at_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def send(self, peer: str, message: object) -> None:
        """Send a message; dropped if the peer is not up."""
        self.network.post(self.name, peer, message)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``await handler(sender, message)`` for each message of a type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def state(self, peer: str) -> LinkState:
        """Return the state of a peer's process."""
        return self.network.state(self.name, peer)

    def last_received_at_s(self, peer: str) -> float:
        """Return when a peer's last message was received, or minus infinity."""
        return self._last_received_at_s.get(peer, -math.inf)

    async def receive(self, sender: str, message: object) -> None:
        """Deliver a received message to the subscribers."""
        self._last_received_at_s[sender] = trio.current_time()
        for handler in self._handlers.get(type(message), ()):
            await handler(sender, message)
