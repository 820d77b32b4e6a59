"""Composition of a fleet of real processes."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs

from teaseldyke.configuration import Sheet
from teaseldyke.types import BackendServer, Organisation, RequestRule, Service

from .ports import HOST

ENGINE_SERVICE = "language-model"
PLAIN_SERVICE = "licensing"
ENGINE_RULES = (RequestRule("POST", "/v1/chat/completions", True),)
PLAIN_RULES = (RequestRule("GET", "/stations", True),)
ENGINES = Service(ENGINE_SERVICE, "engine", 8, cold_limit=2, rules=ENGINE_RULES)
PLAIN = Service(PLAIN_SERVICE, "plain", 8, cold_limit=8, rules=PLAIN_RULES)


@attrs.define
class FleetPlan:
    """Composition of a fleet.

    Parameters
    ----------
    routers, engines, services : int
        Number of processes of each kind, assigned to the failure domains in turn.
    failure_domains : tuple of str
        Names of the failure domains.
    shares : dict of str to float
        Share of each organisation.
    engine_service, plain_service : Service
        The two services of the sheet.
    engine, service, router, platform : dict
        Settings that differ from the defaults, by kind of process.
    isolable : int, optional
        Index of a router whose links to the others go through a relay.
    example : Sheet, optional
        Sheet to use instead; its backend servers are started on this machine. The
        key of each of its organisations is ``example-key-<name>``.
    """

    routers: int = 3
    engines: int = 3
    services: int = 2
    failure_domains: tuple[str, ...] = ("north", "middle", "south")
    shares: dict[str, float] = attrs.field(factory=lambda: {"large": 4, "parish": 1})
    engine_service: Service = ENGINES
    plain_service: Service = PLAIN
    engine: dict[str, Any] = attrs.field(factory=dict)
    service: dict[str, Any] = attrs.field(factory=dict)
    router: dict[str, Any] = attrs.field(factory=dict)
    platform: dict[str, Any] = attrs.field(factory=dict)
    isolable: int | None = None
    example: Sheet | None = None

    def sheet(self) -> Sheet:
        """Return the sheet; the addresses of its servers are placeholders."""
        if self.example is not None:
            return self.example
        organisations = {}
        for name, share in self.shares.items():
            key_hash = hashlib.sha256(self.key(name).encode()).hexdigest()
            service_names = (ENGINE_SERVICE, PLAIN_SERVICE)
            organisations[name] = Organisation(name, share, (key_hash,), service_names)
        services = {
            ENGINE_SERVICE: self.engine_service,
            PLAIN_SERVICE: self.plain_service,
        }
        servers = {}
        for kind, count, service in (
            ("engine", self.engines, ENGINE_SERVICE),
            ("service", self.services, PLAIN_SERVICE),
        ):
            for i in range(count):
                name = f"{kind}-{i + 1}"
                servers[name] = BackendServer(name, service, HOST, 0, self.domain(i))
        return Sheet(organisations, services, servers, self.failure_domains)

    def key(self, organisation: str) -> str:
        """Return the key of an organisation."""
        prefix = "key" if self.example is None else "example-key"
        return f"{prefix}-{organisation}"

    def domain(self, index: int) -> str:
        """Return the failure domain of a process."""
        return self.failure_domains[index % len(self.failure_domains)]
