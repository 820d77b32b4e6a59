"""A sheet of the size for which the fleet is planned (``docs/CAPACITY.md``)."""

from __future__ import annotations

from hashlib import sha256

from teaseldyke.configuration import Sheet
from teaseldyke.types import BackendServer, Organisation, RequestRule, Service

ORGANISATIONS = 18_000
ENGINES = 600
ENGINES_PER_SERVICE = 60
FAILURE_DOMAINS = ("zone-a", "zone-b", "zone-c", "zone-d")


def large_sheet(organisations: int = ORGANISATIONS, engines: int = ENGINES) -> Sheet:
    """Return a sheet in which every organisation has a key and up to two services."""
    services = {
        f"language-model-{i}": Service(
            f"language-model-{i}",
            "engine",
            8,
            rules=(RequestRule("POST", "/v1/", True),),
        )
        for i in range(max(1, engines // ENGINES_PER_SERVICE))
    }
    names = list(services)
    servers = {}
    for i in range(engines):
        name = f"engine-{i}"
        host = f"10.{i // 250}.{i % 250}.1"
        domain = FAILURE_DOMAINS[i % len(FAILURE_DOMAINS)]
        service = names[i % len(names)]
        servers[name] = BackendServer(name, service, host, 9000, domain)
    organisations_by_name = {}
    for i in range(organisations):
        name = f"organisation-{i:05d}"
        key_hash = sha256(name.encode()).hexdigest()
        granted_services = tuple(
            sorted({names[i % len(names)], names[(i + 1) % len(names)]})
        )
        organisations_by_name[name] = Organisation(
            name, 1.0 + i % 7, (key_hash,), granted_services
        )
    return Sheet(organisations_by_name, services, servers, FAILURE_DOMAINS)
