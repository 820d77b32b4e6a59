"""A timer service that parts of a process subscribe to."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import trio


@attrs.define(eq=False)
class Timers:
    """Runs subscribed callbacks at their interval, on trio's clock.

    Parameters
    ----------
    nursery : trio.Nursery
        Where the subscriptions run; they end with it.

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
        """Call back every ``interval_s`` seconds until the returned scope is cancelled.

        A callback that outlasts its interval delays the next call; calls are never
        run side by side and missed ones are not made up for.
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
