"""A virtual clock for instances on loopback, seeded draws, and simulated signals."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import attrs
import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

from teaseldyke.timers import scheduler_passes

START_S = 1000.0  # of the clock of `boot_time_s`


@contextmanager
def virtual_time(seed: int) -> Iterator[MockClock]:
    """Yield a clock that jumps to the next deadline once all tasks are blocked.

    `boot_time_s` follows it, and the draws of the product and of trio's scheduler
    depend on the seed. Loopback delivers within the sender's call, so that no byte is
    on its way while all tasks are blocked.
    """
    clock = MockClock(autojump_threshold=0)

    def boot_time_s(_clock: int) -> float:
        return START_S + clock.current_time()

    jump = clock._autojump

    def jump_between_passes() -> None:
        # Else the jump would count as a long pass, in which requests lie unread.
        jump()
        scheduler_passes()._started_at_s = boot_time_s(0)

    drawn, scheduled = random.getstate(), trio_run._r.getstate()
    random.seed(seed)
    trio_run._r.seed(seed)
    try:
        with (
            mock.patch.object(clock, "_autojump", jump_between_passes),
            mock.patch.object(time, "clock_gettime", boot_time_s),
            mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        ):
            yield clock
    finally:
        random.setstate(drawn)
        trio_run._r.setstate(scheduled)


@attrs.define
class Signals:
    """Signals of the simulated instance; those of this process stay its own."""

    _sender: trio.MemorySendChannel[int] | None = None

    @contextmanager
    def open(self, *_numbers: int) -> Iterator[trio.MemoryReceiveChannel[int]]:
        """Yield signals, in place of `trio.open_signal_receiver`."""
        self._sender, receiver = trio.open_memory_channel[int](math.inf)
        try:
            with self._sender, receiver:
                yield receiver
        finally:
            self._sender = None

    def send(self, number: int) -> None:
        """Send a signal, unless the instance has ended."""
        if self._sender is not None:
            self._sender.send_nowait(number)
