"""What makes a request that comes again the same request."""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

import attrs

DIGEST_BYTES = 16  # nobody finds a second request with the digest of another
CALLER_MAX_BYTES = 64  # key of the digest
# Not part of any prompt part's key, so that both can be told apart.
MARK = ":"


@attrs.define(eq=False)
class RequestIdentity:
    """Caller, method, host, target and body of a request.

    Headers don't belong to it: callers vary them from one attempt to the next.

    Parameters
    ----------
    organisation : str
        Organisation of the caller; empty without one.
    method, host, target : str
        As sent, the target with its query.
    body : bytes
        Complete body.

    Examples
    --------
    >>> first = RequestIdentity("parish-9", "POST", "a.example", "/x/1", b"")
    >>> again = RequestIdentity("parish-9", "POST", "a.example", "/x/1", b"")
    >>> other = RequestIdentity("parish-8", "POST", "a.example", "/x/1", b"")
    >>> first.key == again.key, first.key == other.key
    (True, False)
    """

    organisation: str
    method: str
    host: str
    target: str
    body: bytes
    _origin: str = attrs.field(default="", init=False)
    _key: str = attrs.field(default="", init=False)

    @property
    def origin(self) -> str:
        """Short hash of caller and target, which is computed without the body."""
        if not self._origin:
            number = crc32(f"{self.organisation}\n{self.target}".encode())
            self._origin = f"{number:08x}"
        return self._origin

    @property
    def key(self) -> str:
        """Key of the request: its origin and a digest, keyed by the caller."""
        if not self._key:
            self._key = f"{MARK}{self.origin}{self._digest()}"
        return self._key

    def _digest(self) -> str:
        caller = self.organisation.encode()
        if len(caller) > CALLER_MAX_BYTES:
            caller = blake2b(caller, digest_size=CALLER_MAX_BYTES).digest()
        digest = blake2b(digest_size=DIGEST_BYTES, key=caller)
        for text in (self.method, self.host, self.target):
            field = text.encode()
            digest.update(len(field).to_bytes(8, "big"))
            digest.update(field)
        digest.update(self.body)
        return digest.hexdigest()


def origin_of(key: str) -> str:
    """Return the origin of a request's key.

    Examples
    --------
    >>> request = RequestIdentity("parish-9", "GET", "a.example", "/x/1", b"")
    >>> origin_of(request.key) == request.origin
    True
    """
    return key[len(MARK) : len(MARK) + 8]
