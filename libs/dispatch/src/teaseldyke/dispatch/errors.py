"""Errors of the dispatch library; none of them means that anything was sent."""

from __future__ import annotations

from typing import ClassVar

from teaseldyke.types import Executed, TeaseldykeError


class DispatchError(TeaseldykeError):
    """Base of the errors raised before a request was sent."""

    code: ClassVar[str] = "dispatch_refused"
    status: ClassVar[int] = 503
    executed: Executed = "no"


class NotReady(DispatchError):
    """No configuration is in force yet."""

    code = "not_ready"


class ServiceUnknown(DispatchError):
    """The configuration does not know the service."""

    code = "service_unknown"
    status = 404


class OrganisationRefused(DispatchError):
    """The organisation is unknown or disabled."""

    code = "organisation_refused"
    status = 403


class QueueFull(DispatchError):
    """As many requests of the organisation wait as the queue holds."""

    code = "queue_full"
    status = 429


class QueueTimeout(DispatchError):
    """No backend server was free in time."""

    code = "queue_timeout"
    status = 503


class PermitLapsed(DispatchError):
    """The permit may not be used any more; nothing was sent, acquire anew."""

    code = "permit_lapsed"
    status = 503
