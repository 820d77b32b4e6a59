"""Keeps work that grows with the sheet off the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import trio

INLINE_ENTRIES = 200  # organisations; below that a thread costs more than the work

T = TypeVar("T")


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
    return await trio.to_thread.run_sync(function)
