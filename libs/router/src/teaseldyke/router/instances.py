"""Registers this router in the instance list and tracks the other instances."""

from __future__ import annotations

import attrs

from teaseldyke.outcomes import OutcomeRecords
from teaseldyke.peers import Links, Membership
from teaseldyke.platform import Instance, InstanceList, InstanceState
from teaseldyke.settings import RouterSettings
from teaseldyke.telemetry import counter, log_change, log_fault
from teaseldyke.types import TeaseldykeError

ANNOUNCE_TTL_S = 5.0  # the platform keeps the entry while a few polls fail

FAILURES = counter(
    "teaseldyke_instance_list_failures_total", "Failed uses of the instance list."
)


@attrs.define
class InstanceListSync:
    """Renews this router's entry and updates the membership from the list.

    Parameters
    ----------
    instances : InstanceList
        Instance list of the platform.
    settings : RouterSettings
        Name, addresses and failure domain of this router.
    membership : Membership
        Updated from the list.
    links : Links
        Given the addresses of the members.
    records : OutcomeRecords
        Given the number of members, which share the store's write rate.
    state : {"live", "leaving"}
        State that this router announces.
    reachable : bool
        Whether the last refresh succeeded.
    """

    instances: InstanceList
    settings: RouterSettings
    membership: Membership
    links: Links
    records: OutcomeRecords
    state: InstanceState = "live"
    reachable: bool = True

    async def refresh(self) -> None:
        """Renew this router's entry and read the list.

        The members stay unchanged if the instance list fails.
        """
        try:
            await self.instances.announce(self.own_entry(), ANNOUNCE_TTL_S)
            listed = await self.instances.instances()
        except TeaseldykeError as exc:
            FAILURES.bind(code=exc.code).add()
            if self.reachable:
                log_fault("instance_list_unreachable", detail=exc.detail)
            self.reachable = False
            return
        if not self.reachable:
            log_change("instance_list_reachable")
        self.reachable = True
        self._apply(listed)

    async def leave(self) -> None:
        """Announce that this router is leaving."""
        self.state = "leaving"
        await self.refresh()

    def own_entry(self) -> Instance:
        """Return this router's entry."""
        settings = self.settings
        return Instance(
            settings.name,
            "router",
            self.state,
            settings.failure_domain,
            settings.control.host,
            settings.control.port,
            settings.administration.port,
        )

    def _apply(self, listed: list[Instance]) -> None:
        before = self.membership.members
        self.membership.update(listed)
        self.links.set_peers(self.membership.addresses)
        after = self.membership.members
        self.records.set_router_count(len(after))
        if after != before:
            log_change("members_changed", members=",".join(sorted(after)))
