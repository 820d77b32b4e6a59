"""Runs work on large sheets in threads, so that it does not block the event loop."""

from __future__ import annotations

import gc
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import trio

THREAD_MIN_ENTRIES = 200  # organisations; below it a thread costs more than the work
LARGE_MIN_ENTRIES = 1000  # organisations; a full collection then pauses noticeably
LARGE_SWITCH_INTERVAL_S = 0.0005  # longest wait of the event loop for the GIL

T = TypeVar("T")

_lock = threading.Lock()
_running = 0
_default_interval_s = 0.005


async def run_off_loop(entries: int, function: Callable[[], T]) -> T:
    """Call a function, in a worker thread if it processes many organisations.

    Parameters
    ----------
    entries : int
        Number of organisations that the function processes.
    function : callable
        Must not hold the GIL for more than a few milliseconds at a time.
    """
    if entries < THREAD_MIN_ENTRIES:
        return function()
    if entries < LARGE_MIN_ENTRIES:
        return await trio.to_thread.run_sync(function)
    return await trio.to_thread.run_sync(_run_large, function)


@contextmanager
def large_sheet_work() -> Iterator[None]:
    """Keep the event loop responsive while a thread works on a large sheet.

    The loop waits for the GIL several times in each request, each time for up to the
    switch interval, which is therefore reduced. A full garbage collection over 18,000
    organisations stops every thread for some 45 ms. Organisations contain no reference
    cycles and are freed by reference counting, so the collector is disabled while they
    are created, and they are frozen (``gc.freeze``) afterwards. Garbage cycles that
    exist at that moment are never freed, which is acceptable since whole sheets are
    loaded only a few times a day.
    """
    global _running, _default_interval_s
    with _lock:
        if not _running:
            _default_interval_s = sys.getswitchinterval()
        _running += 1
        gc.disable()
        sys.setswitchinterval(LARGE_SWITCH_INTERVAL_S)
    try:
        yield
    finally:
        with _lock:
            _running -= 1
            if not _running:
                sys.setswitchinterval(_default_interval_s)
                gc.freeze()
                gc.enable()


def _run_large(function: Callable[[], T]) -> T:
    with large_sheet_work():
        return function()
