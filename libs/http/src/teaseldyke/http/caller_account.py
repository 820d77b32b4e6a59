"""Account of the connections and the memory that a server holds for its callers.

Load pattern: many callers that send requests slowly or without end, hold connections
without a request, or don't read their responses, at an instance whose process is
terminated when it exceeds its memory, and that has few descriptors.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from enum import Enum, IntEnum

import attrs

from teaseldyke.timers import boot_time_s
from teaseldyke.types import TeaseldykeError

from .errors import connections_full_error, memory_full_error

# Objects of a connection and of one request on it, without what they buffer.
CONNECTION_BYTES = 48 * 1024
# What is freed below a limit, so that the connections aren't sorted for each read.
FREED_SHARE = 1 / 32
RELIEVED_SHARE = 0.75  # of a limit; below it the account counts as well below
# Of a limit; above it a connection ends with its response, so that there are few idle
# ones, which a caller may be about to use, once some have to be closed.
KEPT_SHARE = 0.75
DISCARD_READS_PER_S = 1000.0
# Without data, a request is stalled after it; a loss of packets rarely takes so long.
STALLED_S = 1.0


class HoldingState(IntEnum):
    """What a connection is doing; see `CallerAccount` for the order of closing."""

    DISCARDING = 0
    UNUSED = 1  # no request has begun to arrive yet
    IDLE = 2  # after a response
    RECEIVING = 3
    FORWARDED = 4

    @property
    def label(self) -> str:
        """Name in logs and metrics."""
        return self.name.lower()


class Scarcity(Enum):
    """Which limit of an account was reached."""

    MEMORY = "memory"
    CONNECTIONS = "connections"

    def error(self) -> TeaseldykeError:
        """Return the error of a request or connection that there is no room for."""
        if self is Scarcity.CONNECTIONS:
            return connections_full_error()
        return memory_full_error()


@attrs.define(eq=False)
class Holding:
    """What is held for one connection.

    Parameters
    ----------
    account : CallerAccount
        The account.
    close : callable
        Closes the connection, which is in the given state, without waiting, as a limit
        was reached; returns false if it must stay open, since a request has arrived.
    entered_at_s : float
        When the connection entered its state.

    Attributes
    ----------
    held_bytes : int
        Bytes held, with the fixed cost of the connection.
    state : HoldingState
        What the connection is doing.
    received_bytes : int
        Bytes of the current request that have arrived.
    progressed_at_s : float
        When the connection entered its state or last received something in it.
    closed_for : Scarcity or None
        The limit for which the account has closed the connection.
    """

    account: CallerAccount
    close: Callable[[HoldingState, Scarcity], bool]
    entered_at_s: float = 0.0
    held_bytes: int = 0
    state: HoldingState = HoldingState.UNUSED
    received_bytes: int = 0
    progressed_at_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.entered_at_s, takes_self=True)
    )
    closed_for: Scarcity | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the account has closed the connection."""
        return self.closed_for is not None

    def error(self) -> TeaseldykeError:
        """Return the error of a request that lost its connection or has no room."""
        return (self.closed_for or Scarcity.MEMORY).error()

    def enter(self, state: HoldingState) -> None:
        """Change the state; a request starts when the connection is receiving."""
        if state is HoldingState.RECEIVING:
            self.received_bytes = 0
        self.account.move(self, state)

    def receive(self, size_bytes: int) -> bool:
        """Count bytes that have arrived; returns as `add`."""
        self.received_bytes += size_bytes
        self.account.note_progress(self)
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
        return self.account.add(size_bytes, self)

    def free(self, size_bytes: int) -> None:
        """Count bytes that were held as freed."""
        if self.is_closed:
            return
        self.held_bytes -= size_bytes
        self.account.subtract(size_bytes)

    def keep(self, buffered_bytes: int) -> None:
        """Forget all but the connection itself and what is still buffered."""
        if self.is_closed:
            return
        kept_bytes = CONNECTION_BYTES + buffered_bytes
        self.account.subtract(self.held_bytes - kept_bytes)
        self.held_bytes = kept_bytes

    def reject(self) -> None:
        """Note that the request is rejected while it arrives."""
        if self.state is HoldingState.RECEIVING:
            self.enter(HoldingState.DISCARDING)

    def release(self) -> None:
        """Forget the connection."""
        self.account.remove(self)


@attrs.define(eq=False)
class CallerAccount:
    """Counts connections and all bytes held for them, and selects some to close.

    Above a limit, connections are closed until the account is some way below it:

    1. those that only discard a rejected body;
    2. those that have sent nothing, or nothing more of a request, for `STALLED_S`,
       longest first;
    3. those that have been idle after a response for that long, longest first;
    4. those that have been receiving a request for that long, slowest first;
    5. all others, oldest first, so that a caller that comes back at once doesn't
       displace one that has just come.

    A connection whose request may have been forwarded is never selected.

    Parameters
    ----------
    limit_bytes : float
        Limit of the bytes; infinite if the memory of the machine is unknown.
    on_change : callable
        Called with the limit and true when it is reached, and with false when the
        account is well below it again.
    on_closed : callable
        Called with the limit and the state of each connection that is closed or
        rejected, or with none in place of the state for a new connection.
    clock : callable
        Returns a time in seconds.
    connections_max : float
        Limit of the connections.

    Attributes
    ----------
    held_bytes : int
        Bytes held for all connections.

    Examples
    --------
    >>> account = CallerAccount(2 * CONNECTION_BYTES)
    >>> first = account.open(lambda state, scarcity: True)
    >>> second = account.open(lambda state, scarcity: True)
    >>> second.enter(HoldingState.RECEIVING)
    >>> second.receive(500)
    True
    >>> first.is_closed
    True
    """

    limit_bytes: float = math.inf
    on_change: Callable[[Scarcity, bool], None] = lambda scarcity, is_full: None
    on_closed: Callable[[Scarcity, HoldingState | None], None] = (
        lambda scarcity, state: None
    )
    clock: Callable[[], float] = boot_time_s
    connections_max: float = math.inf
    held_bytes: int = 0
    _full: set[Scarcity] = attrs.field(factory=set, init=False)
    # Insertion order is the order of the last progress in the state.
    # A list, since the hash of a member is computed in Python.
    _holdings: list[dict[Holding, None]] = attrs.field(
        factory=lambda: [{} for _ in HoldingState], init=False
    )

    @property
    def is_crowded(self) -> bool:
        """Whether so much of a limit is used that idle connections aren't kept."""
        return (
            self.connection_count >= KEPT_SHARE * self.connections_max
            or self.held_bytes >= KEPT_SHARE * self.limit_bytes
        )

    @property
    def connections(self) -> dict[str, int]:
        """Number of connections by state."""
        return {state.label: len(self._holdings[state]) for state in HoldingState}

    @property
    def connection_count(self) -> int:
        """Number of connections."""
        return sum(map(len, self._holdings))

    def discard_pause_s(self) -> float:
        """Return the time between two reads of a connection that is discarding.

        All of them together read `DISCARD_READS_PER_S` times.
        """
        return len(self._holdings[HoldingState.DISCARDING]) / DISCARD_READS_PER_S

    def is_taken_by_forwarded(self, share: float) -> bool:
        """Return whether requests that may be forwarded take a share of a limit."""
        forwarded = self._holdings[HoldingState.FORWARDED]
        if len(forwarded) >= share * self.connections_max:
            return True
        limit_bytes = share * self.limit_bytes
        if self.held_bytes < limit_bytes:
            return False  # mostly, without a look at each of them
        return sum(holding.held_bytes for holding in forwarded) >= limit_bytes

    def open(self, close: Callable[[HoldingState, Scarcity], bool]) -> Holding:
        """Return the holding of a new connection.

        Parameters
        ----------
        close : callable
            As for `Holding`.

        Raises
        ------
        TooManyConnections
            If the limit of connections is reached and none can be closed.
        CallerMemoryFull
            If there is no memory for the connection.
        """
        if self.connection_count >= self.connections_max:
            self._note_full(Scarcity.CONNECTIONS)
            if not self._close_some():
                raise self._rejection(Scarcity.CONNECTIONS)
        if not self.add(CONNECTION_BYTES, None):
            self.subtract(CONNECTION_BYTES)
            raise self._rejection(Scarcity.MEMORY)
        holding = Holding(self, close, self.clock(), CONNECTION_BYTES)
        self._holdings[holding.state][holding] = None
        return holding

    def hold_unlimited(self) -> Holding:
        """Return a holding that is never selected, for a request on its own."""
        return Holding(self, lambda state, scarcity: False)

    def add(self, size_bytes: int, owner: Holding | None) -> bool:
        """Count bytes; return false if the request of ``owner`` must be rejected."""
        self.held_bytes += size_bytes
        if self.held_bytes <= self.limit_bytes:
            return True
        self._note_full(Scarcity.MEMORY)
        return self._free(owner)

    def subtract(self, size_bytes: int) -> None:
        """Count bytes as freed."""
        self.held_bytes -= size_bytes
        if self._full and self.held_bytes < RELIEVED_SHARE * self.limit_bytes:
            self._note_relieved(Scarcity.MEMORY)

    def move(self, holding: Holding, state: HoldingState) -> None:
        """Change the state of a connection."""
        if holding.is_closed:
            return
        self._holdings[holding.state].pop(holding, None)
        holding.state = state
        holding.entered_at_s = holding.progressed_at_s = self.clock()
        self._holdings[state][holding] = None

    def note_progress(self, holding: Holding) -> None:
        """Note that a connection has received something in its state."""
        holding.progressed_at_s = self.clock()
        holdings = self._holdings[holding.state]
        if holding not in holdings:
            return
        del holdings[holding]
        holdings[holding] = None

    def remove(self, holding: Holding) -> None:
        """Remove a connection and what is held for it."""
        if holding not in self._holdings[holding.state]:
            return
        del self._holdings[holding.state][holding]
        self.subtract(holding.held_bytes)
        holding.held_bytes = 0
        if self._full and self.connection_count < RELIEVED_SHARE * self.connections_max:
            self._note_relieved(Scarcity.CONNECTIONS)

    def _note_full(self, scarcity: Scarcity) -> None:
        if scarcity in self._full:
            return
        self._full.add(scarcity)
        self.on_change(scarcity, True)

    def _note_relieved(self, scarcity: Scarcity) -> None:
        if scarcity not in self._full:
            return
        self._full.remove(scarcity)
        self.on_change(scarcity, False)

    def _rejection(self, scarcity: Scarcity) -> TeaseldykeError:
        self.on_closed(scarcity, None)
        return scarcity.error()

    def _close_some(self) -> bool:
        """Close connections; return whether there is room for another."""
        target = self.connections_max * (1.0 - FREED_SHARE)
        for holding in self._closable():
            if self.connection_count < target:
                break
            self._close(holding, Scarcity.CONNECTIONS)
        return self.connection_count < self.connections_max

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
                    self.on_closed(Scarcity.MEMORY, holding.state)
                return False
            self._close(holding, Scarcity.MEMORY)
        return self.held_bytes <= self.limit_bytes

    def _close(self, holding: Holding, scarcity: Scarcity) -> None:
        state = holding.state
        if not holding.close(state, scarcity):
            return
        self.on_closed(scarcity, state)
        holding.closed_for = scarcity
        self.remove(holding)

    def _closable(self) -> Iterator[Holding]:
        """Yield the connections that may be closed, in the order of closing."""
        now_s = self.clock()
        stalled_at_s = now_s - STALLED_S
        yield from list(self._holdings[HoldingState.DISCARDING])
        yield from self._without_progress(HoldingState.UNUSED, stalled_at_s)
        yield from self._without_progress(HoldingState.RECEIVING, stalled_at_s)
        yield from self._without_progress(HoldingState.IDLE, stalled_at_s)
        slow: list[Holding] = []
        recent: list[Holding] = []
        for state in (HoldingState.UNUSED, HoldingState.IDLE, HoldingState.RECEIVING):
            for holding in self._holdings[state]:
                if holding.progressed_at_s <= stalled_at_s:
                    continue  # it could not be closed
                is_slow = holding.entered_at_s <= stalled_at_s
                (slow if is_slow else recent).append(holding)
        yield from sorted(
            slow,
            key=lambda holding: holding.received_bytes / (now_s - holding.entered_at_s),
        )
        yield from sorted(recent, key=lambda holding: holding.entered_at_s)

    def _without_progress(
        self, state: HoldingState, stalled_at_s: float
    ) -> Iterator[Holding]:
        for holding in list(self._holdings[state]):
            if holding.progressed_at_s > stalled_at_s:
                return
            yield holding
