"""Timing and limits of the dispatch library."""

from __future__ import annotations

import attrs

HOLDERS_MAX = 7  # routers that hold a fraction of the limits of one shard


@attrs.frozen
class DispatchOptions:
    """Timing of leases, reports and polls.

    Parameters
    ----------
    lease_s : float
        Duration of a router's lease to a dispatcher.
    join_delay_s : float
        Time for which a router withholds its fraction after it has joined. Must be at
        least the lag of the instance list, the time between two reads of it and the
        lease.
    flush_interval_s : float
        Mean time between two reports to another router under constant change.
    silence_s : float
        A dispatcher that leaves a report unanswered for longer is suspected of having
        failed.
    load_interval_s : float
        Time between two polls of a backend server's load.
    load_lag_s : float
        Greatest age of the state that a load report shows.
    holders_max : int
        Routers that hold a fraction of the limits of one shard.
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
        """Return the time between two renewals of a lease."""
        return self.lease_s / 3

    @property
    def tick_s(self) -> float:
        """Return the time between two ticks of the dispatchers and clients."""
        return self.lease_s / 20
