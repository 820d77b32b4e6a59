"""Roll-out of a software version of a service: share of the sends, and verdict.

Load patterns: a version whose answers fail or are slow, at once, later, under load or
on one route only (`rollout_bad`), and a sound one among crashes and bursts.
Replayed in ``tests/test_rollout.py``.

Each instance keeps the share among its own sends, so that the fleet keeps it without
any message. The verdict follows from the sums of all instances.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import IntEnum

import attrs

from teaseldyke.types import AnnouncedServer, RolloutOrder

TRIAL_SHARE_FACTOR = 0.5  # of the share that a bad version may get; the rest is moved
TRIAL_FRACTION = 0.5  # of the time allowed; some versions are bad only later
# Shares after the trial, one step each. The first one loads the new servers while a bad
# version can still be stopped within its share.
MOVING_STEPS = (0.2, 0.5, 1.0)
# Of a step, as a fraction of the time allowed; at least 1.5 s if that is at most the
# second fraction, so that its answers come before the next step despite their lag.
STEP_FRACTIONS = (0.06, 0.12)
STEP_MIN_S = 1.5
# Answers of the new version before traffic is moved, falling from the first number at
# the end of the trial to the second at the last moment for moving: a service with few
# requests is moved on less evidence rather than never.
TRIAL_ANSWERS = (30, 5)
MOVING_LATEST_FRACTION = 0.8
SLACK_FACTOR = 0.5  # of the slack, sent in the trial beside the share
# An instance's part below it isn't used: the many instances of such a fleet would send
# theirs at the same moment to one server.
SLACK_MIN = 2.0
TRIAL_TURN_S = 2.5  # of each new server; long enough for its load to build up
END_MARGIN_S = 1.0  # before the deadline: to write the state, also if a call is lost
# Without a new send to the old version before it may end; answers of the last step come
# with the lag of the sums.
MOVED_MIN_S = 2.0
PAUSE_MIN_S = 0.5  # between two calls of `Rollout.advance`, usually 0.1 s apart
# After a restart, before a stage is adopted that isn't final: what was told may be
# older than a roll-back.
JOIN_DELAY_S = 1.0
# A bad version has this much more bad answers than the other one.
BAD_SHARE_MORE = 0.3
# Weight of the old version's answers on all routes in the bad share of one route.
PRIOR_ANSWERS = 20.0
BAD_SHARE_MIN = 0.02  # of any version; a few bad answers must not decide
# In which the weight of the old version's answers falls to 1/e. The largest share
# counts, as trouble of all servers begins and ends at once. With 0.25 s, 27 instead of
# 24 of 37 drawn plays with such trouble completed a sound version.
OLD_MEMORIES_S = (0.25, 1.0, 4.0)
# Of the cumulative sum of log likelihood ratios. A sound version exceeds it in one of
# a million answers at most (Lorden's bound), a bad one after some 20.
BAD_LOG_RATIO = math.log(1e6)
# From here on, traffic isn't moved further; a sound version gets there on one of a
# hundred answers at most, and good answers lead back.
SUSPECT_LOG_RATIO = math.log(1e2)

ALL_ROUTES = ""


class Stage(IntEnum):
    """Stage of a roll-out; a later one is never left for an earlier one."""

    UNKNOWN = 0  # after a restart, until word of the others or the store has come
    TRIAL = 1
    MOVING = 2
    MOVED = 3
    ROLLED_BACK = 4
    COMPLETED = 5  # only once it is written, as the old servers end then


@attrs.define
class RouteAnswers:
    """Answers of one route by version: good and bad ones of the new and the old."""

    new_good: int = 0
    new_bad: int = 0
    old_good: int = 0
    old_bad: int = 0

    def add(self, other: RouteAnswers) -> None:
        """Add the answers of another instance."""
        self.new_good += other.new_good
        self.new_bad += other.new_bad
        self.old_good += other.old_good
        self.old_bad += other.old_bad

    def since(self, last: RouteAnswers) -> RouteAnswers:
        """Return what was added; nothing of sums that fell as an instance was lost."""
        return RouteAnswers(
            max(0, self.new_good - last.new_good),
            max(0, self.new_bad - last.new_bad),
            max(0, self.old_good - last.old_good),
            max(0, self.old_bad - last.old_bad),
        )


@attrs.define
class _OldAnswers:
    """Recent answers of the old version, with weights that fall over time."""

    memory_s: float
    answers: float = 0.0
    bad: float = 0.0

    def add(self, added: RouteAnswers, elapsed_s: float) -> None:
        """Add answers that came within a time."""
        decay = math.exp(-elapsed_s / self.memory_s)
        self.answers = self.answers * decay + added.old_good + added.old_bad
        self.bad = self.bad * decay + added.old_bad

    def bad_share(self, prior: float) -> float:
        """Return the share of bad ones, and one standard error; ``prior`` without any.

        With too low a share, a sound version would look bad after enough answers.
        """
        weight = self.answers + PRIOR_ANSWERS
        share = (self.bad + PRIOR_ANSWERS * prior) / weight
        return share + math.sqrt(share * (1.0 - share) / weight)


@attrs.define
class _Comparison:
    """Sequential test of whether the new version has more bad answers on a route.

    Page's cumulative sum: evidence for the sound version is not kept, since a version
    may turn bad late.
    """

    log_ratio: float = 0.0
    _old: tuple[_OldAnswers, ...] = attrs.field(
        factory=lambda: tuple(_OldAnswers(memory_s) for memory_s in OLD_MEMORIES_S)
    )

    def update(
        self, added: RouteAnswers, elapsed_s: float, prior: float = BAD_SHARE_MIN
    ) -> float:
        """Add answers; return the share of bad ones that a sound version would have.

        Parameters
        ----------
        prior : float
            Share without answers of the old version on the route.
        """
        for old in self._old:
            old.add(added, elapsed_s)
        sound = max(BAD_SHARE_MIN, *(old.bad_share(prior) for old in self._old))
        bad = sound + BAD_SHARE_MORE * (1.0 - sound)
        self.log_ratio += added.new_bad * math.log(bad / sound)
        self.log_ratio += added.new_good * math.log((1.0 - bad) / (1.0 - sound))
        self.log_ratio = max(0.0, self.log_ratio)
        return sound


class Verdict:
    """Compares the answers of two versions, by route and over all routes.

    Attributes
    ----------
    bad_route : str or None
        Route whose answers show that the new version is bad; `ALL_ROUTES` if only all
        together do.
    new_answers : int
        Answers of the new version.
    """

    def __init__(self) -> None:
        self.bad_route: str | None = None
        self.new_answers = 0
        self._comparisons: dict[str, _Comparison] = {}
        self._last: dict[str, RouteAnswers] = {}
        self._updated_at_s = -math.inf

    @property
    def is_suspect(self) -> bool:
        """Whether the new version may be bad, so that it gets no larger share."""
        return any(
            comparison.log_ratio >= SUSPECT_LOG_RATIO
            for comparison in self._comparisons.values()
        )

    def log_ratios(self) -> dict[str, float]:
        """Return the evidence against the new version by route, for logs."""
        return {
            route: round(comparison.log_ratio, 2)
            for route, comparison in self._comparisons.items()
        }

    def update(self, sums: Mapping[str, RouteAnswers], now_s: float) -> None:
        """Add the fleet's answers since the last call; ``sums`` are those so far."""
        # A restarted instance hears of all answers so far at once. The new version had
        # more of the late ones than of the early ones, so they can't be compared.
        is_first = self._updated_at_s == -math.inf
        elapsed_s = max(0.0, min(1.0, now_s - self._updated_at_s))
        self._updated_at_s = now_s
        total = RouteAnswers()
        added_by_route = {}
        for route, answers in sums.items():
            added = answers.since(self._last.get(route, RouteAnswers()))
            self._last[route] = attrs.evolve(answers)
            added_by_route[route] = added
            total.add(added)
        self.new_answers += total.new_good + total.new_bad
        if is_first:
            for answers in (total, *added_by_route.values()):
                answers.new_good = answers.new_bad = 0
        prior = self._compare(ALL_ROUTES, total, elapsed_s, BAD_SHARE_MIN)
        for route, added in added_by_route.items():
            self._compare(route, added, elapsed_s, prior)

    def _compare(
        self, route: str, added: RouteAnswers, elapsed_s: float, prior: float
    ) -> float:
        comparison = self._comparisons.setdefault(route, _Comparison())
        sound = comparison.update(added, elapsed_s, prior)
        if self.bad_route is None and comparison.log_ratio >= BAD_LOG_RATIO:
            self.bad_route = route
        return sound


@attrs.define(eq=False)
class VersionSide:
    """Servers that a request of a service in a roll-out may go to.

    Parameters
    ----------
    version : str
        The new version.
    is_new : bool
        Whether it goes to the new version rather than to the others.
    trial_ids : frozenset of str
        Ids of the only new servers in use; empty for all.
    barred : frozenset of str
        Versions of earlier orders that were rolled back; their servers may still run.
    """

    version: str
    is_new: bool
    trial_ids: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()

    def allows(self, server: AnnouncedServer) -> bool:
        """Return whether a server is on this side now."""
        if (server.version == self.version) is not self.is_new:
            return False
        if server.version in self.barred:
            return False
        return not self.trial_ids or server.id in self.trial_ids


@attrs.define(eq=False)
class Rollout:
    """One roll-out as an instance sees it.

    Parameters
    ----------
    order : RolloutOrder
        The operator's order.
    begun_at_s : float
        When it was given, on the clock of `boot_time_s`.
    exposure_share : float
        Of the requests that reach the service, which a bad version may get.
    slack : float
        This instance's part of the requests that a bad version may get in addition.
    draw : float
        From 0 to 1, of this instance: spreads the first sends of all instances.
    barred : frozenset of str
        Versions of earlier orders that were rolled back.

    Attributes
    ----------
    is_in_touch : bool
        Whether this instance hears of the others. If not, traffic isn't moved, as they
        may have found the version to be bad.
    new_side, old_side : VersionSide
        Live filters, which queued requests hold: a change applies to these, too.
    spare_side : VersionSide
        The old version's servers until they end, also once all traffic is moved.
    old_sent_at_s : float
        When `spare_side` was last used.
    """

    order: RolloutOrder
    begun_at_s: float
    exposure_share: float
    slack: float = 0.0
    draw: float = 0.0
    stage: Stage = Stage.TRIAL
    verdict: Verdict = attrs.field(factory=Verdict)
    reason: str = ""
    changed_at_s: float = -math.inf
    barred: frozenset[str] = frozenset()
    is_in_touch: bool = True
    new_side: VersionSide = attrs.field(init=False)
    old_side: VersionSide = attrs.field(init=False)
    spare_side: VersionSide = attrs.field(init=False)
    old_sent_at_s: float = -math.inf
    _credit: float = attrs.field(init=False)
    _joins_at_s: float = -math.inf
    _advanced_at_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self.new_side = VersionSide(self.order.version, is_new=True)
        self.old_side = VersionSide(
            self.order.version, is_new=False, barred=self.barred
        )
        self.spare_side = attrs.evolve(self.old_side)
        if self.stage is Stage.UNKNOWN:
            self._joins_at_s = self.begun_at_s + JOIN_DELAY_S
        self._credit = self.draw
        if self.stage is not Stage.UNKNOWN:
            # A restarted instance may have used up its slack before.
            self._credit += usable_slack(self.slack)

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.stage in (Stage.ROLLED_BACK, Stage.COMPLETED)

    def share(self, now_s: float) -> float:
        """Return the share of the sends that goes to the new version."""
        if self.stage is Stage.TRIAL:
            return TRIAL_SHARE_FACTOR * self.exposure_share
        if self.stage is Stage.MOVING and (
            not self.is_in_touch or self.verdict.is_suspect
        ):
            return TRIAL_SHARE_FACTOR * self.exposure_share
        if self.stage is Stage.MOVING:
            elapsed_s = min(now_s, self._advanced_at_s) - self.changed_at_s
            step = int(max(0.0, elapsed_s) / step_s(self.order.duration_s))
            return MOVING_STEPS[min(step, len(MOVING_STEPS) - 1)]
        return 1.0 if self.stage in (Stage.MOVED, Stage.COMPLETED) else 0.0

    def side_of_next(self, now_s: float, *, may_use_new: bool) -> VersionSide:
        """Return the side of the next send, and count it.

        Parameters
        ----------
        may_use_new : bool
            Whether a new server accepts a request now; until the old servers end,
            requests don't wait for one.
        """
        share = self.share(now_s)
        if share >= 1.0 and (may_use_new or self.stage is Stage.COMPLETED):
            return self.new_side
        if share >= 1.0:
            self.old_sent_at_s = now_s
            return self.spare_side
        # What was not sent to the new version isn't made up for later.
        self._credit = max(self._credit, min(1.0, self._credit + share))
        if self._credit < 1.0 or not may_use_new or share <= 0.0:
            return self.old_side
        self._credit -= 1.0
        return self.new_side

    def advance(self, sums: Mapping[str, RouteAnswers], now_s: float) -> None:
        """Move to the next stage if the evidence and the time call for it.

        Parameters
        ----------
        sums : mapping of RouteAnswers
            Answers of the whole fleet since the order, by route.
        """
        if self.is_final or self.stage is Stage.UNKNOWN:
            return
        paused_s = now_s - self._advanced_at_s
        self._advanced_at_s = now_s
        if PAUSE_MIN_S < paused_s < math.inf and self.stage is Stage.MOVING:
            # The others may have rolled back while this process stood still.
            self.changed_at_s += paused_s
        self.verdict.update(sums, now_s)
        if self.verdict.bad_route is not None:
            route = self.verdict.bad_route or "all routes"
            self.end(Stage.ROLLED_BACK, f"bad answers on {route}", now_s)
            return
        elapsed_s = now_s - self.begun_at_s
        duration_s = self.order.duration_s
        is_over = self.is_due(now_s)
        if self.stage is Stage.TRIAL:
            if is_over:
                self.end(Stage.ROLLED_BACK, "too few answers", now_s)
                return
            has_answers = self.verdict.new_answers >= answers_needed(
                elapsed_s / duration_s
            )
            if has_answers and self.is_in_touch and not self.verdict.is_suspect:
                self._enter(Stage.MOVING, now_s)
            return
        if not self.is_in_touch and not is_over:
            return
        if self.stage is Stage.MOVING and self.verdict.is_suspect:
            if is_over:
                self.end(Stage.ROLLED_BACK, "too many bad answers to move on", now_s)
            self.changed_at_s = now_s  # the steps begin anew
            return
        if self.stage is Stage.MOVING and (self.share(now_s) >= 1.0 or is_over):
            self._enter(Stage.MOVED, now_s)

    def may_complete(self, old_running: int, now_s: float) -> bool:
        """Return whether the old servers may end, or must as the deadline comes.

        Parameters
        ----------
        old_running : int
            Requests of the fleet at servers of the old version.
        """
        if self.stage is not Stage.MOVED:
            return False
        if self.is_due(now_s):
            return True
        if self.verdict.is_suspect:
            return False
        last_s = max(self.changed_at_s, self.old_sent_at_s)
        return old_running == 0 and now_s - last_s >= MOVED_MIN_S

    def is_due(self, now_s: float) -> bool:
        """Return whether the end must be written now to be in time."""
        left_s = self.begun_at_s + self.order.duration_s - now_s
        return left_s <= min(END_MARGIN_S, 0.1 * self.order.duration_s)

    def hear(self, stage: Stage, age_s: float, now_s: float) -> None:
        """Adopt what another instance knows: a later stage, and an earlier begin."""
        self.begun_at_s = min(self.begun_at_s, now_s - age_s)
        if stage <= self.stage:
            return
        is_end = stage in (Stage.ROLLED_BACK, Stage.COMPLETED)
        if not is_end and now_s < self._joins_at_s:
            return
        if is_end:
            self.end(stage, "told by another instance", now_s)
            return
        self._enter(stage, now_s)

    def end(self, stage: Stage, reason: str, now_s: float) -> None:
        """End the roll-out; queued requests go to the side that remains."""
        self.reason = reason
        self._enter(stage, now_s)

    def _enter(self, stage: Stage, now_s: float) -> None:
        self.stage = stage
        self.changed_at_s = self._advanced_at_s = now_s
        if stage is Stage.ROLLED_BACK:
            self.new_side.is_new = self.old_side.is_new = False
            self.new_side.barred = self.barred
        if stage in (Stage.MOVED, Stage.COMPLETED):
            self.new_side.is_new = self.old_side.is_new = True
        if stage is Stage.COMPLETED:
            self.spare_side.is_new = True
        if stage is not Stage.TRIAL:
            self.new_side.trial_ids = frozenset()


def answers_needed(elapsed_fraction: float) -> float:
    """Return the answers of the new version that end the trial.

    Parameters
    ----------
    elapsed_fraction : float
        Time since the order, as a fraction of that allowed.

    Examples
    --------
    >>> answers_needed(0.4), answers_needed(0.5), answers_needed(0.8)
    (inf, 30.0, 5.0)
    """
    if elapsed_fraction < TRIAL_FRACTION:
        return math.inf
    most, least = TRIAL_ANSWERS
    late = (elapsed_fraction - TRIAL_FRACTION) / (
        MOVING_LATEST_FRACTION - TRIAL_FRACTION
    )
    return max(float(least), most - (most - least) * late)


def step_s(duration_s: float) -> float:
    """Return the time of one step in which traffic is moved.

    Parameters
    ----------
    duration_s : float
        Time from the order to its deadline.

    Examples
    --------
    >>> step_s(6.0), step_s(16.0), step_s(100.0)
    (0.72, 1.5, 6.0)
    """
    least, most = (fraction * duration_s for fraction in STEP_FRACTIONS)
    return max(least, min(most, STEP_MIN_S))


def usable_slack(slack: float) -> float:
    """Return the requests that an instance sends in the trial beside the share.

    Examples
    --------
    >>> usable_slack(50 / 7) > 3.0, usable_slack(50 / 67)
    (True, 0.0)
    """
    return SLACK_FACTOR * slack if slack >= SLACK_MIN else 0.0


def trial_server(names: Sequence[str], elapsed_s: float) -> str:
    """Return the new server that gets the requests of the trial.

    One at a time, so that it bears more than a server bears when all traffic is moved:
    a version that is bad under load shows it then. They take turns, since one of them
    may be slow or crash for a reason of its own.

    Parameters
    ----------
    names : sequence of str
        Ids of the new servers, in an order that all instances share.
    elapsed_s : float
        Time since the order.

    Examples
    --------
    >>> trial_server(["e1", "e2"], 0.0), trial_server(["e1", "e2"], 3.0)
    ('e1', 'e2')
    """
    return names[int(elapsed_s / TRIAL_TURN_S) % len(names)]
