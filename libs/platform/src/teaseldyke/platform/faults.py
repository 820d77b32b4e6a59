"""Faults that the in-memory platform can be told to show."""

from __future__ import annotations

import random

import attrs
import trio

from teaseldyke.types import AnswerLost, PlatformUnavailable


@attrs.define
class Faults:
    """What is wrong with a platform service at the moment.

    Parameters
    ----------
    down : bool
        Whether every call is refused without effect.
    slow_s : float
        Seconds by which every call is delayed.
    lose_answers : float
        Probability that a write takes effect and its answer is lost.
    lag_s : float
        Age of what the instance list shows.
    seed : int
        Seed of the draw for ``lose_answers``.
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
        """Delay a call as told and refuse it while the service is down.

        Raises
        ------
        PlatformUnavailable
            If the service is told to be down.
        """
        await trio.sleep(self.slow_s)
        if self.down:
            raise PlatformUnavailable("the platform is down", retry_after_s=1.0)

    def maybe_lose_answer(self) -> None:
        """Lose the answer of a write that took effect, as often as told.

        Raises
        ------
        AnswerLost
            With probability ``lose_answers``.
        """
        if self._random.random() < self.lose_answers:
            raise AnswerLost("the answer was lost after the write took effect")


@attrs.define
class CallCounts:
    """Calls that a platform service has answered or lost."""

    reads: int = 0
    writes: int = 0
