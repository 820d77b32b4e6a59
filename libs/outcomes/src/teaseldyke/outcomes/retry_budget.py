"""Budget that keeps retries to a part of the requests."""

from __future__ import annotations

import attrs

from .token_bucket import TokenBucket


@attrs.define
class RetryBudget:
    """Lets retries be a fixed part of recent requests, and a few beside.

    Parameters
    ----------
    part : float
        Retries earned by each request.
    floor_per_s : float
        Retries earned each second without any request.
    burst : float
        Most retries saved up.

    Examples
    --------
    >>> import trio
    >>> async def main():
    ...     budget = RetryBudget(burst=1.0)
    ...     return budget.try_spend(), budget.try_spend()
    >>> trio.run(main)
    (True, False)
    """

    part: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0
    requests: int = attrs.field(default=0, init=False)
    retries: int = attrs.field(default=0, init=False)
    refused: int = attrs.field(default=0, init=False)
    _bucket: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bucket = TokenBucket(self.floor_per_s, self.burst)

    def record_request(self) -> None:
        """Note a request that is sent for the first time."""
        self.requests += 1
        self._bucket.add(self.part)

    def try_spend(self) -> bool:
        """Return whether one retry may be sent now, and count it."""
        if not self._bucket.try_take():
            self.refused += 1
            return False
        self.retries += 1
        return True
