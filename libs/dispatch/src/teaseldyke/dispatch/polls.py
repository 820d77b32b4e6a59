"""Load polling of backend servers, by the dispatcher of their shard only."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs
import trio

from teaseldyke.capacity import LoadSource
from teaseldyke.types import TeaseldykeError

from .dispatcher import Dispatcher
from .options import DispatchOptions

JITTER = 0.2  # fraction of the interval, in either direction


@attrs.define(eq=False)
class LoadPoller:
    """Runs one polling task per backend server.

    Parameters
    ----------
    source : LoadSource
        Fetches load reports from the backend servers.
    options : DispatchOptions
        Polling interval.
    dispatcher_of : callable
        Returns the dispatcher of a shard, or ``None`` unless this router acts as it.
    random : Random
        Source of the jitter.
    """

    source: LoadSource
    options: DispatchOptions
    dispatcher_of: Callable[[str], Dispatcher | None]
    random: Random
    _scopes: dict[tuple[str, str], trio.CancelScope] = attrs.field(factory=dict)

    def update(self, nursery: trio.Nursery, wanted: set[tuple[str, str]]) -> None:
        """Start and stop tasks so that just the (shard, server) pairs are polled."""
        for key in list(self._scopes):
            if key not in wanted:
                self._scopes.pop(key).cancel()
        for key in sorted(wanted):
            if key in self._scopes:
                continue
            scope = trio.CancelScope()
            self._scopes[key] = scope
            nursery.start_soon(self._poll, scope, *key)

    async def _poll(self, scope: trio.CancelScope, shard: str, server: str) -> None:
        with scope:
            while True:
                await self._poll_once(shard, server)
                jitter = 1 + JITTER * (2 * self.random.random() - 1)
                await trio.sleep(self._interval_s(shard, server) * jitter)

    async def _poll_once(self, shard: str, server: str) -> None:
        dispatcher = self.dispatcher_of(shard)
        if dispatcher is None or server not in dispatcher.shard.servers:
            return
        polled_at_s = trio.current_time()
        try:
            with trio.move_on_after(self.options.load_interval_s) as timeout:
                report = await self.source.load(dispatcher.shard.servers[server])
        except TeaseldykeError as exc:
            if exc.executed == "no":
                dispatcher.record_no_load_report(server, refused=True)
            dispatcher.record_failed_poll(server, polled_at_s)
            return
        if timeout.cancelled_caught:
            dispatcher.record_failed_poll(server, polled_at_s)
            return
        if report is None:
            dispatcher.record_no_load_report(server, refused=False)
            return
        dispatcher.record_load_report(server, report, polled_at_s)

    def _interval_s(self, shard: str, server: str) -> float:
        dispatcher = self.dispatcher_of(shard)
        if dispatcher is None or server not in dispatcher.slots:
            return self.options.load_interval_s
        if dispatcher.is_blocked_on_load_report(server):
            return self.options.load_interval_s / 5
        return self.options.load_interval_s
