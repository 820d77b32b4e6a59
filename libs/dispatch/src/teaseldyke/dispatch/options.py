"""Times and bounds of the dispatch library."""

from __future__ import annotations

import attrs

HOLDERS_MAX = 7  # routers that hold a part of the limits of one shard


@attrs.frozen
class DispatchOptions:
    """Times of leases, reports and polls.

    Parameters
    ----------
    lease_s : float
        Length of a router's promise to a dispatcher.
    join_delay_s : float
        A router that has just joined holds its part back for so long; at least the
        lag of the instance list, the time between two reads of it and the lease.
    flush_interval_s : float
        Shortest time between two reports of a shard.
    silence_s : float
        A dispatcher that leaves a report unanswered for so long is passed over.
    load_interval_s : float
        Between two polls of a backend server's load.
    load_lag_s : float
        Oldest state that a load report shows.
    holders_max : int
        Routers that hold a part of the limits of one shard.
    """

    lease_s: float = 1.0
    join_delay_s: float = 3.0
    flush_interval_s: float = 0.02
    silence_s: float = 0.5
    load_interval_s: float = 0.5
    load_lag_s: float = 0.5
    holders_max: int = HOLDERS_MAX

    @property
    def renewal_s(self) -> float:
        """Return the time between two renewals of a promise."""
        return self.lease_s / 3

    @property
    def tick_s(self) -> float:
        """Return the time between two checks of what time changes."""
        return self.lease_s / 20
