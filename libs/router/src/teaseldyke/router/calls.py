"""A caller's request, authenticated and validated for forwarding."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import trio

from teaseldyke.http import Request
from teaseldyke.telemetry import Span
from teaseldyke.types import Organisation, Service

from .authentication import OrganisationDirectory
from .costs import CostEstimate, estimate_of
from .errors import HeaderInvalid, ServiceUnknown

PATH_PREFIX = "/services/"
KEY_LIMIT_CHARACTERS = 255


@attrs.define
class Call:
    """A request of one organisation to one service.

    Parameters
    ----------
    request_id : str
        Sent to the caller in every response and to the backend server.
    organisation : Organisation
        Organisation of the caller.
    service : Service
        Requested service.
    method, target : str
        Request line for the backend server.
    headers : list of tuple of bytes
        Headers as received from the caller.
    body : bytes
        Complete request body.
    idempotent : bool
        Whether the request may be executed more than once.
    idempotency_key : str or None
        The caller's key for a non-idempotent request.
    deadline_at_s : float
        Time after which the request is no longer sent, on trio's clock.
    arrived_at_s : float
        Time of arrival, on trio's clock.
    estimate : CostEstimate
        Expected cost.
    span : Span or None
        Parent of the spans for queueing and sending.
    before_send : callable or None
        Called immediately before sending; raises if the durable record forbids it.

    Attributes
    ----------
    sends : int
        Attempts in which a byte of the request may have been sent.
    stream_id : str
        Request id of the stream at the backend server.
    """

    request_id: str
    organisation: Organisation
    service: Service
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    idempotent: bool
    idempotency_key: str | None
    deadline_at_s: float
    arrived_at_s: float
    estimate: CostEstimate
    span: Span | None = None
    before_send: Callable[[], None] | None = None
    sends: int = 0
    stream_id: str = ""


def split_target(target: str) -> tuple[str, str]:
    """Return the service name and the request target for its backend servers.

    Raises
    ------
    ServiceUnknown
        When the path does not start with ``/services/<service>``.

    Examples
    --------
    >>> split_target("/services/licensing/stations/9?unit=m")
    ('licensing', '/stations/9?unit=m')
    """
    if not target.startswith(PATH_PREFIX):
        raise ServiceUnknown(f"expected a path {PATH_PREFIX}<service>/<path>")
    name, slash, rest = target[len(PATH_PREFIX) :].partition("/")
    if not name or not slash:
        raise ServiceUnknown(f"expected a path {PATH_PREFIX}<service>/<path>")
    return name, f"/{rest}"


def deadline_of(request: Request, service: Service, now_s: float) -> float:
    """Return the deadline for sending a request, on trio's clock.

    The caller's ``Request-Timeout-S``, or else the service's queue timeout.

    Raises
    ------
    HeaderInvalid
        When ``Request-Timeout-S`` is not a number of seconds above 0.
    """
    stated = request.header("request-timeout-s")
    if stated is None:
        return now_s + service.queue_timeout_s
    try:
        timeout_s = float(stated)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s < math.inf:
        raise HeaderInvalid(
            f"Request-Timeout-S is {stated!r}; expected a number of seconds above 0"
        )
    return now_s + timeout_s


def idempotency_key_of(request: Request) -> str | None:
    """Return the caller's ``Idempotency-Key``, or ``None``.

    Raises
    ------
    HeaderInvalid
        When the key is empty or longer than 255 characters.
    """
    stated = request.header("idempotency-key")
    if stated is None:
        return None
    key = stated.strip().strip('"')
    if not key or len(key) > KEY_LIMIT_CHARACTERS:
        raise HeaderInvalid(
            f"Idempotency-Key has {len(key)} characters; expected 1 to "
            f"{KEY_LIMIT_CHARACTERS}"
        )
    return key


def has_idempotency_key(request: Request) -> bool:
    """Return whether the request carries a valid idempotency key.

    If so, an earlier request with the same key may have been executed.
    """
    try:
        return idempotency_key_of(request) is not None
    except HeaderInvalid:
        return False


async def read_call(
    request: Request, directory: OrganisationDirectory, body_limit_bytes: int
) -> Call:
    """Authenticate and validate a request, read its body and return it as a call."""
    now_s = trio.current_time()
    organisation = directory.organisation_of(request.header("authorization"))
    name, target = split_target(request.target)
    service = directory.service_for(organisation, name)
    deadline_at_s = deadline_of(request, service, now_s)
    path = target.partition("?")[0]
    idempotent = service.is_idempotent(request.method, path)
    key = None if idempotent else idempotency_key_of(request)
    body = await request.read_body(body_limit_bytes)
    return Call(
        request_id=request.id,
        organisation=organisation,
        service=service,
        method=request.method,
        target=target,
        headers=request.headers,
        body=body,
        idempotent=idempotent,
        idempotency_key=key,
        deadline_at_s=deadline_at_s,
        arrived_at_s=now_s,
        estimate=estimate_of(service, body),
    )
