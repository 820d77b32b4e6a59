"""Accounts of organisations in the fair order of one shard."""

from __future__ import annotations

import attrs

IDLE_AFTER_S = 0.1  # a shorter gap in the demand does not count as idle


@attrs.define(eq=False)
class Account:
    """What one organisation has been charged.

    Parameters
    ----------
    share : float
        Weight of the organisation.
    virtual_time : float
        Served cost per share, with what returns from idle have added.
    outstanding_cost : float
        Estimates of the grants that are not finished, of this shard.
    elsewhere_cost : dict of str to float
        Estimates outstanding through other shards, by router.
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
        """Return the virtual time that the next grant would start at."""
        elsewhere = sum(self.elsewhere_cost.values())
        return self.virtual_time + (self.outstanding_cost + elsewhere) / self.share


@attrs.define(eq=False)
class Accounts:
    """Start-time fair queueing by real cost, from cumulative counters.

    The served cost of each (router, incarnation) only grows, and only its growth is
    charged, so that late, repeated and lost reports change nothing.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queuing", SIGCOMM 1996.

    Examples
    --------
    >>> accounts = Accounts()
    >>> accounts.set_share("small", 1.0)
    >>> accounts.set_share("large", 2.0)
    >>> for served in (0.0, 6.0, 6.0):
    ...     accounts.note_served("large", ("router-1", 7), served)
    >>> accounts.note_backlog("large", True, now_s=0.0)
    >>> accounts["large"].start_tag
    3.0
    >>> accounts.note_backlog("small", True, now_s=1.0)
    >>> accounts["small"].start_tag
    3.0
    """

    _accounts: dict[str, Account] = attrs.field(factory=dict)
    _system_time: float = 0.0

    def __getitem__(self, organisation: str) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = Account(share=1.0, virtual_time=self._system_time)
            self._accounts[organisation] = account
        return account

    def items(self) -> list[tuple[str, Account]]:
        """Return every account with its organisation."""
        return list(self._accounts.items())

    def set_share(self, organisation: str, share: float) -> None:
        """Set the weight of an organisation."""
        self[organisation].share = share

    def note_served(
        self, organisation: str, source: tuple[str, int], served_cost: float
    ) -> None:
        """Take in a cumulative counter; the first of a source is its base."""
        account = self[organisation]
        known = account.served_cost.get(source)
        if known is None:
            account.served_cost[source] = served_cost
            return
        if served_cost <= known:
            return
        account.served_cost[source] = served_cost
        account.virtual_time += (served_cost - known) / account.share

    def note_virtual_time(self, organisation: str, virtual_time: float) -> None:
        """Take in the largest virtual time that an earlier dispatcher gave out."""
        account = self[organisation]
        account.virtual_time = max(account.virtual_time, virtual_time)

    def note_backlog(self, organisation: str, backlogged: bool, now_s: float) -> None:
        """Tell whether an organisation waits; lift it when it returns from idle."""
        account = self[organisation]
        if backlogged == account.backlogged:
            return
        account.backlogged = backlogged
        if not backlogged:
            account.idle_since_s = now_s
            return
        if account.virtual_time > 0.0 and now_s - account.idle_since_s < IDLE_AFTER_S:
            return
        tags = [
            other.start_tag
            for other in self._accounts.values()
            if other.backlogged and other is not account
        ]
        lift = min(tags, default=self._system_time) - account.start_tag
        account.virtual_time += max(0.0, lift)

    def grant(self, organisation: str, estimate_cost: float) -> float:
        """Charge a grant; return the virtual time, without what is outstanding."""
        account = self[organisation]
        self._system_time = max(self._system_time, account.start_tag)
        account.outstanding_cost += estimate_cost
        return account.virtual_time

    def end_grant(self, organisation: str, estimate_cost: float) -> None:
        """Drop the estimate of a grant that is finished or returned."""
        account = self[organisation]
        account.outstanding_cost = max(0.0, account.outstanding_cost - estimate_cost)
