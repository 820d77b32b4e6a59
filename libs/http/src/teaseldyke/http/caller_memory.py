"""Account of the memory that a server holds for its callers.

Load pattern: many callers that send requests slowly or without end, or don't read their
responses, at an instance whose process is terminated when it exceeds its memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from enum import IntEnum

import attrs

from teaseldyke.timers import boot_time_s

# Objects of a connection and of one request on it, without what they buffer.
CONNECTION_BYTES = 48 * 1024
# What is freed below the limit, so that the connections aren't sorted for each read.
FREED_SHARE = 1 / 32
RELIEVED_SHARE = 0.75  # of the limit; below it the account counts as well below
MIN_ELAPSED_S = 1e-6  # a request that has just begun counts as fast


class HoldingState(IntEnum):
    """What a connection is doing; see `CallerMemory` for the order of closing."""

    DISCARDING = 0
    IDLE = 1
    RECEIVING = 2
    FORWARDED = 3

    @property
    def label(self) -> str:
        """Name in logs and metrics."""
        return self.name.lower()


@attrs.define(eq=False)
class Holding:
    """What is held for one connection.

    Parameters
    ----------
    memory : CallerMemory
        The account.
    close : callable
        Closes the connection, which is in the given state, without waiting; returns
        false if it must stay open, since a request has arrived on it.

    Attributes
    ----------
    held_bytes : int
        Bytes held, with the fixed cost of the connection.
    state : HoldingState
        What the connection is doing.
    received_bytes : int
        Bytes of the current request that have arrived.
    began_at_s : float
        When the first byte of the current request arrived.
    is_closed : bool
        Whether the account has closed the connection to free memory.
    """

    memory: CallerMemory
    close: Callable[[HoldingState], bool]
    held_bytes: int = 0
    state: HoldingState = HoldingState.IDLE
    received_bytes: int = 0
    began_at_s: float = 0.0
    is_closed: bool = False

    def enter(self, state: HoldingState) -> None:
        """Change the state; a request starts when the connection is receiving."""
        if state is HoldingState.RECEIVING:
            self.received_bytes = 0
            self.began_at_s = self.memory.clock()
        self.memory.move(self, state)

    def receive(self, size_bytes: int) -> bool:
        """Count bytes that have arrived; raises and returns as `add`."""
        self.received_bytes += size_bytes
        return self.add(size_bytes)

    def add(self, size_bytes: int) -> bool:
        """Count bytes that are held from now on, and free memory if necessary.

        Returns
        -------
        bool
            False if there is no room for them: the request must be rejected.
        """
        if self.is_closed:
            return False
        self.held_bytes += size_bytes
        return self.memory.add(size_bytes, self)

    def free(self, size_bytes: int) -> None:
        """Count bytes that were held as freed."""
        if self.is_closed:
            return
        self.held_bytes -= size_bytes
        self.memory.subtract(size_bytes)

    def keep(self, buffered_bytes: int) -> None:
        """Forget all but the connection itself and what is still buffered."""
        if self.is_closed:
            return
        kept_bytes = CONNECTION_BYTES + buffered_bytes
        self.memory.subtract(self.held_bytes - kept_bytes)
        self.held_bytes = kept_bytes

    def reject(self) -> None:
        """Note that the request is rejected while it arrives."""
        if self.state is HoldingState.RECEIVING:
            self.enter(HoldingState.DISCARDING)

    def release(self) -> None:
        """Forget the connection."""
        self.memory.remove(self)


@attrs.define(eq=False)
class CallerMemory:
    """Counts all bytes held for callers and selects connections to close.

    Above the limit, connections are closed until the account is some way below it:
    first those that only discard a rejected body; then idle ones, longest idle first;
    then those that are receiving a request, slowest first. A connection whose request
    may have been forwarded is never selected.

    Parameters
    ----------
    limit_bytes : float
        Limit of the account; infinite if the memory of the machine is unknown.
    on_change : callable
        Called with true when the limit is reached, and with false when the account is
        well below it again.
    on_closed : callable
        Called with the state of each connection that is closed or rejected for lack of
        memory, or with none for a new connection.
    clock : callable
        Returns a time in seconds.

    Attributes
    ----------
    held_bytes : int
        Bytes held for all connections.
    is_full : bool
        Whether the limit was reached and the account isn't well below it yet.

    Examples
    --------
    >>> memory = CallerMemory(2 * CONNECTION_BYTES)
    >>> first = memory.open(lambda state: True)
    >>> second = memory.open(lambda state: True)
    >>> second.enter(HoldingState.RECEIVING)
    >>> second.receive(500)
    True
    >>> first.is_closed
    True
    """

    limit_bytes: float = math.inf
    on_change: Callable[[bool], None] = lambda is_full: None
    on_closed: Callable[[HoldingState | None], None] = lambda state: None
    clock: Callable[[], float] = boot_time_s
    held_bytes: int = 0
    is_full: bool = False
    # Insertion order is the order in which the connections entered the state.
    # A list, since the hash of a member is computed in Python.
    _holdings: list[dict[Holding, None]] = attrs.field(
        factory=lambda: [{} for _ in HoldingState], init=False
    )

    @property
    def connections(self) -> dict[str, int]:
        """Number of connections by state."""
        return {state.label: len(self._holdings[state]) for state in HoldingState}

    def open(self, close: Callable[[HoldingState], bool]) -> Holding | None:
        """Return the holding of a new connection, or none if there is no room for it.

        Parameters
        ----------
        close : callable
            As for `Holding`.
        """
        holding = Holding(self, close)
        if not self.add(CONNECTION_BYTES, None):
            self.subtract(CONNECTION_BYTES)
            self.on_closed(None)
            return None
        holding.held_bytes = CONNECTION_BYTES
        self._holdings[holding.state][holding] = None
        return holding

    def hold_unlimited(self) -> Holding:
        """Return a holding that is never selected, for a request on its own."""
        return Holding(self, lambda state: False)

    def add(self, size_bytes: int, owner: Holding | None) -> bool:
        """Count bytes; return false if the request of ``owner`` must be rejected."""
        self.held_bytes += size_bytes
        if self.held_bytes <= self.limit_bytes:
            return True
        if not self.is_full:
            self.is_full = True
            self.on_change(True)
        return self._free(owner)

    def subtract(self, size_bytes: int) -> None:
        """Count bytes as freed."""
        self.held_bytes -= size_bytes
        if self.is_full and self.held_bytes < RELIEVED_SHARE * self.limit_bytes:
            self.is_full = False
            self.on_change(False)

    def move(self, holding: Holding, state: HoldingState) -> None:
        """Change the state of a connection."""
        if holding.is_closed:
            return
        self._holdings[holding.state].pop(holding, None)
        holding.state = state
        self._holdings[state][holding] = None

    def remove(self, holding: Holding) -> None:
        """Remove a connection and what is held for it."""
        if holding not in self._holdings[holding.state]:
            return
        del self._holdings[holding.state][holding]
        self.subtract(holding.held_bytes)
        holding.held_bytes = 0

    def _free(self, owner: Holding | None) -> bool:
        """Close connections; return false if ``owner`` has to make room itself."""
        target_bytes = self.limit_bytes * (1.0 - FREED_SHARE)
        for holding in self._closable():
            if self.held_bytes <= target_bytes:
                return True
            if holding is owner:
                # Its own code sends the rejection; others are closed from here.
                if self.held_bytes <= self.limit_bytes:
                    return True
                if holding.state is HoldingState.RECEIVING:
                    self.on_closed(holding.state)
                return False
            state = holding.state
            if not holding.close(state):
                continue
            self.on_closed(state)
            holding.is_closed = True
            self.remove(holding)
        return self.held_bytes <= self.limit_bytes

    def _closable(self) -> Iterator[Holding]:
        yield from list(self._holdings[HoldingState.DISCARDING])
        yield from list(self._holdings[HoldingState.IDLE])
        now_s = self.clock()
        yield from sorted(
            self._holdings[HoldingState.RECEIVING],
            key=lambda holding: (
                holding.received_bytes / max(now_s - holding.began_at_s, MIN_ELAPSED_S)
            ),
        )
