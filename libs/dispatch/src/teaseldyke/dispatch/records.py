"""A dispatcher's records of routers and grants."""

from __future__ import annotations

import math

import attrs

from .messages import Demand, Grant, Report, ServerCounts


@attrs.define(eq=False)
class OutstandingGrant:
    """A grant that is not known to be finished or returned.

    Parameters
    ----------
    grant_id : int
        Unique in the fleet.
    router, organisation, server : str
        Router that holds the grant, organisation of the request, and backend server
        that it is for.
    estimate_cost : float
        Charged to the organisation while the grant is outstanding.
    seq : int
        Number of the batch that carried it; 0 if another dispatcher issued it.
    expires_at_s : float
        The router cannot start the request after this time.
    running : bool
        Whether the router has reported that it sent the request.
    """

    grant_id: int
    router: str
    organisation: str
    server: str
    estimate_cost: float
    seq: int
    expires_at_s: float
    running: bool = False

    def may_begin(self, now_s: float) -> bool:
        """Return whether the router may still start a request with this grant."""
        return not self.running and now_s < self.expires_at_s


@attrs.define(eq=False)
class DemandRecord:
    """Demand of one organisation at one router, less the grants issued since."""

    entry: Demand
    remaining: int
    oldest_at_s: float


@attrs.define(eq=False)
class RouterRecord:
    """State of one router: its last report, its grants and pending messages."""

    name: str
    incarnation: int = 0
    seq: int = 0
    sent_at_s: float = 0.0
    received_at_s: float = -math.inf
    joined: bool = False
    members: int = 0
    list_all: bool = False
    demand: dict[str, DemandRecord] = attrs.field(factory=dict)
    counts: dict[str, ServerCounts] = attrs.field(factory=dict)
    grants: dict[int, OutstandingGrant] = attrs.field(factory=dict)
    ended_incarnations: set[int] = attrs.field(factory=set)
    batch_at_s: float = -math.inf
    released_at_s: float = -math.inf
    pending: list[Grant] = attrs.field(factory=list)
    revoked: list[int] = attrs.field(factory=list)

    def is_superseded_by(self, report: Report) -> bool:
        """Return whether a report is newer and not from a process that ended."""
        if report.incarnation in self.ended_incarnations:
            return False
        return report.incarnation != self.incarnation or report.seq > self.seq

    def update(self, report: Report, now_s: float) -> None:
        """Record a report's origin, sequence number and membership."""
        self.incarnation = report.incarnation
        self.seq = report.seq
        self.sent_at_s = report.sent_at_s
        self.received_at_s = now_s
        self.joined = report.joined
        self.members = report.members

    def reset(self, *, process_ended: bool) -> list[OutstandingGrant]:
        """Forget the current incarnation; return the grants that it held.

        Later reports of the incarnation are ignored only if its process has ended; one
        that was merely silent, or not yet a member, may report again.
        """
        if self.incarnation and process_ended:
            self.ended_incarnations.add(self.incarnation)
        grants = list(self.grants.values())
        self.incarnation = 0
        self.seq = 0
        self.joined = False
        self.grants.clear()
        self.demand.clear()
        self.counts.clear()
        self.pending.clear()
        self.revoked.clear()
        return grants
