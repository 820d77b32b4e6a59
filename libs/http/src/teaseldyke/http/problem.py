"""Error responses as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import json
import math

from teaseldyke.types import TeaseldykeError

from .headers import Headers

PROBLEM_TYPE_PREFIX = "urn:teaseldyke:problem:"
REQUEST_ID_HEADER = b"teaseldyke-request-id"


def problem_response(
    error: TeaseldykeError, request_id: str = ""
) -> tuple[int, Headers, bytes]:
    """Return the status, headers and body that report an error.

    Parameters
    ----------
    error : TeaseldykeError
        Reported by its code, status, detail, executed and ``retry_after_s``.
    request_id : str
        Sent as ``Teaseldyke-Request-Id`` unless empty.

    Examples
    --------
    >>> status, headers, body = problem_response(TeaseldykeError("broke"), "r1")
    >>> status, headers[-1]
    (500, (b'teaseldyke-request-id', b'r1'))
    """
    value = {
        "type": PROBLEM_TYPE_PREFIX + error.code,
        "title": error.code.replace("_", " ").capitalize(),
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
        "executed": error.executed,
    }
    body = json.dumps(value).encode()
    headers = [(b"content-type", b"application/problem+json")]
    if error.retry_after_s is not None:
        retry_after_s = max(1, math.ceil(error.retry_after_s))
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id.encode()))
    return error.status, headers, body
