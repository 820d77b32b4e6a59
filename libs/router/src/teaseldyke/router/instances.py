"""Keeps the instance list: announces this router and reads who else is there."""

from __future__ import annotations

import attrs

from teaseldyke.outcomes import OutcomeRecords
from teaseldyke.peers import Links, Membership
from teaseldyke.platform import Instance, InstanceList, InstanceState
from teaseldyke.settings import RouterSettings
from teaseldyke.telemetry import counter, log_change, log_fault
from teaseldyke.types import TeaseldykeError

ANNOUNCE_TTL_S = 5.0  # several polls may fail before the platform drops the entry

FAILURES = counter(
    "teaseldyke_instance_list_failures_total", "Failed uses of the instance list."
)


@attrs.define
class InstanceListKeeper:
    """Announces this router and feeds the membership.

    Parameters
    ----------
    instances : InstanceList
        The platform's list.
    settings : RouterSettings
        Who this router is.
    membership : Membership
        Takes the list in.
    links : Links
        Gets the addresses of the members.
    records : OutcomeRecords
        Shares the store's rate of writes with the members.
    """

    instances: InstanceList
    settings: RouterSettings
    membership: Membership
    links: Links
    records: OutcomeRecords
    state: InstanceState = "live"
    reachable: bool = True

    async def refresh(self) -> None:
        """Renew the own entry and read the list; failures leave the last one."""
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
        self._take(listed)

    async def leave(self) -> None:
        """Say that this router is leaving."""
        self.state = "leaving"
        await self.refresh()

    def own_entry(self) -> Instance:
        """Return the entry of this router."""
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

    def _take(self, listed: list[Instance]) -> None:
        before = self.membership.members
        self.membership.update(listed)
        self.links.set_peers(self.membership.addresses)
        after = self.membership.members
        self.records.set_router_count(len(after))
        if after != before:
            log_change("members_changed", members=",".join(sorted(after)))
