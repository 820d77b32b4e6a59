"""Fingerprint of a request, to distinguish a repeated request from a reused key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

FINGERPRINT_BYTES = 16
SIGNIFICANT_HEADERS = (b"accept", b"content-encoding", b"content-type")


def fingerprint_of(
    method: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    *,
    service: str = "",
) -> str:
    """Return a digest that is equal for repetitions of a request only.

    Parameters
    ----------
    method, target : str
        As sent to the backend server.
    headers : iterable of tuple of bytes
        Names and values. Only `SIGNIFICANT_HEADERS` are included, which change the
        meaning of the body or the form of the answer; other headers may differ
        between a request and its repetition.
    body : bytes
        Complete body.
    service : str
        Service that the request is for.

    Returns
    -------
    str
        Hexadecimal digest of `FINGERPRINT_BYTES` bytes.

    Examples
    --------
    >>> first = fingerprint_of("POST", "/grants", [(b"Date", b"1")], b"{}")
    >>> again = fingerprint_of("POST", "/grants", [(b"Date", b"2")], b"{}")
    >>> other = fingerprint_of("POST", "/grants", [(b"Date", b"2")], b"[]")
    >>> first == again, first == other
    (True, False)
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = [service.encode(), method.encode(), target.encode()]
    for name, value in sorted((name.lower(), value) for name, value in headers):
        if name not in SIGNIFICANT_HEADERS:
            continue
        parts += [name, value]
    parts.append(body)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
