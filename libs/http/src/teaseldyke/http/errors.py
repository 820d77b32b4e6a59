"""Errors of HTTP exchanges with callers, backend servers and the platform."""

from __future__ import annotations

import random

from teaseldyke.types import TeaseldykeError

# Range of the jitter; memory is freed as slow requests are closed or end.
MEMORY_RETRY_AFTER_S = (0.5, 1.5)
CONNECTIONS_RETRY_AFTER_S = 1.0


class MalformedRequest(TeaseldykeError):
    """The request is not valid or not supported HTTP/1.1."""

    code = "malformed_request"
    status = 400
    executed = "no"


class TransferCodingUnsupported(TeaseldykeError):
    """The request body uses a transfer coding other than ``chunked``."""

    code = "transfer_coding_unsupported"
    status = 501
    executed = "no"


class HeaderTooLarge(TeaseldykeError):
    """The request line and header exceed the limit."""

    code = "header_too_large"
    status = 431
    executed = "no"


class BodyTooLarge(TeaseldykeError):
    """The request body exceeds the limit."""

    code = "body_too_large"
    status = 413
    executed = "no"


class RequestTimedOut(TeaseldykeError):
    """The caller did not send its whole request in time."""

    code = "request_timed_out"
    status = 408
    executed = "no"


class Busy(TeaseldykeError):
    """The process sheds load: more requests arrive than it can admit."""

    code = "busy"
    status = 503
    executed = "no"


class CallerMemoryFull(TeaseldykeError):
    """What is held for callers leaves no memory for the request or connection."""

    code = "caller_memory_full"
    status = 503
    executed = "no"


def memory_full_error() -> CallerMemoryFull:
    """Return the error of a request or connection that there is no memory for."""
    return CallerMemoryFull(
        "requests of other callers leave no memory for this one",
        retry_after_s=random.uniform(*MEMORY_RETRY_AFTER_S),
    )


class TooManyConnections(TeaseldykeError):
    """The server has reached its limit of open connections."""

    code = "too_many_connections"
    status = 503
    executed = "no"


def connections_full_error() -> TooManyConnections:
    """Return the error of a connection that there is no room for."""
    return TooManyConnections(
        "server is at its limit of connections",
        retry_after_s=CONNECTIONS_RETRY_AFTER_S,
    )


class CallerGone(TeaseldykeError):
    """The caller closed its connection or stopped reading the response."""

    code = "caller_gone"
    status = 499
    executed = "unknown"


class CallerTooSlow(CallerGone):
    """The caller did not read the response in time."""

    code = "caller_too_slow"


class ConnectFailed(TeaseldykeError):
    """No connection could be opened; nothing was sent."""

    code = "connect_failed"
    status = 502
    executed = "no"


class ExchangeBroken(TeaseldykeError):
    """The exchange failed after bytes of the request may have been sent."""

    code = "exchange_broken"
    status = 502
    executed = "unknown"


class AnswerBroken(ExchangeBroken):
    """The response is truncated, malformed, or followed by extra bytes."""

    code = "answer_broken"


class CrossedAnswer(ExchangeBroken):
    """The response carries the id of another request."""

    code = "crossed_answer"


class AnswerTimedOut(ExchangeBroken):
    """The response did not start, or did not continue, in time."""

    code = "answer_timed_out"
    status = 504


class AnswerTooLarge(TeaseldykeError):
    """The response body exceeds the limit."""

    code = "answer_too_large"
    status = 502
    executed = "unknown"
