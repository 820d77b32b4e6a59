"""Errors of HTTP exchanges with callers, backend servers and the platform."""

from __future__ import annotations

from teaseldyke.types import TeaseldykeError


class MalformedRequest(TeaseldykeError):
    """The caller's bytes are not an HTTP/1.1 request that can be served."""

    code = "malformed_request"
    status = 400
    executed = "no"


class TransferCodingUnsupported(TeaseldykeError):
    """The request body comes in a transfer coding other than ``chunked``."""

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
    """The process has as many requests at once as it can begin."""

    code = "busy"
    status = 503
    executed = "no"


class TooManyConnections(TeaseldykeError):
    """The server holds as many connections as it may."""

    code = "too_many_connections"
    status = 503
    executed = "no"


class CallerGone(TeaseldykeError):
    """The caller closed its connection or stopped reading the answer."""

    code = "caller_gone"
    status = 499
    executed = "unknown"


class ConnectFailed(TeaseldykeError):
    """No connection could be opened; nothing was sent."""

    code = "connect_failed"
    status = 502
    executed = "no"


class ExchangeBroken(TeaseldykeError):
    """The exchange failed after bytes of the request may have left."""

    code = "exchange_broken"
    status = 502
    executed = "unknown"


class AnswerBroken(ExchangeBroken):
    """The answer is truncated, malformed, or followed by extra bytes."""

    code = "answer_broken"


class CrossedAnswer(ExchangeBroken):
    """The answer carries the id of another request."""

    code = "crossed_answer"


class AnswerTimedOut(ExchangeBroken):
    """The answer did not start, or did not go on, in time."""

    code = "answer_timed_out"
    status = 504


class AnswerTooLarge(TeaseldykeError):
    """The answer's body exceeds the limit."""

    code = "answer_too_large"
    status = 502
    executed = "unknown"
