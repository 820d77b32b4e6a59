"""Replays crashes of engines under one part of a prompt, and for other reasons."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from teaseldyke.placement import CrashEvidence, SuspectReport
from teaseldyke.placement.crash_evidence import (
    ACCUSED_MAX,
    CRASHES_MAX,
    TRANSIT_MAX_S,
)
from teaseldyke.placement.suspects import (
    CAUSES_TO_HOLD,
    CLEARED_TTL_S,
    COMMON_CAUSE_S,
    QUARANTINE_S,
)

SHARED, CRASHING, COMPANION, OTHER = "5c1e", "dead", "91bd", "e440"


def prompt(*parts: str) -> list[tuple[str, int]]:
    """Return parts with their tokens, followed by one of the request's own."""
    return [*((part, 500) for part in parts), ("own", 250)]


Step = Callable[[CrashEvidence], None]


def crash(key: str, at_s: float, *parts: str) -> Step:
    return lambda evidence: evidence.accuse(key, prompt(*parts), at_s, at_s)


def early_crash(key: str, at_s: float, *parts: str) -> Step:
    """Crash an engine that had sent nothing of the answer."""
    return lambda evidence: evidence.accuse(
        key, prompt(*parts), at_s, at_s, has_begun=False
    )


def sound(at_s: float, *parts: str) -> Step:
    return lambda evidence: evidence.clear(prompt(*parts), at_s)


class TestQuarantine:
    @pytest.mark.parametrize(
        ("steps", "expected"),
        [
            ([crash("e1", 5.0, SHARED, CRASHING)], set()),
            (
                [
                    sound(4.0, SHARED),
                    crash("e1", 5.0, SHARED, CRASHING),
                    crash("e2", 6.0, SHARED, CRASHING),
                ],
                {CRASHING},
            ),
            # The companion comes only with it, and is as deep or deeper.
            (
                [
                    crash("e1", 5.0, CRASHING, COMPANION),
                    crash("e2", 6.0, CRASHING, OTHER),
                ],
                {CRASHING},
            ),
            # Two requests about to begin at one crash: which one it was isn't known.
            (
                [crash("e1", 5.0, COMPANION), crash("e1", 5.0, CRASHING)],
                set(),
            ),
            (
                [
                    crash("e1", 5.0, COMPANION),
                    crash("e1", 5.0, CRASHING),
                    crash("e2", 6.0, CRASHING),
                ],
                {CRASHING},
            ),
            # One crash for another reason before the first under the crashing part.
            (
                [
                    sound(4.0, SHARED),
                    crash("e1", 5.0, SHARED),
                    crash("e2", 6.0, SHARED, CRASHING),
                ],
                set(),
            ),
            # A failure domain of three engines without power, while a part is new.
            ([crash(f"e{i}", 5.0 + i / 50, COMPANION) for i in range(3)], set()),
            # So many requests with the part that engines crash faster than one learns.
            (
                [crash(f"e{i}", 5.0 + i / 50, SHARED, CRASHING) for i in range(9)],
                {CRASHING},
            ),
            # A part that was sound for long may begin to crash engines.
            (
                [
                    sound(4.0, SHARED),
                    crash("e1", 5.0, SHARED),
                    crash("e2", 6.0, SHARED),
                    crash("e3", 7.0, SHARED),
                ],
                {SHARED},
            ),
            # A sound part between crashes for other reasons.
            (
                [
                    crash("e1", 5.0, SHARED),
                    sound(5.4, SHARED),
                    crash("e2", 6.0, SHARED),
                    sound(6.4, SHARED),
                    crash("e3", 7.0, SHARED),
                ],
                set(),
            ),
            # Two crashing parts.
            (
                [
                    crash("e1", 5.0, SHARED, CRASHING),
                    crash("e2", 6.0, SHARED, CRASHING),
                    crash("e3", 7.0, SHARED, OTHER),
                    sound(7.5, SHARED),
                    crash("e4", 8.0, SHARED, OTHER),
                ],
                {CRASHING, OTHER},
            ),
            # Engines that die before they send a header, with many requests each.
            (
                [
                    early_crash(f"e{i}", 5.0 + i, *parts)
                    for i in range(3)
                    for parts in ((SHARED, f"s{i}"), (SHARED, CRASHING))
                ]
                + [sound(6.5, SHARED)],
                {CRASHING},
            ),
            # Two such crashes may meet requests of one rare session.
            ([early_crash(f"e{i}", 5.0 + i, OTHER) for i in range(2)], set()),
            # A failure domain of many engines without power, at each the same parts.
            (
                [sound(4.0, SHARED)]
                + [
                    early_crash(f"e{i}", 5.0 + i / 100, *parts)
                    for i in range(20)
                    for parts in ((SHARED,), (OTHER,))
                ],
                set(),
            ),
            # A part at five engines that die at once, and at another one later.
            (
                [early_crash(f"e{i}", 5.0 + i / 50, CRASHING) for i in range(5)]
                + [early_crash("e0b", 7.0, CRASHING)],
                {CRASHING},
            ),
            # The request that was about to begin explains both of them better.
            (
                [early_crash(f"e{i}", 5.0 + i, COMPANION) for i in range(3)]
                + [crash(f"e{i}", 5.0 + i, CRASHING) for i in range(3)],
                {CRASHING},
            ),
        ],
        ids=[
            "one-crash",
            "second-crash",
            "companions-differ",
            "two-at-one-crash",
            "two-at-one-crash-one-again",
            "other-reason-first",
            "common-cause",
            "storm-of-requests",
            "turned-crashing",
            "sound-in-between",
            "two-parts",
            "early-crashes",
            "two-early-crashes",
            "early-common-cause",
            "early-crashes-at-once",
            "early-and-begun",
        ],
    )
    def test_part_that_crashes_engines_is_quarantined(
        self, steps: list[Step], expected: set[str]
    ) -> None:
        evidence = CrashEvidence()
        for step in steps:
            step(evidence)
        assert evidence.quarantined == expected

    def test_parts_that_were_sound_lately_make_no_news_of_an_early_crash(self) -> None:
        """All instances told all others of the parts of all requests at each crash."""
        evidence = CrashEvidence()
        sound(4.0, SHARED)(evidence)
        early_crash("e1", 5.0, SHARED, OTHER)(evidence)
        assert [report.key for report in evidence.news(5.0, relayed=False)] == [OTHER]

    def test_prompt_with_it_is_refused_whatever_else_it_holds(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, SHARED, CRASHING)(evidence)
        crash("e2", 6.0, SHARED, CRASHING)(evidence)
        assert evidence.refused_part(prompt(OTHER, CRASHING, COMPANION)) == CRASHING
        assert evidence.refused_part(prompt(SHARED, OTHER)) is None
        assert evidence.refused_part([(CRASHING, 250)]) is None  # its own last part

    def test_long_keys_are_told_apart_and_bounded(self) -> None:
        evidence = CrashEvidence()
        for key, at_s in (("e1", 5.0), ("e2", 6.0)):
            crash(key, at_s, "a" * 5000 + "b")(evidence)
        assert evidence.refused_part(prompt("a" * 5000 + "b")) is not None
        assert evidence.refused_part(prompt("a" * 5000 + "c")) is None
        assert all(len(report.key) < 50 for report in evidence.reports(7.0))

    def test_wrongly_quarantined_part_is_released_by_a_request_that_runs(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, COMPANION)(evidence)
        crash("e2", 6.0, COMPANION)(evidence)
        assert evidence.quarantined == {COMPANION}
        sound(6.1, COMPANION)(evidence)
        assert not evidence.quarantined

    def test_quarantine_ends_and_one_more_crash_renews_it(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, CRASHING)(evidence)
        crash("e2", 6.0, CRASHING)(evidence)
        evidence.refresh(6.0 + QUARANTINE_S - 1.0)
        assert evidence.quarantined == {CRASHING}
        evidence.refresh(6.0 + QUARANTINE_S + 1.0)
        assert not evidence.quarantined
        crash("e3", 6.0 + QUARANTINE_S + 2.0, CRASHING)(evidence)
        assert evidence.quarantined == {CRASHING}

    def test_memory_is_bounded_and_keeps_what_crashed_most(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, CRASHING)(evidence)
        crash("e2", 6.0, CRASHING)(evidence)
        for i in range(10 * ACCUSED_MAX):
            crash(f"f{i}", 7.0 + i, f"rare-{i}")(evidence)
        for i in range(3 * CRASHES_MAX):
            crash(f"g{i}", 500.0 + i, CRASHING)(evidence)
        reports = evidence.reports(530.0)
        assert len(reports) <= ACCUSED_MAX
        assert max(len(report.crash_ages_s) for report in reports) <= CRASHES_MAX
        assert evidence.quarantined == {CRASHING}


class TestRepetition:
    @pytest.mark.parametrize(
        ("steps", "parts", "expected"),
        [
            ([], (), True),
            ([], (OTHER,), False),
            ([sound(4.0, SHARED)], (SHARED,), True),
            ([sound(4.0, SHARED)], (SHARED, CRASHING), False),
            ([sound(6.0 - CLEARED_TTL_S - 1.0, SHARED)], (SHARED,), False),
            ([sound(4.0, SHARED), crash("e0", 5.0, SHARED)], (SHARED,), False),
            (
                [sound(4.0, SHARED), crash("e0", 5.0, SHARED), sound(5.5, SHARED)],
                (SHARED,),
                True,
            ),
        ],
        ids=[
            "no-parts",
            "never-seen",
            "sound",
            "one-never-seen",
            "sound-long-ago",
            "second-crash",
            "sound-since",
        ],
    )
    def test_only_sound_prompts_go_to_another_engine(
        self, steps: list[Step], parts: tuple[str, ...], expected: bool
    ) -> None:
        evidence = CrashEvidence()
        for step in steps:
            step(evidence)
        crash("e1", 6.0, *parts)(evidence)
        assert evidence.may_repeat(prompt(*parts), 6.0) is expected


class TestExchange:
    def test_two_crashes_seen_by_different_instances_add_up(self) -> None:
        one, other, late = CrashEvidence(), CrashEvidence(), CrashEvidence()
        crash("e1", 5.0, SHARED, CRASHING)(one)
        crash("e2", 6.0, SHARED, CRASHING)(other)
        sound(6.9, SHARED)(other)
        one.merge(other.reports(7.0), 7.1)
        other.merge(one.reports(7.1), 7.2)
        late.merge(other.reports(7.2), 7.3)  # an instance that has just started
        assert one.quarantined == other.quarantined == late.quarantined == {CRASHING}

    def test_one_crash_seen_by_all_instances_counts_once(self) -> None:
        instances = [CrashEvidence() for _ in range(5)]
        for i, evidence in enumerate(instances):
            crash("e1", 5.0 + i * COMMON_CAUSE_S, CRASHING)(evidence)
        for evidence in instances[1:]:
            instances[0].merge(evidence.reports(8.0), 8.1)
        assert not instances[0].quarantined

    def test_clearance_is_told_and_does_not_grow_younger_on_its_way(self) -> None:
        one, other = CrashEvidence(), CrashEvidence()
        sound(4.0, SHARED)(one)
        crash("e1", 5.0, SHARED)(one)
        crash("e2", 6.0, SHARED)(one)
        crash("e3", 7.0, SHARED)(one)
        for i in range(200):
            now_s = 7.0 + i * 0.2
            other.merge(one.reports(now_s), now_s + 0.1)
            one.merge(other.reports(now_s + 0.1), now_s + 0.2)
        assert one.quarantined == other.quarantined == {SHARED}
        sound(50.0, SHARED)(other)
        one.merge(other.reports(50.0), 50.1)
        assert not one.quarantined

    @pytest.mark.parametrize("age_s", [-5.0, 1e300, float("inf")])
    def test_odd_ages_do_no_harm(self, age_s: float) -> None:
        evidence = CrashEvidence()
        evidence.merge([SuspectReport(CRASHING, 1, age_s, {"e1": age_s})], 10.0)
        assert not evidence.quarantined


@attrs.define(eq=False)
class Instance:
    evidence: CrashEvidence = attrs.field(factory=CrashEvidence)


class CrashingFleet(RuleBasedStateMachine):
    """Instances that send prompts, engines that crash, messages in any order."""

    INSTANCES = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.fleet = [Instance() for _ in range(3)]
        self.messages: list[tuple[float, list[SuspectReport]]] = []
        self.crashes = 0
        self.sent_although_known = 0

    def _send(self, i: int, parts: list[tuple[str, int]]) -> None:
        evidence = self.fleet[i].evidence
        if evidence.refused_part(parts) is not None:
            return
        if CRASHING in [part for part, _ in parts]:
            self._crash(i, parts)
            return
        evidence.clear(parts, self.now_s)

    def _crash(self, i: int, parts: list[tuple[str, int]]) -> None:
        self.crashes += 1
        key = f"e{self.crashes}"
        self.fleet[i].evidence.accuse(key, parts, self.now_s, self.now_s)

    def _exchange_all(self) -> None:
        for _ in range(2):
            self.now_s += 0.1
            for sender in self.fleet:
                reports = sender.evidence.reports(self.now_s)
                for receiver in self.fleet:
                    receiver.evidence.merge(reports, self.now_s + 0.05)

    @initialize()
    def start(self) -> None:
        self._send(0, prompt(SHARED, COMPANION))

    @rule(i=INSTANCES, crashing=st.booleans(), companion=st.booleans())
    def request(self, i: int, crashing: bool, companion: bool) -> None:
        parts = [SHARED] + [COMPANION] * companion + [CRASHING] * crashing
        self._send(i, prompt(*parts))

    @rule(i=INSTANCES, companion=st.booleans())
    def crash_for_another_reason(self, i: int, companion: bool) -> None:
        self._crash(i, prompt(SHARED, *([COMPANION] * companion)))

    @rule(i=INSTANCES)
    def report(self, i: int) -> None:
        reports = self.fleet[i].evidence.reports(self.now_s)
        self.messages.append((self.now_s, reports))

    @rule(i=INSTANCES, data=st.data())
    def deliver(self, i: int, data: st.DataObject) -> None:
        """Deliver a message in any order, perhaps again, perhaps never."""
        recent = [m for at_s, m in self.messages if self.now_s - at_s <= TRANSIT_MAX_S]
        if recent:
            message = data.draw(st.sampled_from(recent))
            self.fleet[i].evidence.merge(message, self.now_s)

    @rule(i=INSTANCES)
    def restart(self, i: int) -> None:
        self.fleet[i] = Instance()

    @rule(time_s=st.sampled_from([0.01, 0.2, 0.5, 3.0]))
    def wait(self, time_s: float) -> None:
        self.now_s += time_s

    @invariant()
    def crashing_part_is_never_cleared(self) -> None:
        for instance in self.fleet:
            assert CRASHING not in instance.evidence._cleared

    def _run_sound_requests(self) -> None:
        """Requests that run already begin to be answered at every instance."""
        for instance in self.fleet:
            self.now_s += 0.1
            instance.evidence.clear(prompt(SHARED, COMPANION), self.now_s)
        self.now_s += TRANSIT_MAX_S
        self._exchange_all()

    @rule()
    def settle(self) -> None:
        """Few more engines crash, and all instances refuse just the crashing part."""
        before = self.crashes
        self._run_sound_requests()
        for i in (0, 1, 2, 0, 1, 2):
            self.now_s += 2.0 * COMMON_CAUSE_S
            self._send(i, prompt(SHARED, COMPANION, CRASHING))
            self._exchange_all()
            self._run_sound_requests()
        assert self.crashes - before <= CAUSES_TO_HOLD
        for instance in self.fleet:
            assert instance.evidence.quarantined == {CRASHING}


CrashingFleet.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestAnyOrder = CrashingFleet.TestCase
