"""How long polls of the store's feeds wait, and which unanswered ones are lost.

Load patterns: a store that gives no response for some seconds, that loses some of its
responses, and connections that go silent while new ones work. A poll whose response is
lost looks like one without changes until its time is over, and a change ends the polls
of all instances at once, so that all lose theirs together.
Replayed in ``tests/test_feed_polls.py``.

The ends of the polls of a table are spread over the instances on the store's clock, so
that one of them finds out soon that polls were lost, in whichever order instances
started and changes ended their polls. The first call that is answered after one without
a response shows that calls begun before it are lost if they are still unanswered. The
instance begins its own ones anew and tells the others, which do the same.
"""

from __future__ import annotations

import math

import attrs

from .interfaces import FeedRole, LostCalls

POLL_WAIT_MAX_S = 10.0  # calls of the store are charged
# Between the ends of the polls of a table, over the instances that poll it.
POLL_SPACING_S = 1.0
# Long poll of a feed leader; an empty result is relayed too and keeps followers
# from polling the store themselves.
LEADER_POLL_WAIT_S = 1.0
# A poll that would be shorter lasts until the instance's next slot, as the last one may
# have ended a little before its own.
POLL_WAIT_MIN_S = 0.1
# A sole instance hears of no other that knows newer entries. Its knowledge must not be
# older than `SETTLE_S` in `placement/stream_origins.py`.
SOLE_POLL_WAIT_S = 0.5
LOSS_TOLD_S = 5.0  # for which others are told that calls were lost


@attrs.define
class _Table:
    """Polls of one table.

    Parameters
    ----------
    is_answered : bool
        Whether the last call was answered.
    failures : int
        Failed calls since the last answer.
    """

    is_answered: bool = False
    failures: int = 0


@attrs.define(eq=False)
class FeedPolls:
    """Decides how long this instance's polls wait and which of them are lost.

    Attributes
    ----------
    role : FeedRole
        Role in which the store's entries are followed.
    rank, pollers : int
        Rank of this instance among those that poll the same tables, from 0, and their
        number.
    lost : LostCalls
        Calls that this instance has found to be lost.

    Examples
    --------
    >>> polls = FeedPolls(rank=1, pollers=4)
    >>> polls.wait_s("servers", 10.0)  # nothing is known of the store
    0.0
    >>> polls.record_answer("servers", 10.0)
    >>> polls.set_store_clock(8.5, 10.5)
    >>> polls.wait_s("servers", 10.5)  # until 9 s on the store's clock
    0.5
    >>> polls.wait_s("servers", 11.0)
    4.0
    """

    role: FeedRole = FeedRole.INDEPENDENT
    rank: int = 0
    pollers: int = 1
    lost: LostCalls = attrs.field(factory=lambda: LostCalls(-math.inf))
    _tables: dict[str, _Table] = attrs.field(factory=dict)
    _silent_at_s: float = math.inf
    _was_away: bool = False
    _store_ahead_s: float = 0.0

    def set_store_clock(self, store_s: float, now_s: float) -> None:
        """Note the time on the store's clock that belongs to a local time."""
        self._store_ahead_s = store_s - now_s

    def wait_s(self, table: str, now_s: float) -> float:
        """Return how long the store may hold the next poll of a table.

        0 after a failure: a poll that waits would be lost, too, while the store gives
        no response. Else until this instance's next slot on the store's clock.
        """
        state = self._table(table)
        if not state.is_answered:
            return 0.0
        if self.role is FeedRole.LEADER:
            return LEADER_POLL_WAIT_S
        if self.pollers == 1:
            return SOLE_POLL_WAIT_S
        interval_s = min(POLL_WAIT_MAX_S, self.pollers * POLL_SPACING_S)
        slot_s = interval_s * self.rank / self.pollers
        wait_s = (slot_s - now_s - self._store_ahead_s) % interval_s
        if wait_s < POLL_WAIT_MIN_S:
            wait_s += interval_s
        return min(wait_s, POLL_WAIT_MAX_S)

    def record_failure(self, table: str, now_s: float, *, is_silent: bool) -> bool:
        """Record a failed call; return whether the store counts as away.

        After a single call without a response, its connection may be what has failed.

        Parameters
        ----------
        is_silent : bool
            Whether there was no response in time. A refusal and a connection that
            breaks tell nothing of other calls.
        """
        failures = self._table(table).failures + 1
        self._tables[table] = _Table(failures=failures)
        if is_silent:
            self._silent_at_s = now_s
        if is_silent and failures == 1:
            return False
        self._was_away = True
        return True

    def record_answer(self, table: str, begun_at_s: float) -> None:
        """Record the answer to a call that was begun at a time."""
        self._tables[table] = _Table(is_answered=True)
        if self._silent_at_s == math.inf:
            self._was_away = False
        if begun_at_s < self._silent_at_s:
            return
        self._silent_at_s = math.inf
        self.lost = LostCalls(begun_at_s, self._was_away)
        self._was_away = False

    def doubt(self, table: str) -> None:
        """Let the next poll of a table find out whether the store answers."""
        self._tables[table] = _Table()

    def loss_to_tell(self, now_s: float) -> tuple[float, bool] | None:
        """Return the age of `lost` and whether the store was away, while it is new."""
        age_s = now_s - self.lost.before_s
        return (age_s, self.lost.was_away) if age_s <= LOSS_TOLD_S else None

    def _table(self, name: str) -> _Table:
        return self._tables.setdefault(name, _Table())
