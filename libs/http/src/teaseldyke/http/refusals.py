"""Encoded responses to requests that a server refuses unread or cuts short.

Load pattern: an overloaded server refuses many requests, which must not take up the
time that it has for others.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable

import attrs
import h11

from teaseldyke.types import TeaseldykeError

from .errors import Busy
from .headers import Headers

ErrorRenderer = Callable[[TeaseldykeError], tuple[int, Headers, bytes]]

# Range of the jitter; short, since another instance may have capacity.
BUSY_RETRY_AFTER_S = (0.05, 0.15)
# Encoded responses with different delays; encoding one costs more than sending it.
RESPONSES = 16
END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n", re.IGNORECASE
)
BODY_HEADER = re.compile(rb"\r\n(content-length|transfer-encoding):", re.IGNORECASE)


@attrs.define
class EncodedRefusals:
    """Encodes a few responses to each kind of refusal, with drawn delays, once.

    Parameters
    ----------
    render_error : callable
        Returns status, headers and body of the response to an error.
    """

    render_error: ErrorRenderer
    _responses: dict[Callable[[], TeaseldykeError], list[bytes]] = attrs.field(
        factory=dict, init=False
    )

    def of(self, make_error: Callable[[], TeaseldykeError]) -> bytes:
        """Return one of the encoded responses to the errors that a function makes."""
        responses = self._responses.setdefault(make_error, [])
        while len(responses) < RESPONSES:
            status, headers, body = self.render_error(make_error())
            parser = h11.Connection(h11.SERVER)
            responses.append(encode_error(parser, status, headers, body))
        return random.choice(responses)


def busy_error() -> Busy:
    """Return the error of a request that an overloaded process refuses unread."""
    return Busy(
        "instance is overloaded: more requests arrive than it can admit",
        retry_after_s=random.uniform(*BUSY_RETRY_AFTER_S),
    )


def is_whole_request(received: bytes) -> bool:
    r"""Return whether received bytes hold a head and all of the body that it states.

    Examples
    --------
    >>> is_whole_request(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nok")
    True
    >>> is_whole_request(b"POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nok")
    False
    >>> is_whole_request(b"GET / HTTP/1.1\r\nhost: a\r\n")
    False
    """
    end = received.find(END_OF_HEAD)
    if end < 0:
        return False
    head = received[: end + 2]
    stated = BODY_HEADER.findall(head)
    length = CONTENT_LENGTH.search(head)
    if len(stated) != (length is not None):
        return False
    body_bytes = int(length.group(1)) if length is not None else 0
    return len(received) == end + len(END_OF_HEAD) + body_bytes


def encode_error(
    parser: h11.Connection, status: int, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of an error response that ends its connection."""
    fields = [
        *headers,
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    data = parser.send(h11.Response(status_code=status, headers=fields))
    data = (data or b"") + (parser.send(h11.Data(data=body)) or b"")
    return data + (parser.send(h11.EndOfMessage()) or b"")
