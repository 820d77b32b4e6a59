"""Updates of a dispatcher's state from a router's report."""

from __future__ import annotations

import attrs

from teaseldyke.fairness import Accounts

from .messages import RampState, Report
from .records import DemandRecord, RouterRecord
from .slots import ServerSlots


def record_counts(
    slots: dict[str, ServerSlots],
    router: RouterRecord,
    report: Report,
    is_baseline: bool,
    now_s: float,
) -> list[str]:
    """Record cumulative results; return the backend servers whose limit was lowered.

    ``is_baseline`` is set if the router has not reported here without a gap; the ramps
    in its report then already include its completions.
    """
    lowered = []
    for counts in report.counts:
        server = slots.get(counts.server)
        if server is None:
            continue
        previous = router.counts.get(counts.server)
        if previous is None and not is_baseline:
            previous = attrs.evolve(counts, completed=0, failed=0, refused=0, cold=0)
        if previous is not None and is_baseline:
            previous = attrs.evolve(previous, completed=counts.completed)
        router.counts[counts.server] = counts
        if server.record_counts(previous, counts, now_s):
            lowered.append(counts.server)
    return lowered


def merge_ramps(slots: dict[str, ServerSlots], states: tuple[RampState, ...]) -> None:
    """Adopt the slow-start progress recorded under an earlier dispatcher."""
    for state in states:
        server = slots.get(state.server)
        if server is not None:
            server.adopt_ramp(state)


def update_demand(
    accounts: Accounts,
    router: RouterRecord,
    report: Report,
    seen_seq: int,
    is_baseline: bool,
    now_s: float,
) -> None:
    """Replace a router's demand, less the grants that it has not received yet.

    ``is_baseline`` is set if the router has not reported here without a gap; the
    virtual times in its report then already include the service that it gave.
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
        if is_baseline:
            accounts.rebase_served(entry.organisation, source, entry.served_cost)
        accounts.record_served(entry.organisation, source, entry.served_cost)
        account.elsewhere_cost[router.name] = entry.elsewhere_cost
        remaining = max(0, entry.waiting - unseen.get(entry.organisation, 0))
        router.demand[entry.organisation] = DemandRecord(
            entry, remaining, now_s - entry.oldest_age_s
        )
