"""Accounts of organisations in the fair queueing of one shard."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

IDLE_AFTER_S = 0.1  # shorter gaps in the demand do not count as idle


@attrs.define(eq=False)
class Account:
    """Cost charged to one organisation.

    Parameters
    ----------
    share : float
        Weight of the organisation.
    virtual_time : float
        Served cost divided by the share, plus the increases on returns from idle.
    outstanding_cost : float
        Estimated cost of unfinished grants of this shard.
    elsewhere_cost : dict of str to float
        Estimated cost of unfinished grants of other shards, by router.
    """

    share: float
    virtual_time: float = 0.0
    outstanding_cost: float = 0.0
    elsewhere_cost: dict[str, float] = attrs.field(factory=dict)
    served_cost: dict[tuple[str, int], float] = attrs.field(factory=dict)
    backlogged: bool = False
    idle_since_s: float = 0.0

    @property
    def start_tag(self) -> float:
        """Return the virtual time at which the next grant would start."""
        elsewhere = sum(self.elsewhere_cost.values())
        return self.virtual_time + (self.outstanding_cost + elsewhere) / self.share


@attrs.define(eq=False)
class Accounts:
    """Start-time fair queueing by actual cost, from cumulative counters.

    The counter of each (router, incarnation) never falls and only its increase is
    charged, so that late, repeated and lost reports do not change the result.

    Accounts are created on first use. Frequent operations iterate over the backlogged
    organisations only.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queuing", SIGCOMM 1996.

    Parameters
    ----------
    share_of : callable
        Returns the share of an organisation.

    Examples
    --------
    >>> accounts = Accounts({"small": 1.0, "large": 2.0}.__getitem__)
    >>> for served in (0.0, 6.0, 6.0):
    ...     accounts.record_served("large", ("router-1", 7), served)
    >>> accounts.set_backlogged("large", True, now_s=0.0)
    >>> accounts["large"].start_tag
    3.0
    >>> accounts.set_backlogged("small", True, now_s=1.0)
    >>> accounts["small"].start_tag
    3.0
    """

    share_of: Callable[[str], float] = lambda organisation: 1.0
    backlogged: dict[str, Account] = attrs.field(factory=dict, init=False)
    _accounts: dict[str, Account] = attrs.field(factory=dict, init=False)
    _system_time: float = attrs.field(default=0.0, init=False)

    def __getitem__(self, organisation: str) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            share = self.share_of(organisation)
            account = Account(share, virtual_time=self._system_time)
            self._accounts[organisation] = account
        return account

    def items(self) -> list[tuple[str, Account]]:
        """Return every account with its organisation."""
        return list(self._accounts.items())

    def refresh_shares(self) -> None:
        """Look up the share of every known organisation again."""
        for organisation, account in self._accounts.items():
            account.share = self.share_of(organisation)

    def record_served(
        self, organisation: str, source: tuple[str, int], served_cost: float
    ) -> None:
        """Charge the increase of a cumulative counter.

        The first value of a source is the base of the later ones.
        """
        account = self[organisation]
        known = account.served_cost.get(source)
        if known is None:
            account.served_cost[source] = served_cost
            return
        if served_cost <= known:
            return
        account.served_cost[source] = served_cost
        account.virtual_time += (served_cost - known) / account.share

    def rebase_served(
        self, organisation: str, source: tuple[str, int], served_cost: float
    ) -> None:
        """Reset the base of a counter that another dispatcher has charged."""
        self[organisation].served_cost[source] = served_cost

    def raise_virtual_time(self, organisation: str, virtual_time: float) -> None:
        """Raise the virtual time to the largest that an earlier dispatcher reported."""
        account = self[organisation]
        account.virtual_time = max(account.virtual_time, virtual_time)

    def update_backlogged(self, organisations: Collection[str], now_s: float) -> None:
        """Set the organisations that have queued requests; all others have none."""
        for organisation in list(self.backlogged):
            if organisation not in organisations:
                self.set_backlogged(organisation, False, now_s)
        for organisation in organisations:
            self.set_backlogged(organisation, True, now_s)

    def set_backlogged(self, organisation: str, backlogged: bool, now_s: float) -> None:
        """Set whether an organisation has queued requests.

        On its return from idle, its virtual time is raised to the lowest start tag of
        the backlogged others, or the system time without any, so that idle time earns
        no credit.
        """
        account = self[organisation]
        if backlogged == account.backlogged:
            return
        account.backlogged = backlogged
        if not backlogged:
            del self.backlogged[organisation]
            account.idle_since_s = now_s
            return
        others = list(self.backlogged.values())
        self.backlogged[organisation] = account
        if account.virtual_time > 0.0 and now_s - account.idle_since_s < IDLE_AFTER_S:
            return
        tags = [other.start_tag for other in others]
        increase = min(tags, default=self._system_time) - account.start_tag
        account.virtual_time += max(0.0, increase)

    def grant(self, organisation: str, estimate_cost: float) -> float:
        """Charge a grant; return the virtual time without the outstanding cost."""
        account = self[organisation]
        self._system_time = max(self._system_time, account.start_tag)
        account.outstanding_cost += estimate_cost
        return account.virtual_time

    def end_grant(self, organisation: str, estimate_cost: float) -> None:
        """Remove the estimated cost of a grant that is finished or returned."""
        account = self[organisation]
        account.outstanding_cost = max(0.0, account.outstanding_cost - estimate_cost)
