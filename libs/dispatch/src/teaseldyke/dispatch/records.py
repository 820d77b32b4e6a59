"""What a dispatcher knows of routers and grants."""

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
        Unique over the fleet.
    router, organisation, server : str
        Who holds it, for whom, and where to.
    estimate_cost : float
        What the organisation is charged for it.
    seq : int
        Message that carried it; 0 if another dispatcher granted it.
    expires_at_s : float
        The router cannot begin to use it after that.
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
        """Return whether the router may still send a request under it."""
        return not self.running and now_s < self.expires_at_s


@attrs.define(eq=False)
class DemandRecord:
    """Demand of one organisation at one router, less what was granted since."""

    entry: Demand
    remaining: int
    oldest_at_s: float


@attrs.define(eq=False)
class RouterRecord:
    """Last report of one router, and what it has been sent."""

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
        """Return whether a report supersedes all that came before."""
        if report.incarnation in self.ended_incarnations:
            return False
        return report.incarnation != self.incarnation or report.seq > self.seq

    def update(self, report: Report, now_s: float) -> None:
        """Take in the head of a report."""
        self.incarnation = report.incarnation
        self.seq = report.seq
        self.sent_at_s = report.sent_at_s
        self.received_at_s = now_s
        self.joined = report.joined
        self.members = report.members

    def reset(self, *, process_ended: bool) -> list[OutstandingGrant]:
        """Forget the incarnation; return the grants that it held.

        Only one that has surely ended is never heard again; one that was merely
        silent, or not yet a member, may come back.
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
