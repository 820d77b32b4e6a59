"""A table service in memory with random delays, outages and lost answers."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import attrs
import trio

from teaseldyke.platform import MemoryTableService, Row, Write
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

DELAY_MAX_S = 0.02  # largest delay of a call, each way
LATE_WRITE_MAX_S = 0.3  # largest delay of a write whose answer was lost


@attrs.define(eq=False)
class UnreliableTable:
    """Delays calls, refuses them during outages, and loses answers to writes.

    A write whose answer is lost takes effect at once, later or never.

    Parameters
    ----------
    inner : MemoryTableService
        Holds the rows.
    nursery : trio.Nursery
        Runs writes that take effect later.
    random : Random
        Draws delays, losses and their effects.
    loss : float
        Fraction of writes whose answer is lost.
    down : bool
        Whether every call is refused.
    """

    inner: MemoryTableService
    nursery: trio.Nursery
    random: Random
    loss: float = 0.0
    down: bool = False

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None``."""
        await self._delay_or_refuse()
        row = await self.inner.get(table, key)
        await self._delay()
        return row

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows in key order."""
        await self._delay_or_refuse()
        rows = await self.inner.scan(table, prefix, after, limit)
        await self._delay()
        return rows

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes or none, unless the answer is lost (`AnswerLost`)."""
        await self._delay_or_refuse()
        if self.random.random() < self.loss:
            await self._lose_answer(writes)
            raise AnswerLost("the answer to the write was lost")
        versions = await self.inner.transact(writes)
        await self._delay()
        return versions

    async def _lose_answer(self, writes: Sequence[Write]) -> None:
        effect = self.random.choice(("now", "later", "never"))
        if effect == "now":
            await self._apply_late(writes, 0.0)
        if effect == "later":
            late_s = self.random.uniform(0.0, LATE_WRITE_MAX_S)
            self.nursery.start_soon(self._apply_late, writes, late_s)

    async def _apply_late(self, writes: Sequence[Write], late_s: float) -> None:
        await trio.sleep(late_s)
        try:
            await self.inner.transact(writes)
        except WriteConflict:
            return

    async def _delay_or_refuse(self) -> None:
        await self._delay()
        if self.down:
            raise PlatformUnavailable("the table service is down")

    async def _delay(self) -> None:
        await trio.sleep(self.random.uniform(0.0, DELAY_MAX_S))
