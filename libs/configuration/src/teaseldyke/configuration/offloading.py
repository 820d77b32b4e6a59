"""Keeps work that grows with the sheet from holding up the event loop."""

from __future__ import annotations

import gc
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import trio

INLINE_ENTRIES = 200  # organisations; below that a thread costs more than the work
COLLECTOR_ENTRIES = 1000  # organisations; above that a full collection is felt

T = TypeVar("T")

_lock = threading.Lock()
_paused = 0


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
    if entries < COLLECTOR_ENTRIES:
        return await trio.to_thread.run_sync(function)
    return await trio.to_thread.run_sync(_run_without_collector, function)


@contextmanager
def collector_paused() -> Iterator[None]:
    """Keep a large configuration out of the garbage collector's full passes.

    A full pass over 18,000 organisations stops every thread for some 45 ms. The data
    hold no cycles and are freed by their reference counts, so that the collector is
    paused while they are made, and told to pass over them afterwards. Cycles that are
    garbage at that moment are not freed; whole sheets come a few times a day.
    """
    global _paused
    with _lock:
        _paused += 1
        gc.disable()
    try:
        yield
    finally:
        with _lock:
            _paused -= 1
            if not _paused:
                gc.freeze()
                gc.enable()


def _run_without_collector(function: Callable[[], T]) -> T:
    with collector_paused():
        return function()
