"""Interfaces between the gateway and the platform that it runs on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs
import trio

from teaseldyke.http import OutgoingRequest
from teaseldyke.settings import Address
from teaseldyke.types import (
    AnnouncedServer,
    RolloutOrder,
    RoutingTable,
    StoreVersion,
    TeaseldykeError,
)

if TYPE_CHECKING:
    from .feed_polls import FeedPolls

Headers = list[tuple[bytes, bytes]]


class CallMalformed(TeaseldykeError):
    """A request lacks a mandatory header, repeats one or has an invalid value."""

    code = "call_malformed"
    status = 400
    executed = "no"


@attrs.frozen
class CallFacts:
    """What a caller's header states about its request.

    Parameters
    ----------
    request_id : bytes
        Unique for each attempt of a caller.
    host : str
        In lower case, without a port.
    caller_timeout_s : float or None
        How long the caller waits for its answer; ``None`` if it doesn't state it.
    key : str or None
        API key of its organisation.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and tokens expected to be generated.
    parts : tuple of (str, int)
        Ids and tokens of the prompt's parts, in order.
    resumes_after : int or None
        Id of the last event that the caller received of a stream to be resumed.
    resumes : bytes or None
        Request id of the caller's attempt that received that stream's first event, as
        the caller states it.
    """

    request_id: bytes
    host: str
    caller_timeout_s: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    resumes_after: int | None = None
    resumes: bytes | None = None


@attrs.frozen
class AnswerFacts:
    """What a backend server's header states about its answer.

    Parameters
    ----------
    request_id : bytes or None
        Id of the request that it answers.
    not_run : bool
        Whether the server states that it did not run the request.
    is_stamped : bool
        Whether it carries the server's signature.
    is_encoded : bool
        Whether the body has a content encoding, which is never requested.
    load : tuple of int or None
        Requests running, requests queued, and slots.
    keep_alive_s : float or None
        Keep-alive time of the idle connection; ``None`` if it isn't stated.
    is_leaving : bool
        Whether the server states that it is about to stop.
    retry_after_s : float or None
        Time for which a server that refused the request wants no further ones.
    limit_per_s : float or None
        Requests a second that the server takes from the whole fleet; ``None`` if it
        states no limit.
    is_limit_readable : bool
        Whether the answer tells if there is a limit.
    """

    request_id: bytes | None
    not_run: bool
    is_stamped: bool
    is_encoded: bool
    load: tuple[int, int, int] | None = None
    keep_alive_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    is_limit_readable: bool = True


class Wire(Protocol):
    """Decodes and encodes the headers of requests and answers."""

    def read_call(self, headers: Headers) -> CallFacts:
        """Decode a caller's header; raises `CallMalformed`."""
        ...

    def outgoing(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        left_s: float,
        server_id: str,
        organisation: str | None,
        resumes_after: int | None,
        copy_from: str | None,
    ) -> OutgoingRequest:
        """Return the request to send to a backend server.

        Parameters
        ----------
        copy_from : str or None
            Address of an engine that is likely to have cached the shared parts of the
            prompt.
        """
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the header of a backend server's answer."""
        ...

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the header to send to the caller with a backend server's answer."""
        ...

    def refusal_headers(
        self, request_id: bytes | None, retry_after_s: float | None
    ) -> Headers:
        """Return the header of a refusal by the gateway itself."""
        ...


@attrs.frozen
class Peer:
    """Address of an instance of the fleet.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    host, port : str, int
        Where it receives totals, by datagrams, and serves its listing, by HTTP.

    Raises
    ------
    ValueError
        If the host is no IP address, which would have to be looked up, or the port is
        out of range.
    """

    name: str
    host: str
    port: int

    def __attrs_post_init__(self) -> None:
        Address.parse(f"{self.host}:{self.port}")


class Fleet(Protocol):
    """The instances that share the fleet's limits."""

    @property
    def name(self) -> str:
        """Name of this instance."""
        ...

    @property
    def neighbourhood(self) -> str:
        """Name of this instance's neighbourhood."""
        ...

    @property
    def instances(self) -> int:
        """Number of these instances, this one included."""
        ...

    @property
    def alive(self) -> int:
        """Number of instances heard of lately, this one included."""
        ...

    def demand_of_neighbours(self, service: str) -> dict[str, float]:
        """Return recent requests at each other instance of the neighbourhood."""
        ...

    def demand_of_neighbourhoods(self, service: str) -> dict[str, float]:
        """Return recent requests in each other neighbourhood."""
        ...

    @property
    def lag_s(self) -> float:
        """Time until the other instances know of a send of this one."""
        ...

    @property
    def totals_age_s(self) -> float:
        """Age of the oldest totals of other instances in use."""
        ...

    def rank(self, key: str) -> int:
        """Return this instance's rendezvous rank in the fleet for a key, from 0."""
        ...


class DirectoryListener(Protocol):
    """Receives what the directory reads from the platform's store."""

    def apply_routing(self, table: RoutingTable) -> None:
        """Apply a configuration if it is newer than the current one."""
        ...

    def apply_servers(
        self, servers: Sequence[AnnouncedServer], *, restored: bool = False
    ) -> None:
        """Replace the set of listed backend servers.

        Parameters
        ----------
        restored : bool
            Whether the list is the first since the store was restored from a copy, so
            that it may be older than what was known.
        """
        ...

    def apply_evacuated(
        self, failure_domains: frozenset[str], *, restored: bool = False
    ) -> None:
        """Replace the failure domains that the operator lists as evacuated."""
        ...

    def apply_rollouts(self, orders: Sequence[RolloutOrder]) -> None:
        """Replace the roll-outs that operators have ordered."""
        ...

    def record_servers_current(self, as_of_s: float) -> None:
        """Record that all changes of the servers' entries up to a moment are known."""
        ...

    def set_store_available(self, available: bool, reason: str) -> None:
        """Record whether the platform's store answers."""
        ...


@attrs.frozen
class LostCalls:
    """Calls of the store to which no response will come.

    Parameters
    ----------
    before_s : float
        Those that were begun before this moment and aren't answered are lost.
    was_away : bool
        Whether the store was away until then, and not only some connections silent.
    """

    before_s: float
    was_away: bool = False


class FeedRole(Enum):
    """How an instance follows the entries in the store.

    In a large fleet one leader in each neighbourhood reads them and relays changes to
    its followers; in a small one all instances read them independently.
    """

    INDEPENDENT = "alone"
    LEADER = "tells"
    FOLLOWER = "is told"


@attrs.frozen
class KnownVersions:
    """Newest versions that an instance knows of the store's entries.

    Parameters
    ----------
    operator, servers : StoreVersion
        Newest changes of the operator's and of the backend servers' entries.
    configuration : int
        The operator's own number of the newest configuration, which a restored store
        may have lost; -1 before the first.
    """

    operator: StoreVersion
    servers: StoreVersion
    configuration: int


class StreamRows(Protocol):
    """Rows of the store about streams and the software versions that began them."""

    @property
    def store_era(self) -> int:
        """Era of the store, which grows when it is restored from a copy."""
        ...

    async def stream_rows(self) -> tuple[dict[str, tuple[int, bytes]], int]:
        """Return all rows with their versions, and the store's time in ms.

        Raises `PlatformUnavailable`.
        """
        ...

    async def write_stream_row(
        self, key: str, value: bytes, known: int | None
    ) -> int | None:
        """Write a row and return its version.

        Parameters
        ----------
        known : int or None
            Version that the row must have, 0 if there must be none; otherwise nothing
            is written and ``None`` returned.

        Raises
        ------
        PlatformUnavailable, AnswerLost
            If the store fails; after `AnswerLost`, the row may have been written.
        """
        ...


class RolloutState(Enum):
    """State of a roll-out, as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutRows(Protocol):
    """Rows of the store with the states of roll-outs."""

    async def rollout_states(self) -> dict[str, tuple[int, str, RolloutState]]:
        """Return row version, target version and state, by service.

        Raises `PlatformUnavailable`.
        """
        ...

    async def rollout_orders(self) -> list[RolloutOrder]:
        """Return the orders that stand in the store now.

        Raises `PlatformUnavailable`.
        """
        ...

    async def write_rollout_state(
        self, service: str, version: str, state: RolloutState, known: int
    ) -> bool:
        """Write a state if its row still has a version; return whether it had.

        Parameters
        ----------
        version : str
            Target version of the roll-out.
        known : int
            Version that the row must have, 0 if there must be none.

        Raises
        ------
        PlatformUnavailable, AnswerLost
            If the store fails; after `AnswerLost`, the row may have been written.
        """
        ...


class Directory(StreamRows, RolloutRows, Protocol):
    """Follows the entries of the operator and of the backend servers in the store.

    Attributes
    ----------
    polls : FeedPolls
        Which calls of the store are lost.
    relay : callable or None
        Sends the neighbours the changes that were read.
    new_era : trio.Event
        Set, and then replaced, when the store was restored from a copy.
    """

    polls: FeedPolls
    new_era: trio.Event
    relay: Callable[[bytes], Awaitable[None]] | None

    def take_place(self, role: FeedRole, rank: int, pollers: int) -> None:
        """Set in which role the store's entries are followed.

        Parameters
        ----------
        rank, pollers : int
            Rank of this instance among those that poll the store, and their number.
        """
        ...

    def note_lost_calls(self, lost: LostCalls) -> None:
        """Repeat calls that another instance found to be lost."""
        ...

    def apply_changes(self, data: bytes, as_of_s: float) -> None:
        """Apply changes that a neighbour relayed.

        Parameters
        ----------
        data : bytes
            As the neighbour's directory encoded it.
        as_of_s : float
            Earliest time of arrival, on the clock of `boot_time_s`.

        Raises
        ------
        ValueError
            If it can't be decoded.
        """
        ...

    @property
    def versions(self) -> KnownVersions:
        """Newest versions known of the store's entries."""
        ...

    def is_behind(self, versions: KnownVersions) -> bool:
        """Return whether another instance knows changes that this one doesn't."""
        ...

    async def run(self) -> None:
        """Follow the store until cancelled."""
        ...

    async def announce(self, peer: Peer) -> list[Peer]:
        """Register this instance and return all; raises `PlatformUnavailable`."""
        ...

    async def withdraw(self, peer: Peer) -> None:
        """Deregister this instance; raises `PlatformUnavailable`."""
        ...

    def export_listing(self) -> bytes:
        """Return all entries, encoded for another instance."""
        ...

    def import_listing(self, data: bytes) -> None:
        """Adopt newer entries of another instance; raises `ValueError`."""
        ...
