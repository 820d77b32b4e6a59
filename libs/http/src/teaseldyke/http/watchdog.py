"""Time limits and disconnects of many connections, watched by one task."""

from __future__ import annotations

import math
import select
from collections.abc import Callable
from typing import Self

import trio
from absl import logging

from .stream import Stream, close_now

SWEEP_INTERVAL_S = 0.25  # a limit or disconnect is seen at most this much late


class Watch:
    """Closes a connection when a wait on it outlasts its limit.

    A cancel scope would cost 13 us at each wait; this costs a comparison
    four times a second.

    Parameters
    ----------
    stream : Stream
        What is closed.

    Attributes
    ----------
    deadline_s : float
        On trio's clock; infinite while nothing is waited for.
    expired : bool
        Whether the connection has been closed.
    """

    __slots__ = ("deadline_s", "expired", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.deadline_s = math.inf
        self.expired = False

    def start(self) -> None:
        """Begin to enforce the deadline."""
        _sweeper().add(self)

    def stop(self) -> None:
        """End the watch."""
        _sweeper().watches.discard(self)


class DisconnectWatch:
    """Calls back when the other side of a connection ends it.

    A task that waits for it would cost 62 us at each request.

    Parameters
    ----------
    stream : Stream
        What is watched, from the start of the block to its end.
    callback : callable
        Called at most once, and not after the block.
    """

    __slots__ = ("callback", "stream")

    def __init__(self, stream: Stream, callback: Callable[[], None]) -> None:
        self.stream = stream
        self.callback = callback

    def __enter__(self) -> Self:
        _sweeper().add_disconnect(self)
        return self

    def __exit__(self, *_: object) -> None:
        _sweeper().disconnects.discard(self)


class _Sweeper:
    """The watches of one run of trio, and the task that looks at them."""

    def __init__(self) -> None:
        self.watches: set[Watch] = set()
        self.disconnects: set[DisconnectWatch] = set()
        self._running = False

    def add(self, watch: Watch) -> None:
        self.watches.add(watch)
        self._ensure_running()

    def add_disconnect(self, watch: DisconnectWatch) -> None:
        self.disconnects.add(watch)
        self._ensure_running()

    def _ensure_running(self) -> None:
        if self._running:
            return
        self._running = True
        trio.lowlevel.spawn_system_task(self._sweep)

    async def _sweep(self) -> None:
        while self.watches or self.disconnects:
            await trio.sleep(SWEEP_INTERVAL_S)
            try:
                self._close_expired(trio.current_time())
                self._report_disconnects()
            except Exception:  # out of a system task it would end the process
                logging.exception("event=connection_sweep_failed")
        self._running = False

    def _report_disconnects(self) -> None:
        poll = select.poll()
        watches = {}
        for watch in self.disconnects:
            number = watch.stream.socket.fileno()
            if number < 0:
                continue
            watches[number] = watch
            poll.register(number, select.POLLRDHUP)
        for number, _ in poll.poll(0):
            self.disconnects.discard(watches[number])
            watches[number].callback()

    def _close_expired(self, now_s: float) -> None:
        for watch in self.watches:
            if watch.deadline_s > now_s:
                continue
            watch.deadline_s = math.inf
            watch.expired = True
            close_now(watch.stream)


_SWEEPER: trio.lowlevel.RunVar[_Sweeper] = trio.lowlevel.RunVar("http_sweeper")


def _sweeper() -> _Sweeper:
    try:
        return _SWEEPER.get()
    except LookupError:
        sweeper = _Sweeper()
        _SWEEPER.set(sweeper)
        return sweeper
