"""Faults in the answers of a backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import attrs

from teaseldyke.http import Stream
from teaseldyke.types import TeaseldykeError

EVERY_REQUEST = -1


@attrs.define
class AnswerFaults:
    """What is wrong with the next answers.

    Parameters
    ----------
    late_s : float
        Time between the end of the work and the first byte of the answer.
    crossed : bool
        Whether the answer carries the id of another request.
    truncate : bool
        Whether the connection is reset in the middle of the answer.
    lose : bool
        Whether the connection is reset after the work, before the answer.
    extra_bytes : int
        Bytes sent after the end of the answer.
    oversize_bytes : int
        Bytes added to the body.
    refuse : int
        Status of a refusal before any work; 0 for none.
    requests : int
        Requests that the faults apply to, or `EVERY_REQUEST`.
    """

    late_s: float = 0.0
    crossed: bool = False
    truncate: bool = False
    lose: bool = False
    extra_bytes: int = 0
    oversize_bytes: int = 0
    refuse: int = 0
    requests: int = EVERY_REQUEST

    def take(self) -> AnswerFaults:
        """Return the faults of one request and count it."""
        if self.requests == EVERY_REQUEST:
            return attrs.evolve(self)
        if self.requests == 0:
            return AnswerFaults()
        self.requests -= 1
        return attrs.evolve(self)


class RefusedOnOrder(TeaseldykeError):
    """The stand-in was told to refuse the request; nothing was executed."""

    code = "refused_on_order"
    executed = "no"

    def __init__(self, status: int) -> None:
        super().__init__("refused as told by PUT /standin/faults", retry_after_s=1.0)
        self.status = status  # type: ignore[misc]


@attrs.define
class ExtraBytes:
    """Bytes to send after the next write of any connection of the process."""

    pending: bytes = b""

    def take(self) -> bytes:
        """Return the bytes, once."""
        pending = self.pending
        self.pending = b""
        return pending


class _TamperedStream:
    """A connection whose writes get extra bytes when told so."""

    def __init__(self, stream: Stream, extra: ExtraBytes) -> None:
        self._stream = stream
        self._extra = extra

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    async def send_all(self, data: bytes) -> None:
        """Send the data and the extra bytes that are pending."""
        await self._stream.send_all(data + self._extra.take())


def tampering(extra: ExtraBytes) -> Callable[[Stream], Stream]:
    """Return what makes connections send extra bytes when told so."""

    def wrap(stream: Stream) -> Stream:
        # A server uses only what is passed on here.
        return cast(Stream, _TamperedStream(stream, extra))

    return wrap
