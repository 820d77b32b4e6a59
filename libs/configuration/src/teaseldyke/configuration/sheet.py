"""The sheet: the whole configuration except the switches."""

from __future__ import annotations

import attrs

from teaseldyke.types import (
    BackendServer,
    Configuration,
    Organisation,
    Service,
    Switches,
)


@attrs.frozen
class Sheet:
    """The planned part of the configuration, as operators upload it.

    Parameters
    ----------
    organisations, services, backend_servers : dict
        Entries by name.
    failure_domains : tuple of str
        Every known failure domain.
    """

    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    backend_servers: dict[str, BackendServer] = attrs.field(factory=dict)
    failure_domains: tuple[str, ...] = ()


def combine(sheet: Sheet, switches: Switches, version: int) -> Configuration:
    """Return the configuration that consists of a sheet and the switches.

    Examples
    --------
    >>> combine(Sheet(failure_domains=("zone-a",)), Switches(), 3).version
    3
    """
    return Configuration(
        version=version,
        organisations=sheet.organisations,
        services=sheet.services,
        backend_servers=sheet.backend_servers,
        failure_domains=sheet.failure_domains,
        switches=switches,
    )


def sheet_of(configuration: Configuration) -> Sheet:
    """Return the sheet part of a configuration."""
    return Sheet(
        organisations=configuration.organisations,
        services=configuration.services,
        backend_servers=configuration.backend_servers,
        failure_domains=configuration.failure_domains,
    )
