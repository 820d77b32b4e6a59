"""Reasons for which a gateway itself ends a request."""

from __future__ import annotations

from teaseldyke.types import TeaseldykeError


class NotConfigured(TeaseldykeError):
    """No configuration has arrived yet."""

    code = "not_configured"
    status = 503
    executed = "no"


class RouteUnknown(TeaseldykeError):
    """No route matches host and path."""

    code = "route_unknown"
    status = 404
    executed = "no"


class KeyUnknown(TeaseldykeError):
    """The route needs a key and the request has none that is known."""

    code = "key_unknown"
    status = 401
    executed = "no"


class Stopping(TeaseldykeError):
    """The instance stops before the answer could be whole."""

    code = "stopping"
    status = 503
    executed = "no"


class Overloaded(TeaseldykeError):
    """The request can't be served in time and was not sent."""

    code = "overloaded"
    status = 503
    executed = "no"


class NoServer(TeaseldykeError):
    """No backend server took the request; none has run it."""

    code = "no_server"
    status = 503
    executed = "no"


class ServerBroke(TeaseldykeError):
    """A backend server may have run the request and gave no whole answer."""

    code = "server_broke"
    status = 502


class TimedOut(TeaseldykeError):
    """A backend server may have run the request and gave no answer in time."""

    code = "timed_out"
    status = 504
