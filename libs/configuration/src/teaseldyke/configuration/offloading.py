"""Keeps work that grows with the sheet from holding up the event loop."""

from __future__ import annotations

import gc
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import trio

INLINE_ENTRIES = 200  # organisations; below that a thread costs more than the work
LARGE_ENTRIES = 1000  # organisations; above that a full collection is felt
LARGE_SWITCH_INTERVAL_S = 0.0005  # for which the event loop waits for the interpreter

T = TypeVar("T")

_lock = threading.Lock()
_running = 0
_usual_interval_s = 0.005


async def run_off_loop(entries: int, function: Callable[[], T]) -> T:
    """Return what the function returns, from a worker thread if there is much to do.

    Parameters
    ----------
    entries : int
        Organisations that the function handles.
    function : callable
        May hold the interpreter for a few milliseconds at a time at most.
    """
    if entries < INLINE_ENTRIES:
        return function()
    if entries < LARGE_ENTRIES:
        return await trio.to_thread.run_sync(function)
    return await trio.to_thread.run_sync(_run_large, function)


@contextmanager
def large_work() -> Iterator[None]:
    """Keep the event loop responsive while a thread works on a large sheet.

    The loop waits for the interpreter several times in each request, each time for up
    to the switch interval, which is therefore made short. A full pass of the garbage
    collector over 18,000 organisations stops every thread for some 45 ms. They hold no
    cycles and are freed by their reference counts, so the collector is paused while
    they are made, and passes over them afterwards. Cycles that are garbage at that
    moment are not freed; whole sheets come a few times a day.
    """
    global _running, _usual_interval_s
    with _lock:
        if not _running:
            _usual_interval_s = sys.getswitchinterval()
        _running += 1
        gc.disable()
        sys.setswitchinterval(LARGE_SWITCH_INTERVAL_S)
    try:
        yield
    finally:
        with _lock:
            _running -= 1
            if not _running:
                sys.setswitchinterval(_usual_interval_s)
                gc.freeze()
                gc.enable()


def _run_large(function: Callable[[], T]) -> T:
    with large_work():
        return function()
