"""Retry budget in proportion to the request rate."""

from __future__ import annotations

import attrs

from .token_bucket import TokenBucket


@attrs.define
class RetryBudget:
    """Limits retries to a ratio of the requests, plus a constant rate.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    floor_per_s : float
        Retries earned per second, even without requests.
    burst : float
        Most retries that can accumulate.

    Examples
    --------
    >>> import trio
    >>> async def main():
    ...     budget = RetryBudget(burst=1.0)
    ...     return budget.try_spend(), budget.try_spend()
    >>> trio.run(main)
    (True, False)
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0
    requests: int = attrs.field(default=0, init=False)
    retries: int = attrs.field(default=0, init=False)
    refused: int = attrs.field(default=0, init=False)
    _bucket: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bucket = TokenBucket(self.floor_per_s, self.burst)

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        self.requests += 1
        self._bucket.add(self.ratio)

    def try_spend(self) -> bool:
        """Spend the budget of one retry; return whether it may be sent."""
        if not self._bucket.try_take():
            self.refused += 1
            return False
        self.retries += 1
        return True
