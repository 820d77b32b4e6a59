"""The configuration that a morning sheet and the day's switches add up to."""

from __future__ import annotations

from typing import Literal

import attrs

ServiceKind = Literal["engine", "plain"]


@attrs.frozen
class Organisation:
    """A customer that shares capacity.

    Parameters
    ----------
    name : str
        Unique identifier.
    share : float
        Weight in the fair order, above 0.
    key_hashes : tuple of str
        SHA-256 of each accepted key, in hexadecimal.
    services : tuple of str
        Services that the organisation may reach.
    disabled : bool
        Whether every request of the organisation is refused.
    """

    name: str
    share: float
    key_hashes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    disabled: bool = False


@attrs.frozen
class RequestRule:
    """Says whether requests that match a method and a path prefix are idempotent.

    Parameters
    ----------
    method : str
        HTTP method in capitals, or ``"*"``.
    path_prefix : str
        Prefix of the path as the backend server sees it, with the leading slash.
    idempotent : bool
        Whether a matching request may run more than once.
    """

    method: str
    path_prefix: str
    idempotent: bool


@attrs.frozen
class Service:
    """A pool of backend servers that answer the same requests.

    Parameters
    ----------
    name : str
        Unique identifier, the second segment of a caller's path.
    kind : {"engine", "plain"}
        A model engine charges tokens; a plain service charges one unit a request.
    limit : int
        Concurrent requests that one warm backend server bears.
    cold_limit : int
        Concurrent requests that a freshly started backend server bears.
    warm_after_requests : int
        Completed requests after which a backend server counts as warm.
    queue_limit : int
        Waiting requests of one organisation in one router.
    queue_timeout_s : float
        Longest wait of a request without a deadline of its own.
    answer_limit_bytes : int
        Largest answer body passed on.
    checks_fencing : bool
        Whether backend servers refuse an order with an old fencing number.
    shards : int
        Number of dispatchers that the service is split over.
    rules : tuple of RequestRule
        The first match decides; a request without a match is non-idempotent.
    """

    name: str
    kind: ServiceKind
    limit: int
    cold_limit: int = 1
    warm_after_requests: int = 8
    queue_limit: int = 64
    queue_timeout_s: float = 30.0
    answer_limit_bytes: int = 16 * 1024 * 1024
    checks_fencing: bool = False
    shards: int = 1
    rules: tuple[RequestRule, ...] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request may run more than once.

        Examples
        --------
        >>> rule = RequestRule("GET", "/stations", True)
        >>> service = Service("licensing", "plain", 4, rules=(rule,))
        >>> service.is_idempotent("GET", "/stations/9")
        True
        >>> service.is_idempotent("POST", "/grants")
        False
        """
        for rule in self.rules:
            if rule.method not in ("*", method):
                continue
            if not path.startswith(rule.path_prefix):
                continue
            return rule.idempotent
        return False


@attrs.frozen
class BackendServer:
    """One model engine or one process of a plain service.

    Parameters
    ----------
    name : str
        Unique identifier.
    service : str
        Service that it belongs to.
    host : str
        IP number.
    port : int
        TCP port.
    failure_domain : str
        Failure domain that it stands in.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str


@attrs.frozen
class Switches:
    """What operators take out during the day, kept apart from the sheet.

    Parameters
    ----------
    failure_domains_out : frozenset of str
        Failure domains that get no new work.
    instances_out : frozenset of str
        Router instances that take no callers and no dispatcher role.
    backend_servers_out : frozenset of str
        Backend servers that get no new work.
    organisations_disabled : frozenset of str
        Organisations whose requests are refused.
    """

    failure_domains_out: frozenset[str] = frozenset()
    instances_out: frozenset[str] = frozenset()
    backend_servers_out: frozenset[str] = frozenset()
    organisations_disabled: frozenset[str] = frozenset()


@attrs.frozen
class Configuration:
    """A whole configuration at one version.

    Parameters
    ----------
    version : int
        Grows by one with each accepted change, of the sheet or of a switch.
    organisations, services, backend_servers : dict
        By name.
    failure_domains : tuple of str
        Every known failure domain.
    switches : Switches
        What is out at this version.
    """

    version: int
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    backend_servers: dict[str, BackendServer] = attrs.field(factory=dict)
    failure_domains: tuple[str, ...] = ()
    switches: Switches = attrs.field(factory=Switches)

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service, sorted by name."""
        servers = [s for s in self.backend_servers.values() if s.service == service]
        return tuple(sorted(servers, key=lambda server: server.name))

    def is_out(self, server: BackendServer) -> bool:
        """Return whether operators have taken the backend server or its domain out."""
        if server.name in self.switches.backend_servers_out:
            return True
        return server.failure_domain in self.switches.failure_domains_out
