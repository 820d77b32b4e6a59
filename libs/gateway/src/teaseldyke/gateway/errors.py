"""Errors with which the gateway itself ends a request."""

from __future__ import annotations

from teaseldyke.types import TeaseldykeError


class NotConfigured(TeaseldykeError):
    """No configuration has been received yet."""

    code = "not_configured"
    status = 503
    executed = "no"


class RouteUnknown(TeaseldykeError):
    """No route matches host and path."""

    code = "route_unknown"
    status = 404
    executed = "no"


class KeyUnknown(TeaseldykeError):
    """The route requires a known key and the request has none."""

    code = "key_unknown"
    status = 401
    executed = "no"


class Stopping(TeaseldykeError):
    """The instance stops before the answer could be complete."""

    code = "stopping"
    status = 503
    executed = "no"


class Overloaded(TeaseldykeError):
    """The request was not sent because it can't be served in time."""

    code = "overloaded"
    status = 503
    executed = "no"


class BodiesFull(Overloaded):
    """The bodies of other requests leave no memory for this one's."""

    code = "bodies_full"


class ServiceCrowded(Overloaded):
    """Requests to the same service leave no room at this instance for other callers."""

    code = "service_crowded"


class NoServer(TeaseldykeError):
    """No backend server accepted the request; none has run it."""

    code = "no_server"
    status = 503
    executed = "no"


class VersionGone(TeaseldykeError):
    """No server is left of the software version that began the stream.

    The caller can't resume it, but can begin it anew.
    """

    code = "version_gone"
    status = 503
    executed = "no"


class VersionUnknown(TeaseldykeError):
    """Nothing tells at which software version the stream to be resumed began.

    The caller can begin it anew.
    """

    code = "version_unknown"
    status = 503
    executed = "no"


class ServiceLeft(TeaseldykeError):
    """The route leads to no service that can go on with the stream to be resumed.

    The caller can begin it anew.
    """

    code = "service_left"
    status = 503
    executed = "no"


class ChoiceLapsed(TeaseldykeError):
    """The chosen server must not get the request any more; it is placed anew."""

    code = "choice_lapsed"
    status = 503
    executed = "no"


class PromptQuarantined(TeaseldykeError):
    """A part of the prompt has crashed engines, so no further one gets it.

    There is no time after which the same prompt would be served.
    """

    code = "prompt_quarantined"
    status = 503
    executed = "no"


class RequestHeld(TeaseldykeError):
    """The same request has crashed several servers, so no further one gets it.

    There is no time after which it would be served.
    """

    code = "request_held"
    status = 503
    executed = "no"


class ServerBroke(TeaseldykeError):
    """A backend server may have run the request, but its answer is incomplete."""

    code = "server_broke"
    status = 502


class TimedOut(TeaseldykeError):
    """A backend server may have run the request, but did not answer in time."""

    code = "timed_out"
    status = 504
