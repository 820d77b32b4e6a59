"""Plays roll-outs of sound and bad versions over instances that exchange sums."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import pytest

from teaseldyke.placement import (
    Rollout,
    RouteAnswers,
    Stage,
    Verdict,
)
from teaseldyke.types import AnnouncedServer, RolloutOrder

EXPOSURE_SHARE = 0.1  # stated by the operators, with a slack of 50 requests
EXPOSURE_SLACK = 50
ORDER = RolloutOrder("app", "v2", 16.0)
INSTANCES = 60
ROUTES = {"long": 0.2, "short": 0.5, "tags": 0.3}  # shares of the requests
REQUESTS_PER_S = 600
SLACK = EXPOSURE_SLACK / INSTANCES
STEP_S = 0.1
LAG_S = 0.5  # of the sums
BAD_ANSWERS_OLD = 0.05

# Share of bad answers of the new version, by route, time and its share of the load.
BadShare = Callable[[str, float, float], float]


def after(seconds: float, share: float = 0.5) -> BadShare:
    return lambda _route, now_s, _load: share if now_s >= seconds else 0.05


BAD = {
    "at-once": after(0.0),
    "late": after(3.0),
    "one-route": lambda route, _now_s, _load: 0.5 if route == "long" else 0.05,
    "under-load": lambda _route, _now_s, load: 0.5 if load > 0.15 else 0.05,
    "after-the-trial": after(9.0),
}
SOUND = {
    "sound": lambda _route, _now_s, _load: 0.05,
    "all-bad-for-a-while": lambda _route, now_s, _load: (
        0.4 if 6.0 <= now_s < 9.0 else 0.05
    ),
}


@attrs.define
class Outcome:
    stage: Stage
    new: int = 0
    total: int = 0
    sent_after_end: int = 0


def play(bad_share: BadShare, seed: int, restarts: int = 0) -> Outcome:
    """Play a roll-out until its deadline."""
    draw = random.Random(seed)
    is_hard = bad_share is SOUND["all-bad-for-a-while"]
    rollouts = [
        Rollout(ORDER, 0.0, EXPOSURE_SHARE, SLACK, draw.random())
        for _ in range(INSTANCES)
    ]
    own: list[dict[str, RouteAnswers]] = [{} for _ in rollouts]
    told: list[tuple[float, dict[str, RouteAnswers], Stage]] = []
    outcome = Outcome(Stage.TRIAL)
    for step in range(int(ORDER.duration_s / STEP_S)):
        now_s = step * STEP_S
        if step and restarts and step % 20 == 0:
            i = draw.randrange(INSTANCES)
            rollouts[i] = Rollout(
                ORDER, now_s, EXPOSURE_SHARE, SLACK, draw.random(), Stage.UNKNOWN
            )
            own[i] = {}
        share = max(rollout.share(now_s) for rollout in rollouts)
        for _ in range(int(REQUESTS_PER_S * STEP_S)):
            i = draw.randrange(INSTANCES)
            route = draw.choices(list(ROUTES), list(ROUTES.values()))[0]
            side = rollouts[i].side_of_next(now_s, may_use_new=True)
            server = AnnouncedServer("e", 1, "app", "h", 1, "a", 1, False, 0.0, 1, "v2")
            is_new = side.allows(server)
            outcome.total += 1
            outcome.new += is_new
            if outcome.stage is Stage.ROLLED_BACK:
                outcome.sent_after_end += is_new
            rate = bad_share(route, now_s, share) if is_new else BAD_ANSWERS_OLD
            if is_hard and 6.0 <= now_s < 9.0:
                rate = 0.4
            answers = own[i].setdefault(route, RouteAnswers())
            kind = "new" if is_new else "old"
            result = "bad" if draw.random() < rate else "good"
            name = f"{kind}_{result}"
            setattr(answers, name, getattr(answers, name) + 1)
        sums: dict[str, RouteAnswers] = {}
        for answers_of in own:
            for route, answers in answers_of.items():
                sums.setdefault(route, RouteAnswers()).add(answers)
        told.append((now_s, sums, max(rollout.stage for rollout in rollouts)))
        heard = [entry for entry in told if entry[0] <= now_s - LAG_S]
        for rollout in rollouts:
            if heard:
                rollout.hear(heard[-1][2], heard[-1][0], now_s)
                rollout.advance(heard[-1][1], now_s)
        outcome.stage = max(outcome.stage, min(r.stage for r in rollouts))
    if all(rollout.may_complete(0, ORDER.duration_s) for rollout in rollouts):
        outcome.stage = Stage.COMPLETED
    return outcome


class TestPlays:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("restarts", [0, 1], ids=["steady", "restarts"])
    @pytest.mark.parametrize("name", BAD)
    def test_bad_version_is_rolled_back_within_its_share(
        self, name: str, restarts: int, seed: int
    ) -> None:
        outcome = play(BAD[name], seed, restarts)
        assert outcome.stage is Stage.ROLLED_BACK
        assert outcome.new <= EXPOSURE_SHARE * outcome.total + EXPOSURE_SLACK
        assert not outcome.sent_after_end

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("name", SOUND)
    def test_sound_version_is_completed(self, name: str, seed: int) -> None:
        """Also while both versions have many bad answers, as in a crash."""
        assert play(SOUND[name], seed).stage is Stage.COMPLETED


class TestVerdict:
    @pytest.mark.parametrize(
        ("old_bad", "new_bad", "answers", "least", "most"),
        [
            (0.05, 0.05, 5000, 0.0, 0.01),
            (0.3, 0.3, 5000, 0.0, 0.01),
            (0.05, 0.5, 60, 0.99, 1.0),
            (0.3, 0.8, 60, 0.95, 1.0),
        ],
        ids=["sound", "sound-in-a-bad-hour", "bad", "bad-in-a-bad-hour"],
    )
    def test_error_probabilities(
        self, old_bad: float, new_bad: float, answers: int, least: float, most: float
    ) -> None:
        """Share of 200 trials in which the new version is found to be bad."""
        draw = random.Random(57)
        found = 0
        for _ in range(200):
            verdict = Verdict()
            sums = RouteAnswers(0, 0, 950, int(1000 * old_bad))
            for i in range(answers):
                sums.new_bad += (bad := draw.random() < new_bad)
                sums.new_good += not bad
                old = draw.random() < old_bad
                sums.old_bad += old
                sums.old_good += not old
                if i % 5 == 0:
                    verdict.update({"route": sums}, i * 0.01)
            found += verdict.bad_route is not None
        assert least <= found / 200 <= most


class TestStages:
    def test_version_without_servers_is_rolled_back_at_the_deadline(self) -> None:
        rollout = Rollout(ORDER, 0.0, EXPOSURE_SHARE)
        rollout.advance({}, 15.5)
        assert rollout.stage is Stage.ROLLED_BACK

    def test_old_servers_end_only_when_they_are_empty_or_time_is_up(self) -> None:
        rollout = Rollout(ORDER, 0.0, EXPOSURE_SHARE, stage=Stage.MOVED)
        assert not rollout.may_complete(3, 12.0)
        assert rollout.may_complete(0, 12.0)
        assert rollout.may_complete(3, 15.2)

    def test_queued_request_is_taken_from_a_bad_version(self) -> None:
        """It was sent there after the roll-back, since it had been assigned before."""
        rollout = Rollout(ORDER, 0.0, EXPOSURE_SHARE, draw=1.0)
        side = rollout.side_of_next(0.0, may_use_new=True)
        server = AnnouncedServer("e", 1, "app", "h", 1, "a", 1, False, 0.0, 1, "v2")
        assert side.allows(server)
        rollout.hear(Stage.ROLLED_BACK, 1.0, 1.0)
        assert not side.allows(server)

    def test_restarted_instance_sends_nothing_to_the_new_version(self) -> None:
        rollout = Rollout(ORDER, 0.0, EXPOSURE_SHARE, draw=1.0, stage=Stage.UNKNOWN)
        assert rollout.side_of_next(0.0, may_use_new=True) is rollout.old_side

    @pytest.mark.parametrize("read", [Stage.UNKNOWN, Stage.TRIAL])
    def test_restarted_instance_waits_before_it_adopts_a_stage(
        self, read: Stage
    ) -> None:
        """What it was told first was older than the roll-back.

        Also if it had read in the store that the roll-out runs.
        """
        rollout = Rollout(ORDER, 8.0, EXPOSURE_SHARE, stage=Stage.UNKNOWN)
        rollout.stage = read
        rollout.hear(Stage.MOVED, 7.5, 8.1)
        assert rollout.stage is read
        rollout.hear(Stage.MOVED, 9.0, 9.1)
        assert rollout.stage is Stage.MOVED

    def test_restarted_instance_does_not_judge_by_all_answers_so_far(self) -> None:
        """A sound version had most of its answers while all servers were in trouble."""
        rollout = Rollout(
            ORDER, 8.0, EXPOSURE_SHARE, stage=Stage.MOVING, changed_at_s=8.4
        )
        rollout.advance({"long": RouteAnswers(60, 40, 3860, 240)}, 8.5)
        rollout.advance({"long": RouteAnswers(61, 40, 3861, 240)}, 8.6)
        assert rollout.stage is Stage.MOVING

    @pytest.mark.parametrize("stage", [Stage.TRIAL, Stage.MOVING])
    def test_suspect_version_gets_no_larger_share(self, stage: Stage) -> None:
        """With few requests, most of them went to a bad version before it was found."""
        rollout = Rollout(ORDER, 0.0, EXPOSURE_SHARE, stage=stage, changed_at_s=8.0)
        rollout.advance({}, 8.0)
        rollout.advance({"long": RouteAnswers(30, 0, 500, 10)}, 8.1)
        rollout.stage, rollout.changed_at_s = stage, 8.0
        rollout.advance({"long": RouteAnswers(30, 4, 540, 10)}, 8.2)
        assert rollout.stage is stage
        rollout.advance({"long": RouteAnswers(30, 4, 540, 10)}, 12.0)
        assert rollout.stage is stage
        assert rollout.share(12.0) <= EXPOSURE_SHARE

    def test_frozen_instance_goes_on_where_it_stood(self) -> None:
        """It sent all requests to the new version before it heard of the others."""
        rollout = Rollout(
            ORDER, 0.0, EXPOSURE_SHARE, stage=Stage.MOVING, changed_at_s=8.0
        )
        rollout.advance({}, 8.1)
        assert rollout.share(12.0) == 0.2
        rollout.advance({}, 12.0)
        assert rollout.stage is Stage.MOVING
        assert rollout.share(12.0) == 0.2
