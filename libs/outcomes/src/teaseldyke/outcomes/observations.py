"""Attempts of other routers that a reader watches for a lapsed lease."""

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
    """Measures on the reader's own clock how long a row has stood unchanged.

    Clocks of two instances are never compared: the owner can't hold a lease longer
    than its length, and the length has passed on the reader's clock since the reader
    first saw the version that stands.

    Parameters
    ----------
    margin_s : float
        Added to the lease for clocks that run at different rates.
    """

    margin_s: float
    _seen: OrderedDict[str, _Observation] = attrs.field(factory=OrderedDict, init=False)

    def remaining_s(self, row_key: str, version: int, lease_s: float) -> float:
        """Return the seconds until the owner's lease has surely run out."""
        now_s = trio.current_time()
        seen = self._seen.get(row_key)
        if seen is None or seen.version != version:
            seen = _Observation(version, now_s)
            self._seen[row_key] = seen
        self._seen.move_to_end(row_key)
        while len(self._seen) > OBSERVATIONS_MAX:
            self._seen.popitem(last=False)
        lapses_at_s = seen.first_seen_at_s + lease_s + self.margin_s
        return max(0.0, lapses_at_s - now_s)

    def forget(self, row_key: str) -> None:
        """Stop watching a row."""
        self._seen.pop(row_key, None)
