"""Circuit breaker of one backend server."""

from __future__ import annotations

from typing import Literal

import attrs
import trio

CircuitState = Literal["closed", "open", "half-open"]


@attrs.define
class Circuit:
    """Stops requests to a backend server that fails, for a bounded time.

    Parameters
    ----------
    failures_to_open : int
        Failures in a row that open it.
    open_min_s, open_max_s : float
        Time that it stays open; doubles from the least to the largest while the
        trial requests fail.
    trial_s : float
        Time after which a trial without a result gives way to the next.

    Examples
    --------
    >>> import trio
    >>> async def main():
    ...     circuit = Circuit(failures_to_open=1)
    ...     circuit.record_failure()
    ...     return circuit.state, circuit.try_pass()
    >>> trio.run(main)
    ('open', False)
    """

    failures_to_open: int = 5
    open_min_s: float = 0.5
    open_max_s: float = 10.0
    trial_s: float = 30.0
    _failures: int = attrs.field(default=0, init=False)
    _openings: int = attrs.field(default=0, init=False)
    _open_until_s: float = attrs.field(default=-1.0, init=False)
    _trial_until_s: float = attrs.field(default=-1.0, init=False)

    @property
    def state(self) -> CircuitState:
        """State at this moment."""
        if self._openings == 0:
            return "closed"
        if trio.current_time() < self._open_until_s:
            return "open"
        return "half-open"

    def try_pass(self) -> bool:
        """Return whether a request may be sent; half-open, one trial at a time."""
        state = self.state
        if state == "closed":
            return True
        now_s = trio.current_time()
        if state == "open" or now_s < self._trial_until_s:
            return False
        self._trial_until_s = now_s + self.trial_s
        return True

    def record_success(self) -> None:
        """Close it."""
        self._failures = 0
        self._openings = 0
        self._trial_until_s = -1.0

    def record_failure(self) -> None:
        """Count a failure; open it when there are too many in a row."""
        state = self.state
        self._failures += 1
        self._trial_until_s = -1.0
        if state == "open":
            return
        if state == "closed" and self._failures < self.failures_to_open:
            return
        open_s = min(self.open_max_s, self.open_min_s * 2.0 ** min(self._openings, 16))
        self._openings += 1
        self._open_until_s = trio.current_time() + open_s
