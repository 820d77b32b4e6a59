"""Token bucket on trio's clock."""

from __future__ import annotations

import attrs
import trio

ROUNDING_TOKENS = 1e-9  # tolerance for rounding of the clock


@attrs.define
class TokenBucket:
    """Limits a mean rate and a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, in tokens; it starts full.
    """

    rate_per_s: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _updated_at_s: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    @property
    def tokens(self) -> float:
        """Number of tokens available now."""
        self._refill()
        return self._tokens

    def try_take(self) -> bool:
        """Take one token if available; return whether it was taken."""
        self._refill()
        if self._tokens < 1.0 - ROUNDING_TOKENS:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def add(self, tokens: float) -> None:
        """Add tokens in addition to the refill, up to the burst."""
        self._refill()
        self._tokens = min(self.burst, self._tokens + tokens)

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change rate and burst; tokens above the new burst are discarded."""
        self._refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, tokens: float = 1.0) -> float:
        """Return the seconds until this many tokens are available."""
        self._refill()
        missing = tokens - self._tokens
        if missing <= ROUNDING_TOKENS:
            return 0.0
        return missing / self.rate_per_s

    def _refill(self) -> None:
        now_s = trio.current_time()
        if self._updated_at_s is not None:
            refilled = (now_s - self._updated_at_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + refilled)
        self._updated_at_s = now_s
