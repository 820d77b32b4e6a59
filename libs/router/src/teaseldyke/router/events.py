"""Whole server-sent events out of the chunks of a stream."""

from __future__ import annotations

import attrs

from teaseldyke.types import TeaseldykeError

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"
EVENT_LIMIT_BYTES = 1024 * 1024


class EventTooLong(TeaseldykeError):
    """A single event of a stream exceeds its limit."""

    code = "event_too_long"
    status = 502


@attrs.define
class EventSplitter:
    r"""Passes on whole events only, so that a broken stream can resume between two.

    Attributes
    ----------
    passed : int
        Events given back so far.
    done : bool
        Whether the last event of the stream has passed.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\n\ndata: 2")
    b'data: 1\n\n'
    >>> splitter.passed
    1
    """

    passed: int = 0
    done: bool = False
    _rest: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that are complete with this chunk.

        Raises
        ------
        EventTooLong
            When a single event is longer than `EVENT_LIMIT_BYTES`.
        """
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > EVENT_LIMIT_BYTES:
                raise EventTooLong(f"an event exceeds {EVENT_LIMIT_BYTES} bytes")
            self._rest = data
            return b""
        cut = end + len(EVENT_END)
        whole = data[:cut]
        self._rest = data[cut:]
        self.passed += whole.count(EVENT_END)
        if LAST_EVENT in whole[-64:]:
            self.done = True
        return whole

    def restart(self) -> None:
        """Forget a half event; the stream resumes after the last whole one."""
        self._rest = b""
