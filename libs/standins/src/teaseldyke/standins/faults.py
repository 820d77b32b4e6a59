"""Faults that a stand-in backend server injects into its answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import attrs

from teaseldyke.http import Stream
from teaseldyke.types import TeaseldykeError

ALL_REQUESTS = -1


@attrs.define
class AnswerFaults:
    """Faults to inject into the next answers.

    Parameters
    ----------
    late_s : float
        Time between the end of the execution and the first byte of the answer.
    crossed : bool
        Whether the answer carries a wrong request id.
    truncate : bool
        Whether the connection is reset halfway through the answer.
    lose : bool
        Whether the connection is reset after the execution, before the answer.
    extra_bytes : int
        Surplus bytes sent after the end of the answer.
    oversize_bytes : int
        Padding bytes added to the body.
    refuse : int
        Status with which requests are refused before execution; 0 for none.
    requests : int
        Number of requests that the faults still apply to, or `ALL_REQUESTS`.
    """

    late_s: float = 0.0
    crossed: bool = False
    truncate: bool = False
    lose: bool = False
    extra_bytes: int = 0
    oversize_bytes: int = 0
    refuse: int = 0
    requests: int = ALL_REQUESTS

    def take(self) -> AnswerFaults:
        """Return the faults to apply to one request, and count it."""
        if self.requests == ALL_REQUESTS:
            return attrs.evolve(self)
        if self.requests == 0:
            return AnswerFaults()
        self.requests -= 1
        return attrs.evolve(self)


class RefusedOnOrder(TeaseldykeError):
    """The stand-in refused the request as its faults demand; it was not executed."""

    code = "refused_on_order"
    executed = "no"

    def __init__(self, status: int) -> None:
        super().__init__("refused as told by PUT /standin/faults", retry_after_s=1.0)
        self.status = status  # type: ignore[misc]


@attrs.define
class ExtraBytes:
    """Surplus bytes to append to the next write of any connection of the process."""

    pending: bytes = b""

    def take(self) -> bytes:
        """Return the pending bytes and clear them."""
        pending = self.pending
        self.pending = b""
        return pending


class _ExtraBytesStream:
    """A connection that appends pending extra bytes to its next write."""

    def __init__(self, stream: Stream, extra: ExtraBytes) -> None:
        self._stream = stream
        self._extra = extra

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    async def send_all(self, data: bytes) -> None:
        """Send the data, followed by the pending extra bytes."""
        await self._stream.send_all(data + self._extra.take())


def extra_bytes_wrapper(extra: ExtraBytes) -> Callable[[Stream], Stream]:
    """Return a wrapper of connections that appends pending extra bytes to writes."""

    def wrap(stream: Stream) -> Stream:
        # The cast is safe: other attributes are forwarded to the wrapped stream.
        return cast(Stream, _ExtraBytesStream(stream, extra))

    return wrap
