"""Errors of the dispatch library, all raised before the request was sent."""

from __future__ import annotations

from typing import ClassVar

from teaseldyke.types import Executed, TeaseldykeError


class DispatchError(TeaseldykeError):
    """Base of the errors raised before a request was sent."""

    code: ClassVar[str] = "dispatch_refused"
    status: ClassVar[int] = 503
    executed: Executed = "no"


class NotReady(DispatchError):
    """No configuration has been loaded yet."""

    code = "not_ready"


class ServiceUnknown(DispatchError):
    """The service is not in the configuration."""

    code = "service_unknown"
    status = 404


class OrganisationRefused(DispatchError):
    """The organisation is unknown or disabled."""

    code = "organisation_refused"
    status = 403


class QueueFull(DispatchError):
    """The organisation's queue for the service is full."""

    code = "queue_full"
    status = 429


class QueueTimeout(DispatchError):
    """No backend server was free before the queue timeout or the deadline."""

    code = "queue_timeout"
    status = 503


class PermitLapsed(DispatchError):
    """The permit is no longer valid; the request was not sent and may be retried."""

    code = "permit_lapsed"
    status = 503
