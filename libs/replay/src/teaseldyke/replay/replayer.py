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
    """Sends each entry of a trace at its time, independently of earlier responses.

    Parameters
    ----------
    routers : list of Address
        Addresses at which the routers serve callers.
    keys : dict of str to str
        API key of each organisation.
    switch_client : SwitchClient, optional
        Sends the operators' orders; required if the trace contains any.
    speed : float
        Replay speed, as a multiple of real time.
    retries : int
        Number of retries of a request without success.
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
        """Replay a trace and return the results once the last request has ended."""
        started_at_s = trio.current_time()
        callers = Callers(self.routers, self.keys, self.retries, started_at_s)
        slots = trio.CapacityLimiter(OPEN_REQUESTS_MAX)
        async with trio.open_nursery() as progress_nursery:
            if self.progress:
                progress_nursery.start_soon(
                    self._print_progress, len(entries), started_at_s
                )
            async with trio.open_nursery() as nursery:
                for number, entry in enumerate(entries):
                    await trio.sleep_until(started_at_s + entry.at_s / self.speed)
                    if isinstance(entry, SwitchOrder):
                        nursery.start_soon(self._switch, entry)
                        continue
                    nursery.start_soon(self._call, callers, slots, entry, number)
            progress_nursery.cancel_scope.cancel()
        callers.pool.close_idle()
        return self.results

    async def _call(
        self,
        callers: Callers,
        slots: trio.CapacityLimiter,
        arrival: Arrival,
        number: int,
    ) -> None:
        async with slots:
            self._open += 1
            try:
                self.results.append(await callers.call(arrival, number))
            finally:
                self._open -= 1

    async def _switch(self, order: SwitchOrder) -> None:
        if self.switch_client is None:
            raise ValueError(
                "the trace contains switch orders, which need --administration"
            )
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
