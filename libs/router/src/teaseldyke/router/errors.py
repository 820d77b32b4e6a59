"""Errors that a router returns to callers."""

from __future__ import annotations

from teaseldyke.types import TeaseldykeError


class KeyMissing(TeaseldykeError):
    """The request carries no ``Authorization: Bearer`` header."""

    code = "key_missing"
    status = 401
    executed = "no"


class KeyUnknown(TeaseldykeError):
    """The key belongs to no organisation."""

    code = "key_unknown"
    status = 401
    executed = "no"


class OrganisationDisabled(TeaseldykeError):
    """Operators have disabled the organisation."""

    code = "organisation_disabled"
    status = 403
    executed = "no"


class ServiceNotGranted(TeaseldykeError):
    """The organisation has no access to the service."""

    code = "service_not_granted"
    status = 403
    executed = "no"


class ServiceUnknown(TeaseldykeError):
    """The path names no service in the configuration in force."""

    code = "service_unknown"
    status = 404
    executed = "no"


class HeaderInvalid(TeaseldykeError):
    """A request header has an invalid value."""

    code = "header_invalid"
    status = 400
    executed = "no"


class DeadlinePassed(TeaseldykeError):
    """The request's deadline passed before it was sent."""

    code = "deadline_passed"
    status = 504
    executed = "no"


class ConfigurationMissing(TeaseldykeError):
    """The router has not loaded a configuration yet."""

    code = "configuration_missing"
    status = 503
    executed = "no"


class BackendUnreachable(TeaseldykeError):
    """No backend server accepted the request, and no byte of it was sent."""

    code = "backend_unreachable"
    status = 502
    executed = "no"


class OutcomeUncertain(TeaseldykeError):
    """The request was sent but no complete response arrived."""

    code = "outcome_uncertain"
    status = 502
    executed = "unknown"
