"""Routing configuration: routes, services, organisations and backend servers."""

from __future__ import annotations

from enum import Enum

import attrs


class RouteKind(Enum):
    """Whether and how the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Route:
    """Route for the requests with one host and path prefix.

    Parameters
    ----------
    name : str
        Unique identifier.
    host : str
        Value of ``Host`` without a port, in lower case.
    prefix : str
        Prefix of the path, starting and ending with a slash.
    kind : RouteKind
        Whether and how requests may be repeated.
    split : tuple of (str, float)
        Services with their weights above 0; each is in the routing table.
    timeout_s : float
        Longest time until the final answer.
    target_latency_s : float
        Target time to the answer, or to the first event of a stream.
    attempts_max : int
        Most backend servers that may execute one request.
    priority : int
        Priority; 0 is the highest.
    is_open : bool
        Whether requests are accepted without a key.
    resumable : bool
        Whether a broken stream may be resumed at another backend server.
    event_gap_s : float
        Target for the longest time between events; 0 for routes without streams.
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
        """Whether a request may be executed more than once."""
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
        Most connections of one backend server from the whole fleet.
    cold_s : float
        Time for which a backend server is cold after its start; 0 for never.
    cold_rate_per_s : float
        Requests per second that a cold backend server sustains.
    slots : int
        Most concurrent requests of one model engine; 0 for other services.
    memory_tokens : int
        Capacity of one model engine's memory in tokens; 0 for other services.
    token_bytes : float
        Memory that one token occupies in an engine.
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
    """An organisation with the keys that identify its requests."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerBounds:
    """Limits on the size and duration of callers' requests, and the engines' capacity.

    Parameters
    ----------
    tokens_per_s : float
        Total capacity of all model engines; a generated token counts twice.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@attrs.frozen
class RolloutOrder:
    """An operator's order to move a service to servers of a software version.

    Parameters
    ----------
    service, version : str
        Service, and the version that its traffic is to be moved to.
    duration_s : float
        Time from the order to its deadline.
    """

    service: str
    version: str
    duration_s: float


@attrs.frozen
class AnnouncedServer:
    """The announcement of one backend server.

    Parameters
    ----------
    id : str
        Identifier of the process; usually, but not always, new after a restart.
    started : int
        Distinguishes processes with the same ``id``.
    service : str
        Service that it belongs to.
    host, port : str, int
        Address on which it listens.
    failure_domain : str
        Failure domain that it belongs to.
    slots : int
        Most concurrent requests.
    leaving : bool
        Whether it is draining and accepts no new requests.
    cold_for_s : float
        Remaining time for which it is cold, as of the announcement.
    heartbeats : int
        Announcements of this process so far; orders them when the store forgot some.
    version : str
        Version of its software; versions have no order.
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
    heartbeats: int = 0
    version: str = ""


class RoutingTable:
    """One version of the routing configuration, with look-ups.

    Parameters
    ----------
    version : int
        Increases with each version.
    routes, services, organisations
        Content of this version.
    bounds : CallerBounds
        Limits for callers.

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
        self.routes = routes
        self.organisations = organisations
        self.bounds = bounds or CallerBounds()
        self._by_host_and_prefix = {
            (route.host, route.prefix): route for route in routes
        }
        self._by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        end = path.rfind("/")
        while end >= 0:
            route = self._by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation_of(self, key: str) -> KeyedOrganisation | None:
        """Return the organisation that a key belongs to."""
        return self._by_key.get(key)
