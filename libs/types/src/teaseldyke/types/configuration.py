"""Configuration, combined from the daily sheet and the operators' switches."""

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
        Weight in fair sharing, above 0.
    key_hashes : tuple of str
        SHA-256 of each accepted key, in hexadecimal.
    services : tuple of str
        Services that the organisation may use.
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
    """Classifies requests with a method and path prefix as idempotent or not.

    Parameters
    ----------
    method : str
        HTTP method in upper case, or ``"*"`` for all.
    path_prefix : str
        Prefix of the path as sent to the backend server, with the leading slash.
    idempotent : bool
        Whether a matching request may be executed more than once.
    """

    method: str
    path_prefix: str
    idempotent: bool


@attrs.frozen
class Service:
    """A pool of interchangeable backend servers.

    Parameters
    ----------
    name : str
        Unique identifier, the second segment of a caller's path.
    kind : {"engine", "plain"}
        A request to a model engine costs tokens; one to a plain service costs 1 unit.
    limit : int
        Most concurrent requests of one warm backend server.
    cold_limit : int
        Most concurrent requests of a newly started backend server.
    warm_after_requests : int
        Completed requests after which a backend server is warm.
    queue_limit : int
        Most queued requests of one organisation in one router.
    queue_timeout_s : float
        Longest time in the queue for a request without its own deadline.
    answer_limit_bytes : int
        Largest answer body that is passed on.
    checks_fencing : bool
        Whether backend servers refuse requests with an old fencing number.
    shards : int
        Number of dispatchers among which the service is divided.
    rules : tuple of RequestRule
        The first matching rule applies; without one, a request is non-idempotent.
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
        """Return whether a request may be executed more than once.

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
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Failure domain that it belongs to.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str


@attrs.frozen
class Switches:
    """What operators take out of service or disable, separately from the sheet.

    Parameters
    ----------
    failure_domains_out : frozenset of str
        Failure domains that receive no new requests.
    instances_out : frozenset of str
        Router instances that accept no callers and are no dispatchers.
    backend_servers_out : frozenset of str
        Backend servers that receive no new requests.
    organisations_disabled : frozenset of str
        Organisations whose requests are refused.
    """

    failure_domains_out: frozenset[str] = frozenset()
    instances_out: frozenset[str] = frozenset()
    backend_servers_out: frozenset[str] = frozenset()
    organisations_disabled: frozenset[str] = frozenset()


@attrs.frozen
class Configuration:
    """The complete configuration at one version.

    Parameters
    ----------
    version : int
        Incremented by each accepted change of the sheet or of a switch.
    organisations, services, backend_servers : dict
        By name.
    failure_domains : tuple of str
        Every known failure domain.
    switches : Switches
        State of the switches at this version.
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
        """Return whether the server or its failure domain is out of service."""
        if server.name in self.switches.backend_servers_out:
            return True
        return server.failure_domain in self.switches.failure_domains_out
