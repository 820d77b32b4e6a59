"""Periodic callbacks on trio's clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import trio


@attrs.define(eq=False)
class Timers:
    """Calls each registered callback periodically, on trio's clock.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the callbacks; they end when it is cancelled.

    Examples
    --------
    >>> async def main():
    ...     ticks = []
    ...     async def tick():
    ...         ticks.append(trio.current_time())
    ...     async with trio.open_nursery() as nursery:
    ...         Timers(nursery).every(0.001, tick)
    ...         while len(ticks) < 2:
    ...             await trio.sleep(0.001)
    ...         nursery.cancel_scope.cancel()
    ...     return len(ticks) >= 2
    >>> trio.run(main)
    True
    """

    nursery: trio.Nursery

    def every(
        self,
        interval_s: float,
        callback: Callable[[], Awaitable[object]],
        *,
        first_after_s: float | None = None,
    ) -> trio.CancelScope:
        """Call ``callback`` every ``interval_s`` until the returned scope is cancelled.

        A callback that takes longer than its interval delays the next call; calls
        never overlap, and missed calls are skipped.
        """
        scope = trio.CancelScope()
        first_s = interval_s if first_after_s is None else first_after_s
        self.nursery.start_soon(self._repeat, scope, interval_s, first_s, callback)
        return scope

    async def _repeat(
        self,
        scope: trio.CancelScope,
        interval_s: float,
        first_s: float,
        callback: Callable[[], Awaitable[object]],
    ) -> None:
        with scope:
            await trio.sleep(first_s)
            while True:
                started_at_s = trio.current_time()
                await callback()
                elapsed_s = trio.current_time() - started_at_s
                await trio.sleep(max(0.0, interval_s - elapsed_s))
