"""Replays a trace against running routers."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import attrs
import trio

from teaseldyke.settings import Address

from .caller import Callers
from .results import CallResult
from .switching import SwitchClient
from .trace import Arrival, Entry, SwitchOrder

PROGRESS_INTERVAL_S = 2.0
OPEN_REQUESTS_MAX = 4096


@attrs.define
class Replayer:
    """Sends each entry of a trace at its time, whether or not earlier ones ended.

    Parameters
    ----------
    routers : list of Address
        Callers' addresses of the routers.
    keys : dict of str to str
        Key of each organisation.
    switch_client : SwitchClient, optional
        Carries out operators' orders; needed if the trace holds any.
    speed : float
        Seconds of the trace that pass in one second.
    retries : int
        Further attempts of a caller without success.
    progress : bool
        Whether progress is printed to standard error.
    """

    routers: list[Address]
    keys: dict[str, str]
    switch_client: SwitchClient | None = None
    speed: float = 1.0
    retries: int = 0
    progress: bool = False
    results: list[CallResult] = attrs.field(factory=list, init=False)
    _open: int = attrs.field(default=0, init=False)

    async def run(self, entries: Sequence[Entry]) -> list[CallResult]:
        """Replay a trace and return the results when the last request has ended."""
        started_at_s = trio.current_time()
        callers = Callers(self.routers, self.keys, self.retries, started_at_s)
        places = trio.CapacityLimiter(OPEN_REQUESTS_MAX)
        async with trio.open_nursery() as watch:
            if self.progress:
                watch.start_soon(self._print_progress, len(entries), started_at_s)
            async with trio.open_nursery() as nursery:
                for number, entry in enumerate(entries):
                    await trio.sleep_until(started_at_s + entry.at_s / self.speed)
                    if isinstance(entry, SwitchOrder):
                        nursery.start_soon(self._switch, entry)
                        continue
                    nursery.start_soon(self._call, callers, places, entry, number)
            watch.cancel_scope.cancel()
        callers.pool.close_idle()
        return self.results

    async def _call(
        self,
        callers: Callers,
        places: trio.CapacityLimiter,
        arrival: Arrival,
        number: int,
    ) -> None:
        async with places:
            self._open += 1
            try:
                self.results.append(await callers.call(arrival, number))
            finally:
                self._open -= 1

    async def _switch(self, order: SwitchOrder) -> None:
        if self.switch_client is None:
            raise ValueError("the trace holds switches; name --administration")
        await self.switch_client.switch(order)

    async def _print_progress(self, entries: int, started_at_s: float) -> None:
        while True:
            await trio.sleep(PROGRESS_INTERVAL_S)
            answered = sum(result.answered for result in self.results)
            print(
                f"{trio.current_time() - started_at_s:6.1f} s  "
                f"{len(self.results)} of {entries} ended, {answered} answered, "
                f"{self._open} open",
                file=sys.stderr,
            )
