"""Token bucket on trio's clock."""

from __future__ import annotations

import attrs
import trio

ROUNDING = 1e-9  # tokens that the clock's rounding may cost


@attrs.define
class TokenBucket:
    """Bounds a mean rate and a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens that return each second.
    burst : float
        Most tokens held.
    """

    rate_per_s: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _updated_at_s: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    @property
    def tokens(self) -> float:
        """Tokens at this moment."""
        self._refill()
        return self._tokens

    def try_take(self) -> bool:
        """Take one token if there is one."""
        self._refill()
        if self._tokens < 1.0 - ROUNDING:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def add(self, tokens: float) -> None:
        """Add tokens beside those that return with time."""
        self._refill()
        self._tokens = min(self.burst, self._tokens + tokens)

    def resize(self, rate_per_s: float, burst: float) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self._refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, tokens: float = 1.0) -> float:
        """Return the seconds until this many tokens are there."""
        self._refill()
        missing = tokens - self._tokens
        if missing <= ROUNDING:
            return 0.0
        return missing / self.rate_per_s

    def _refill(self) -> None:
        now_s = trio.current_time()
        if self._updated_at_s is not None:
            returned = (now_s - self._updated_at_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + returned)
        self._updated_at_s = now_s
