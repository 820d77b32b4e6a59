"""Detects expired leases of other routers without comparing clocks."""

from __future__ import annotations

from collections import OrderedDict

import attrs
import trio

OBSERVATIONS_MAX = 10_000


@attrs.frozen
class _Observation:
    version: int
    first_seen_at_s: float


@attrs.define
class Observations:
    """Measures on the reader's own clock how long a row has been unchanged.

    Clocks of two instances are never compared: a lease has expired once its whole
    duration has passed on the reader's clock since the reader first saw the current
    version of the row.

    Parameters
    ----------
    margin_s : float
        Added to the lease to allow for clocks that run at different rates.
    """

    margin_s: float
    _observations: OrderedDict[str, _Observation] = attrs.field(
        factory=OrderedDict, init=False
    )

    def remaining_s(self, row_key: str, version: int, lease_s: float) -> float:
        """Return the seconds until the owner's lease has certainly expired."""
        now_s = trio.current_time()
        observation = self._observations.get(row_key)
        if observation is None or observation.version != version:
            observation = _Observation(version, now_s)
            self._observations[row_key] = observation
        self._observations.move_to_end(row_key)
        while len(self._observations) > OBSERVATIONS_MAX:
            self._observations.popitem(last=False)
        expires_at_s = observation.first_seen_at_s + lease_s + self.margin_s
        return max(0.0, expires_at_s - now_s)

    def forget(self, row_key: str) -> None:
        """Remove the observation of a row."""
        self._observations.pop(row_key, None)
