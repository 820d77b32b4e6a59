"""Fault injection for the in-memory platform."""

from __future__ import annotations

import random

import attrs
import trio

from teaseldyke.types import AnswerLost, PlatformUnavailable


@attrs.define
class Faults:
    """Faults injected into a platform service; they may be changed at any time.

    Parameters
    ----------
    down : bool
        Whether every call is refused without effect.
    slow_s : float
        Delay of every call.
    lose_answers : float
        Probability that a write takes effect but its answer is lost.
    lag_s : float
        Replication lag of the instance list.
    seed : int
        Seed of the random numbers for ``lose_answers``.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    lag_s: float = 0.0
    seed: int = 0
    _random: random.Random = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def delay_or_refuse(self) -> None:
        """Delay a call by ``slow_s`` and refuse it if the service is down.

        Raises
        ------
        PlatformUnavailable
            If ``down`` is set.
        """
        await trio.sleep(self.slow_s)
        if self.down:
            raise PlatformUnavailable("the platform is down", retry_after_s=1.0)

    def maybe_lose_answer(self) -> None:
        """Lose the answer to a write that took effect, at random.

        Raises
        ------
        AnswerLost
            With probability ``lose_answers``.
        """
        if self._random.random() < self.lose_answers:
            raise AnswerLost("the answer was lost after the write took effect")


@attrs.define
class CallCounts:
    """Calls that a platform service has answered, or whose answer was lost.

    Attributes
    ----------
    reads : int
        Read calls.
    writes : int
        Write calls; each row of a transaction counts.
    """

    reads: int = 0
    writes: int = 0
