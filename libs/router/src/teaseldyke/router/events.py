"""Splits a stream into complete server-sent events."""

from __future__ import annotations

import attrs

from teaseldyke.types import TeaseldykeError

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"
EVENT_LIMIT_BYTES = 1024 * 1024


class EventTooLong(TeaseldykeError):
    """A single event of a stream exceeds `EVENT_LIMIT_BYTES`."""

    code = "event_too_long"
    status = 502


@attrs.define
class EventSplitter:
    r"""Returns complete events only, so that a broken stream can resume after one.

    Attributes
    ----------
    event_count : int
        Complete events returned so far.
    done : bool
        Whether the last event of the stream was returned.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\n\ndata: 2")
    b'data: 1\n\n'
    >>> splitter.event_count
    1
    """

    event_count: int = 0
    done: bool = False
    _partial: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are complete with this chunk.

        Raises
        ------
        EventTooLong
            When a single event is longer than `EVENT_LIMIT_BYTES`.
        """
        data = self._partial + chunk if self._partial else chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > EVENT_LIMIT_BYTES:
                raise EventTooLong(f"an event exceeds {EVENT_LIMIT_BYTES} bytes")
            self._partial = data
            return b""
        events_end = end + len(EVENT_END)
        complete = data[:events_end]
        self._partial = data[events_end:]
        self.event_count += complete.count(EVENT_END)
        if LAST_EVENT in complete[-64:]:
            self.done = True
        return complete

    def discard_partial(self) -> None:
        """Discard an incomplete event; the stream resumes after the last complete."""
        self._partial = b""
