"""Authenticates callers by their API keys."""

from __future__ import annotations

import hashlib

import attrs

from teaseldyke.types import Configuration, Organisation, Service

from .errors import (
    KeyMissing,
    KeyUnknown,
    OrganisationDisabled,
    ServiceNotGranted,
    ServiceUnknown,
)

BEARER = "bearer "


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest by which the configuration stores a key.

    Examples
    --------
    >>> hash_key("example")[:12]
    '50d858e0985e'
    """
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.define
class OrganisationDirectory:
    """Looks up organisations by the hashes of their keys, for one configuration.

    Parameters
    ----------
    configuration : Configuration
        Source of the organisations and services.
    """

    configuration: Configuration
    _by_hash: dict[str, Organisation] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for organisation in self.configuration.organisations.values():
            for key_hash in organisation.key_hashes:
                self._by_hash[key_hash] = organisation

    def organisation_of(self, authorization: str | None) -> Organisation:
        """Return the organisation identified by an ``Authorization`` header.

        Raises
        ------
        KeyMissing, KeyUnknown, OrganisationDisabled
            If the header does not identify an enabled organisation.
        """
        if authorization is None or not authorization.lower().startswith(BEARER):
            raise KeyMissing("expected a header 'Authorization: Bearer <key>'")
        key = authorization[len(BEARER) :].strip()
        organisation = self._by_hash.get(hash_key(key))
        if organisation is None:
            raise KeyUnknown(
                "the key is not assigned to any organisation; contact an operator"
            )
        disabled_names = self.configuration.switches.organisations_disabled
        if organisation.disabled or organisation.name in disabled_names:
            raise OrganisationDisabled(
                f"organisation {organisation.name!r} is disabled; contact an operator"
            )
        return organisation

    def service_for(self, organisation: Organisation, name: str) -> Service:
        """Return a service that is granted to the organisation.

        Raises
        ------
        ServiceUnknown, ServiceNotGranted
            If the service does not exist or is not granted.
        """
        service = self.configuration.services.get(name)
        if service is None:
            granted = ", ".join(sorted(organisation.services))
            raise ServiceUnknown(
                f"unknown service {name!r}; services granted: {granted}"
            )
        if name not in organisation.services:
            raise ServiceNotGranted(
                f"organisation {organisation.name!r} has no access to service {name!r}"
            )
        return service
