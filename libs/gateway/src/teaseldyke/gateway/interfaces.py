"""What a gateway needs of the platform that it runs on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from typing import Protocol

import attrs

from teaseldyke.http import OutgoingRequest
from teaseldyke.types import AnnouncedServer, RoutingTable, TeaseldykeError

Headers = list[tuple[bytes, bytes]]


class CallMalformed(TeaseldykeError):
    """A request lacks what every request must carry, or states it twice."""

    code = "call_malformed"
    status = 400
    executed = "no"


@attrs.frozen
class CallFacts:
    """What a caller's header says of its request.

    Parameters
    ----------
    request_id : bytes
        New for each attempt of a caller.
    host : str
        In lower case, without a port.
    caller_timeout_s : float or None
        How long the caller waits.
    key : str or None
        Key of its organisation.
    prompt_tokens, output_tokens : int
        Tokens to read, and tokens that are expected to be generated.
    parts : tuple of (str, int)
        The prompt's parts, in order.
    resumes_after : int or None
        Id of the last event that the caller has.
    """

    request_id: bytes
    host: str
    caller_timeout_s: float | None
    key: str | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    resumes_after: int | None = None


@attrs.frozen
class AnswerFacts:
    """What a backend server's header says of its answer.

    Parameters
    ----------
    request_id : bytes or None
        Request that it answers.
    not_run : bool
        Whether the server states that it did not run the request.
    is_stamped : bool
        Whether it carries the server's signature.
    is_encoded : bool
        Whether the body is in an encoding that nobody asked for.
    load : tuple of int or None
        Requests running and waiting, and slots.
    keep_alive_s : float or None
        How long the server keeps the idle connection; ``None`` if it doesn't say.
    """

    request_id: bytes | None
    not_run: bool
    is_stamped: bool
    is_encoded: bool
    load: tuple[int, int, int] | None = None
    keep_alive_s: float | None = None


class Wire(Protocol):
    """Names and formats of requests and answers."""

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
        """Return the request as a backend server gets it.

        Parameters
        ----------
        copy_from : str or None
            Address of an engine that is likely to keep shared parts of the prompt.
        """
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode a backend server's header."""
        ...

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the header that the caller gets of a backend server's answer."""
        ...

    def refusal_headers(
        self, request_id: bytes | None, retry_after_s: float | None
    ) -> Headers:
        """Return the header of a refusal."""
        ...


@attrs.frozen
class Peer:
    """Another instance of the fleet.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    host, port : str, int
        Where it exchanges totals, by datagrams, and listings, by HTTP.
    """

    name: str
    host: str
    port: int


class Fleet(Protocol):
    """The instances that share the fleet's bounds."""

    @property
    def instances(self) -> int:
        """How many they are, this one included."""
        ...

    @property
    def lag_s(self) -> float:
        """Time until the other instances know of a send of this one."""
        ...

    @property
    def totals_age_s(self) -> float:
        """Age of the oldest totals of other instances that are in force."""
        ...

    def rank(self, key: str) -> int:
        """Return this instance's place among them for a key, from 0."""
        ...


class DirectoryListener(Protocol):
    """Takes what the directory learns."""

    def apply_routing(self, table: RoutingTable) -> None:
        """Put a newer configuration in force."""
        ...

    def apply_servers(self, servers: Sequence[AnnouncedServer]) -> None:
        """Replace the backend servers."""
        ...

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Replace the failure domains that get nothing new."""
        ...

    def note_servers_current(self, as_of_s: float) -> None:
        """Note that all changes of the servers' entries up to a moment are known."""
        ...

    def note_store(self, available: bool, reason: str) -> None:
        """Note that the platform's store was lost or regained."""
        ...


class FeedRole(Enum):
    """How an instance of a large fleet learns of the backend servers' entries."""

    INDEPENDENT = "alone"
    LEADER = "tells"
    FOLLOWER = "is told"


class Directory(Protocol):
    """Follows what the operator and the backend servers write into the store.

    Attributes
    ----------
    feed_role : FeedRole
        How the backend servers' entries are followed.
    relay : callable or None
        Tells the neighbours what was read.
    """

    feed_role: FeedRole
    relay: Callable[[bytes], Awaitable[None]] | None

    def apply_changes(self, data: bytes, as_of_s: float) -> None:
        """Take in what a neighbour told.

        Parameters
        ----------
        data : bytes
            As the neighbour's directory encoded it.
        as_of_s : float
            It arrived after this moment, on the clock of `boot_time_s`.

        Raises
        ------
        ValueError
            If it can't be decoded.
        """
        ...

    @property
    def versions(self) -> tuple[int, int]:
        """Newest change seen of the operator's and of the servers' entries."""
        ...

    def is_behind(self, versions: tuple[int, int]) -> bool:
        """Return whether another instance's newest changes are not known here."""
        ...

    async def run(self) -> None:
        """Follow the store until cancelled."""
        ...

    async def announce(self, peer: Peer) -> list[Peer]:
        """Enter this instance and return all; raises `PlatformUnavailable`."""
        ...

    async def withdraw(self, peer: Peer) -> None:
        """Take this instance's entry out; raises `PlatformUnavailable`."""
        ...

    def export_listing(self) -> bytes:
        """Return all entries, for another instance."""
        ...

    def import_listing(self, data: bytes) -> None:
        """Adopt what is newer in another instance's entries; raises `ValueError`."""
        ...
