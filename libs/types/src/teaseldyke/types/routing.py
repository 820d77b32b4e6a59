"""Routes, services and backend servers as a fleet's operator describes them."""

from __future__ import annotations

from enum import Enum

import attrs


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Unique identifier.
    host : str
        Value of ``Host`` without a port, in lower case.
    prefix : str
        Prefix of the path, from slash to slash.
    kind : RouteKind
        What may be repeated.
    split : tuple of (str, float)
        Services and their weights; each is in the routing table and weighs over 0.
    timeout_s : float
        Longest time until the final answer.
    target_latency_s : float
        Time within which an answer is on time; to the first event of a stream.
    attempts_max : int
        Backend servers that one request may run on.
    priority : int
        Rank, 0 the highest.
    is_open : bool
        Whether requests need no key.
    resumable : bool
        Whether a broken stream may go on at another backend server.
    event_gap_s : float
        Longest pause between events that is on time; 0 for other routes.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    split: tuple[tuple[str, float], ...]
    timeout_s: float
    target_latency_s: float
    attempts_max: int = 1
    priority: int = 0
    is_open: bool = False
    resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class ServiceDescription:
    """A pool of backend servers.

    Parameters
    ----------
    name : str
        Unique identifier.
    connections_max : int
        Connections that one backend server takes from the whole fleet.
    cold_s : float
        How long a backend server stays cold after its start; 0 if it doesn't.
    cold_rate_per_s : float
        Requests a second that a cold backend server bears.
    slots : int
        Requests that one of its model engines runs at once; 0 for other services.
    memory_tokens : int
        Tokens that one model engine holds; 0 for other services.
    token_bytes : float
        Memory of a token in an engine.
    memory_link_bytes_per_s : float
        Rate at which engines copy memory from each other; 0 if they don't.
    """

    name: str
    connections_max: int
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
    slots: int = 0
    memory_tokens: int = 0
    token_bytes: float = 0.0
    memory_link_bytes_per_s: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether its backend servers are model engines."""
        return self.memory_tokens > 0


@attrs.frozen
class KeyedOrganisation:
    """An organisation and the keys by which its requests are known."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerBounds:
    """What callers may send and how long they may take.

    Parameters
    ----------
    tokens_per_s : float
        What all model engines produce together; a generated token counts twice.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@attrs.frozen
class AnnouncedServer:
    """One backend server as it announces itself.

    Parameters
    ----------
    id : str
        New at most starts.
    started : int
        Tells two starts under one id apart.
    service : str
        Service that it belongs to.
    host, port : str, int
        Where it listens.
    failure_domain : str
        Where it stands.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it asks for no new requests.
    cold_for_s : float
        How much longer it is cold, as of its announcement.
    """

    id: str
    started: int
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool = False
    cold_for_s: float = 0.0


class RoutingTable:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Later versions are greater.
    routes, services, organisations
        What the version holds.
    bounds : CallerBounds
        Limits of callers.

    Examples
    --------
    >>> short = Route("a", "h", "/x/", RouteKind.IDEMPOTENT, (("s", 1.0),), 1.0, 0.2)
    >>> long = Route("b", "h", "/x/y/", RouteKind.IDEMPOTENT, (("s", 1.0),), 1.0, 0.2)
    >>> table = RoutingTable(7, (short, long), (), ())
    >>> table.match("h", "/x/y/z").name
    'b'
    >>> table.match("h", "/x") is None
    True
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceDescription, ...],
        organisations: tuple[KeyedOrganisation, ...],
        bounds: CallerBounds | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.organisations = organisations
        self.bounds = bounds or CallerBounds()
        self._by_place = {(route.host, route.prefix): route for route in routes}
        self._by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        end = path.rfind("/")
        while end >= 0:
            route = self._by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation_of(self, key: str) -> KeyedOrganisation | None:
        """Return the organisation that holds a key."""
        return self._by_key.get(key)
