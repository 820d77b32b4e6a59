"""In-memory links with delays, cuts and losses, for tests and measurements."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import attrs
import trio

from .interfaces import Handler, LinkState


@attrs.define(eq=False)
class MemoryNetwork:
    """Joins `MemoryLinks` of several routers in one process.

    Parameters
    ----------
    nursery : trio.Nursery
        Where deliveries run.
    delay_s : float
        One-way delay of each message.
    loss : float
        Part of the messages that is lost, from 0 to 1.
    seed : int
        Decides which messages are lost.
    size_of : callable, optional
        Returns the bytes of a message, for ``bytes_sent``.
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
        """Return the links of a router that has just started."""
        links = MemoryLinks(name, self)
        self.links[name] = links
        return links

    def kill(self, name: str) -> None:
        """Let the router's process be gone."""
        del self.links[name]

    def cut(self, one: str, other: str) -> None:
        """Stop messages between two routers, both ways."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Undo every cut."""
        self.cuts.clear()

    def state(self, one: str, other: str) -> LinkState:
        """Return what the first router knows of the second's process."""
        if frozenset((one, other)) in self.cuts:
            return LinkState.DOWN
        return LinkState.UP if other in self.links else LinkState.GONE

    def post(self, sender: str, receiver: str, message: object) -> None:
        """Deliver a message after the delay, unless it is cut off or lost."""
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
    _heard_at_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def send(self, peer: str, message: object) -> None:
        """Post a message; drops it when the peer is not up."""
        self.network.post(self.name, peer, message)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``await handler(sender, message)`` for each message of a type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def state(self, peer: str) -> LinkState:
        """Return what is known of a peer's process."""
        return self.network.state(self.name, peer)

    def last_received_at_s(self, peer: str) -> float:
        """Return when the last message of a peer came, or minus infinity."""
        return self._heard_at_s.get(peer, -math.inf)

    async def receive(self, sender: str, message: object) -> None:
        """Hand a message that has arrived to the subscribers."""
        self._heard_at_s[sender] = trio.current_time()
        for handler in self._handlers.get(type(message), ()):
            await handler(sender, message)
