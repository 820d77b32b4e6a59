"""Rate of calls that the platform's table service bears."""

from __future__ import annotations

import math

import attrs
import trio

from teaseldyke.types import PlatformUnavailable

BURST_S = 1.0  # calls of so long may come at once
RETRY_AFTER_S = 1.0


@attrs.define
class CallBudget:
    """Refuses calls above a rate, without effect.

    Parameters
    ----------
    name : str
        What is bounded, for the refusal.
    rate_hz : float
        Calls in a second; infinite for no bound.

    Examples
    --------
    >>> async def main():
    ...     budget = CallBudget("reads", rate_hz=2.0)
    ...     for _ in range(3):
    ...         budget.take(1)
    >>> trio.run(main)
    Traceback (most recent call last):
    ...
    teaseldyke.types.errors.PlatformUnavailable: more than 2 reads in a second
    """

    name: str
    rate_hz: float = math.inf
    refused: int = 0
    _left: float = attrs.field(init=False)
    _at_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._left = self.rate_hz * BURST_S

    def take(self, calls: int) -> None:
        """Use up calls.

        Raises
        ------
        PlatformUnavailable
            If the rate does not allow them.
        """
        if math.isinf(self.rate_hz):
            return
        now_s = trio.current_time()
        gained = (now_s - self._at_s) * self.rate_hz
        self._left = min(self.rate_hz * BURST_S, self._left + gained)
        self._at_s = now_s
        if self._left < calls:
            self.refused += calls
            raise PlatformUnavailable(
                f"more than {self.rate_hz:g} {self.name} in a second",
                retry_after_s=RETRY_AFTER_S,
            )
        self._left -= calls
