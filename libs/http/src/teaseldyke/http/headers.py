"""Header lists: lookup, encoding, and removal of hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

MixedHeaders = Iterable[tuple[bytes | str, bytes | str]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def first_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, by its name in lower case.

    Examples
    --------
    >>> first_header([(b"host", b"a"), (b"accept", b"*/*")], b"accept")
    b'*/*'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that an intermediary forwards.

    Omits the hop-by-hop headers and those listed in ``Connection``. Names must be in
    lower case.

    Examples
    --------
    >>> end_to_end_headers([(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")])
    [(b'x-b', b'2')]
    """
    forwarded = [item for item in headers if item[0] not in HOP_BY_HOP]
    named: set[bytes] = set()
    for key, value in headers:
        if key != b"connection":
            continue
        named.update(token.strip().lower() for token in value.split(b","))
    named.discard(b"close")
    named.discard(b"keep-alive")
    if not named:
        return forwarded
    return [item for item in forwarded if item[0] not in named]


def encode_headers(headers: MixedHeaders) -> Headers:
    """Return headers encoded as bytes, with names in lower case.

    Examples
    --------
    >>> encode_headers([("Accept", "*/*")])
    [(b'accept', b'*/*')]
    """
    return [(_encode(key).lower(), _encode(value)) for key, value in headers]


def _encode(value: bytes | str) -> bytes:
    return value.encode("latin-1") if isinstance(value, str) else value
