"""HTTP server, client and connection pool of the routers."""

from __future__ import annotations

from .admission import Admission
from .backend import BackendPool
from .caller_account import CallerAccount, Holding, HoldingState, Scarcity
from .client import HttpClient, Response
from .errors import (
    AnswerBroken,
    AnswerTimedOut,
    AnswerTooLarge,
    BodyTooLarge,
    CallerGone,
    CallerTooSlow,
    ConnectFailed,
    CrossedAnswer,
    ExchangeBroken,
    HeaderTooLarge,
    MalformedRequest,
    RequestTimedOut,
    TooManyConnections,
    TransferCodingUnsupported,
)
from .exchange import Exchange, OutgoingRequest, ServerConnection
from .headers import end_to_end_headers, first_header
from .limits import ServerLimits
from .problem import problem_response
from .request import Request
from .server import serve
from .stream import Stream, refuses_connections

__all__ = [
    "Admission",
    "AnswerBroken",
    "AnswerTimedOut",
    "AnswerTooLarge",
    "BackendPool",
    "BodyTooLarge",
    "CallerGone",
    "CallerAccount",
    "CallerTooSlow",
    "ConnectFailed",
    "CrossedAnswer",
    "Exchange",
    "ExchangeBroken",
    "HeaderTooLarge",
    "Holding",
    "HoldingState",
    "HttpClient",
    "MalformedRequest",
    "OutgoingRequest",
    "Request",
    "RequestTimedOut",
    "Response",
    "Scarcity",
    "ServerConnection",
    "ServerLimits",
    "Stream",
    "TooManyConnections",
    "TransferCodingUnsupported",
    "end_to_end_headers",
    "first_header",
    "problem_response",
    "refuses_connections",
    "serve",
]
