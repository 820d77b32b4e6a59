"""Delivery of a router's messages to itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class Mailbox:
    """Delivers messages one at a time, so that handlers never run nested.

    Parameters
    ----------
    handle : callable
        Handles one message; may post further ones.

    Examples
    --------
    >>> seen = []
    >>> def handle(message):
    ...     if message == "first":
    ...         mailbox.post("second")
    ...     seen.append(message)
    >>> mailbox = Mailbox(handle)
    >>> mailbox.post("first")
    >>> seen
    ['first', 'second']
    """

    handle: Callable[[object], None]
    _queued: deque[object] = attrs.field(factory=deque, init=False)
    _handling: bool = attrs.field(default=False, init=False)

    def post(self, message: object) -> None:
        """Queue a message, and deliver all that are queued."""
        self._queued.append(message)
        if self._handling:
            return
        self._handling = True
        try:
            while self._queued:
                self.handle(self._queued.popleft())
        finally:
            self._handling = False
