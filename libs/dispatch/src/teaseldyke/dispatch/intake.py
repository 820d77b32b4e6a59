"""Takes the parts of a router's report into a dispatcher's books."""

from __future__ import annotations

import attrs

from teaseldyke.fairness import Accounts

from .messages import RampState, Report
from .records import DemandRecord, RouterRecord
from .slots import ServerSlots


def take_counts(
    slots: dict[str, ServerSlots],
    router: RouterRecord,
    report: Report,
    is_base: bool,
    now_s: float,
) -> list[str]:
    """Take in cumulative results; return the backend servers whose ramp fell.

    When ``is_base`` is set, the router has not reported here all the time, and the
    ramps that it brings hold its completions already.
    """
    fallen = []
    for counts in report.counts:
        server = slots.get(counts.server)
        if server is None:
            continue
        known = router.counts.get(counts.server)
        if known is None and not is_base:
            known = attrs.evolve(counts, completed=0, failed=0, refused=0, cold=0)
        if known is not None and is_base:
            known = attrs.evolve(known, completed=counts.completed)
        router.counts[counts.server] = counts
        if server.take_counts(known, counts, now_s):
            fallen.append(counts.server)
    return fallen


def adopt_ramps(slots: dict[str, ServerSlots], states: tuple[RampState, ...]) -> None:
    """Take over how far the ramps had come under an earlier dispatcher."""
    for state in states:
        server = slots.get(state.server)
        if server is not None:
            server.ramp.adopt(state.epoch, state.completed)


def take_demand(
    accounts: Accounts,
    router: RouterRecord,
    report: Report,
    seen_seq: int,
    is_base: bool,
    now_s: float,
) -> None:
    """Replace a router's demand, less the grants that it has not seen yet.

    When ``is_base`` is set, the router has not reported here all the time, and the
    virtual times that it brings hold its service already.
    """
    unseen: dict[str, int] = {}
    for grant in router.grants.values():
        if grant.seq > seen_seq:
            unseen[grant.organisation] = unseen.get(grant.organisation, 0) + 1
    router.demand.clear()
    for entry in report.demand:
        account = accounts[entry.organisation]
        accounts.raise_virtual_time(entry.organisation, entry.virtual_time)
        source = (router.name, router.incarnation)
        if is_base:
            accounts.rebase_served(entry.organisation, source, entry.served_cost)
        accounts.record_served(entry.organisation, source, entry.served_cost)
        account.elsewhere_cost[router.name] = entry.elsewhere_cost
        remaining = max(0, entry.waiting - unseen.get(entry.organisation, 0))
        router.demand[entry.organisation] = DemandRecord(
            entry, remaining, now_s - entry.oldest_age_s
        )
