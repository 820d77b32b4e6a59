"""Commands that take domains, instances or servers out of service and back in."""

from __future__ import annotations

from collections import Counter

import attrs

from teaseldyke.configuration import SwitchKind

from .client import FleetConfiguration
from .errors import RequestRefused
from .session import Session


@attrs.frozen
class SwitchCommands:
    """Take something out of service, and bring it back in.

    Parameters
    ----------
    session : Session
        Options of the command.
    kind : str
        Kind of thing that is switched.
    """

    session: Session
    kind: SwitchKind

    def out(self, name: str) -> None:
        """Send it no new requests; running ones finish."""
        set_switch(self.session, self.kind, name, out=True)

    def bring_in(self, name: str) -> None:
        """Send it requests again; its backend servers start cold."""
        set_switch(self.session, self.kind, name, out=False)

    def status(self) -> None:
        """List failure domains with their number of backend servers per service."""
        configuration = self.session.run(lambda client: client.configuration())
        rows = [
            {
                "failure_domain": domain,
                "state": _domain_state(configuration, domain),
                **_server_counts(configuration, domain),
            }
            for domain in configuration.sheet.failure_domains
        ]
        self.session.output.rows(rows)


def set_switch(session: Session, kind: SwitchKind, name: str, *, out: bool) -> None:
    """Request one switch; it is a conflict if the switch was set since it was read."""
    configuration = session.run(lambda client: client.configuration())
    verb = "out" if out else "in"
    if kind == "organisation":
        verb = "disabled" if out else "enabled"
    if kind == "instance" and out:
        _require_known_instance(session, str(name))
    if kind == "failure-domain":
        _warn_of_unserved_services(session, configuration, str(name), out=out)
    session.change(
        "POST",
        "/v1/switches",
        {
            "kind": kind,
            "name": str(name),
            "out": out,
            "base_version": configuration.head.version,
        },
        f"{kind} {name} {verb}",
    )


def _require_known_instance(session: Session, name: str) -> None:
    """Refuse a name that no router has; the sheet does not list instances."""
    versions = session.run(lambda client: client.versions())
    known = [version.router for version in versions]
    if name not in known:
        raise RequestRefused(
            f"there is no instance {name!r}; known: {', '.join(known)}"
        )


def _warn_of_unserved_services(
    session: Session, configuration: FleetConfiguration, domain: str, *, out: bool
) -> None:
    """Warn of services that would have no backend server in service."""
    if not out:
        return
    domains_out = configuration.switches.failure_domains_out | {domain}
    services_left = {
        server.service
        for server in configuration.sheet.backend_servers.values()
        if server.failure_domain not in domains_out
        and server.name not in configuration.switches.backend_servers_out
    }
    for service in sorted(set(configuration.sheet.services) - services_left):
        session.output.note(f"warning: service {service} will have no backend server")


def _domain_state(configuration: FleetConfiguration, domain: str) -> str:
    return "out" if domain in configuration.switches.failure_domains_out else "in"


def _server_counts(configuration: FleetConfiguration, domain: str) -> dict[str, int]:
    counts = Counter(
        server.service
        for server in configuration.sheet.backend_servers.values()
        if server.failure_domain == domain
    )
    return {name: counts[name] for name in sorted(configuration.sheet.services)}
