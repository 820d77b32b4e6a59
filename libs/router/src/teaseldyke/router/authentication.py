"""Finds the organisation that a caller's key belongs to."""

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
    """Return the form in which a key is kept.

    Examples
    --------
    >>> hash_key("example")[:12]
    '50d858e0985e'
    """
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.define
class Directory:
    """Organisations by the hash of their keys, for one configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration that the directory was made from.
    """

    configuration: Configuration
    _by_hash: dict[str, Organisation] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for organisation in self.configuration.organisations.values():
            for key_hash in organisation.key_hashes:
                self._by_hash[key_hash] = organisation

    def organisation_of(self, authorization: str | None) -> Organisation:
        """Return the organisation named by an ``Authorization`` header.

        Raises
        ------
        KeyMissing, KeyUnknown, OrganisationDisabled
            When the header does not name an organisation that may call.
        """
        if authorization is None or not authorization.lower().startswith(BEARER):
            raise KeyMissing("expected a header 'Authorization: Bearer <key>'")
        key = authorization[len(BEARER) :].strip()
        organisation = self._by_hash.get(hash_key(key))
        if organisation is None:
            raise KeyUnknown("the key belongs to no organisation; ask your operators")
        switched_off = self.configuration.switches.organisations_disabled
        if organisation.disabled or organisation.name in switched_off:
            raise OrganisationDisabled(
                f"organisation {organisation.name!r} is disabled; ask your operators"
            )
        return organisation

    def service_for(self, organisation: Organisation, name: str) -> Service:
        """Return a service that the organisation may reach.

        Raises
        ------
        ServiceUnknown, ServiceNotGranted
            When there is no such service, or it is not granted.
        """
        service = self.configuration.services.get(name)
        if service is None:
            known = ", ".join(sorted(organisation.services))
            raise ServiceUnknown(f"there is no service {name!r}; granted: {known}")
        if name not in organisation.services:
            raise ServiceNotGranted(
                f"organisation {organisation.name!r} may not reach service {name!r}"
            )
        return service
