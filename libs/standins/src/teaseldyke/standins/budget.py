"""Rate limit of the platform's table service."""

from __future__ import annotations

import math

import attrs
import trio

from teaseldyke.types import PlatformUnavailable

BURST_S = 1.0  # size of the bucket, in seconds of the rate
RETRY_AFTER_S = 1.0


@attrs.define
class CallBudget:
    """Token bucket that refuses calls above a rate before they take effect.

    Parameters
    ----------
    name : str
        Name of the limited calls in the error message.
    rate_hz : float
        Calls a second; infinite for no limit.

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
    _tokens: float = attrs.field(init=False)
    _at_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.rate_hz * BURST_S

    def take(self, calls: int) -> None:
        """Take tokens for some calls from the bucket.

        Raises
        ------
        PlatformUnavailable
            If the bucket holds too few tokens.
        """
        if math.isinf(self.rate_hz):
            return
        now_s = trio.current_time()
        gained = (now_s - self._at_s) * self.rate_hz
        self._tokens = min(self.rate_hz * BURST_S, self._tokens + gained)
        self._at_s = now_s
        if self._tokens < calls:
            self.refused += calls
            raise PlatformUnavailable(
                f"more than {self.rate_hz:g} {self.name} in a second",
                retry_after_s=RETRY_AFTER_S,
            )
        self._tokens -= calls
