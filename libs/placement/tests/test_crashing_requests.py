"""Replays requests that crash the servers that run them, and come again."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from teaseldyke.placement import CrashEvidence, RequestIdentity, SuspectReport, Work
from teaseldyke.placement.crash_evidence import REQUESTS_MAX, TRANSIT_MAX_S
from teaseldyke.placement.suspects import (
    COMMON_CAUSE_S,
    REQUEST_HOLD_SPREAD,
    REQUEST_HOLDS_S,
)

FREE_CRASHES = 3
LATE_MAX = 3  # sends of a request after its third crash
SHARED = "5c1e"
# Longest time for which a sound request is refused, unless further crashes accuse it.
HELD_MAX_S = REQUEST_HOLDS_S[0] * (1.0 + REQUEST_HOLD_SPREAD)


def request(name: str, organisation: str = "parish-9") -> RequestIdentity:
    return RequestIdentity(organisation, "POST", "a.example", "/x/1", name.encode())


DEADLY, SOUND, OTHER = request("deadly"), request("sound"), request("other")
Step = Callable[[CrashEvidence], None]


def crash(key: str, at_s: float, *requests: RequestIdentity, sequel: bool = False):
    def step(evidence: CrashEvidence) -> None:
        for suspect in requests:
            parts = [(SHARED, 500), (suspect.key, 250)]
            evidence.accuse(key, parts, at_s, at_s, suspect, is_sequel=sequel)

    return step


def answer(at_s: float, *requests: RequestIdentity) -> Step:
    def step(evidence: CrashEvidence) -> None:
        for answered in requests:
            evidence.clear([(SHARED, 500), (answered.key, 250)], at_s, answered)

    return step


class TestHold:
    @pytest.mark.parametrize(
        ("steps", "held", "quarantined"),
        [
            ([crash("e1", 5.0, DEADLY)], [], []),
            ([crash("e1", 5.0, DEADLY), crash("e2", 6.0, DEADLY)], [DEADLY], []),
            # Sound requests share its prompt and are answered between the crashes.
            (
                [
                    answer(4.0, OTHER),
                    crash("e1", 5.0, DEADLY, SOUND),
                    answer(5.5, SOUND, OTHER),
                    crash("e2", 6.0, DEADLY, OTHER),
                ],
                [DEADLY],
                [],
            ),
            # Sent again after the first crash, as soon as that was noticed.
            (
                [
                    crash("e1", 5.0, DEADLY),
                    crash("e2", 5.06, DEADLY, sequel=True),
                ],
                [DEADLY],
                [],
            ),
            # Copies that run at once: one of two crashes may have had another cause.
            ([crash("e1", 5.0, DEADLY), crash("e2", 5.1, DEADLY)], [], []),
            (
                [crash(f"e{i}", 5.0 + 0.1 * i, DEADLY) for i in range(FREE_CRASHES)],
                [DEADLY],
                [],
            ),
            # Which of both it was can't be told.
            (
                [crash("e1", 5.0, DEADLY, SOUND), crash("e2", 6.0, DEADLY, SOUND)],
                [DEADLY, SOUND],
                [],
            ),
            # One crash more tells: the other had none of its own.
            (
                [
                    crash("e1", 5.0, DEADLY, SOUND),
                    crash("e2", 6.0, DEADLY, SOUND),
                    crash("e3", 7.0, DEADLY),
                ],
                [DEADLY],
                [],
            ),
            # Both crash servers; the first was at one crash of the second.
            (
                [
                    crash("e1", 5.0, OTHER),
                    crash("e2", 6.0, OTHER),
                    crash("e3", 7.0, OTHER, DEADLY),
                    crash("e4", 8.0, DEADLY),
                    crash("e5", 9.0, DEADLY),
                    answer(9.5, SOUND),
                ],
                [OTHER, DEADLY],
                [],
            ),
            # All its crashes are explained by others, who were at more of them.
            (
                [
                    crash("e1", 5.0, OTHER, DEADLY),
                    crash("e2", 6.0, OTHER, DEADLY),
                    crash("e3", 7.0, OTHER),
                    crash("e4", 8.0, SOUND, DEADLY),
                    crash("e5", 9.0, SOUND),
                    answer(9.5, request("popular")),
                ],
                [OTHER, SOUND, DEADLY],
                [],
            ),
            # A popular request is at each crash, and answered between them.
            (
                [
                    step
                    for i in range(6)
                    for step in (
                        crash(f"e{i}", 5.0 + i, SOUND),
                        answer(5.5 + i, SOUND),
                    )
                ],
                [],
                [],
            ),
            # Different requests with one part: the part explains the crashes.
            (
                [crash("e1", 5.0, DEADLY), crash("e2", 6.0, OTHER)],
                [],
                [SHARED],
            ),
            # One of them came twice.
            (
                [
                    crash("e1", 5.0, DEADLY),
                    crash("e2", 6.0, DEADLY),
                    crash("e3", 7.0, OTHER),
                ],
                [],
                [SHARED],
            ),
        ],
        ids=[
            "one-crash",
            "second-crash",
            "sound-between",
            "sent-again",
            "two-at-once",
            "three-at-once",
            "two-suspects",
            "two-suspects-told-apart",
            "two-that-crash",
            "explained-by-others",
            "popular",
            "part",
            "part-and-a-repeat",
        ],
    )
    def test_request_that_crashes_servers_is_held(
        self,
        steps: list[Step],
        held: list[RequestIdentity],
        quarantined: list[str],
    ) -> None:
        evidence = CrashEvidence()
        for step in steps:
            step(evidence)
        assert evidence.held == {item.key for item in held}
        assert evidence.quarantined == set(quarantined)

    @pytest.mark.parametrize(
        ("crashing", "sound"),
        [(DEADLY, SOUND), (SOUND, DEADLY)],
        ids=["first", "second"],
    )
    def test_request_that_was_at_fewer_crashes_is_released_at_once(
        self, crashing: RequestIdentity, sound: RequestIdentity
    ) -> None:
        """The third crash comes too soon after the second to count as a cause."""
        evidence = CrashEvidence()
        crash("e1", 5.66, crashing, sound)(evidence)
        crash("e2", 6.09, crashing, sound)(evidence)
        crash("e3", 6.19, crashing)(evidence)
        answer(6.2, OTHER)(evidence)
        assert evidence.held == {crashing.key}

    def test_same_request_is_refused_wherever_it_comes_from(self) -> None:
        same = request("deadly")
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        assert evidence.is_held(same)
        work = Work("parish-9", 0.0, 1.0, 1.0, 1.0, identity=same)
        assert evidence.refused_suspect(work) == DEADLY.key
        assert evidence.crashes_of(DEADLY.key) == ["e1", "e2"]

    @pytest.mark.parametrize(
        "other",
        [
            SOUND,
            request("deadly", organisation="parish-8"),
            request("deadly", organisation=""),
            RequestIdentity("parish-9", "GET", "a.example", "/x/1", b"deadly"),
            RequestIdentity("parish-9", "POST", "b.example", "/x/1", b"deadly"),
            RequestIdentity("parish-9", "POST", "a.example", "/x/1?a", b"deadly"),
            RequestIdentity("parish-9", "POST", "a.example", "/x/1d", b"eadly"),
            RequestIdentity("p" * 100, "POST", "a.example", "/x/1", b"deadly"),
        ],
        ids=["body", "caller", "none", "method", "host", "query", "shifted", "long"],
    )
    def test_another_request_is_not(self, other: RequestIdentity) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        assert not evidence.is_held(other)

    def test_answer_to_a_request_with_its_parts_does_not_release_it(self) -> None:
        """It was released by any sound request, and passed again."""
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        answer(6.5, SOUND, OTHER)(evidence)
        assert evidence.is_held(DEADLY)

    def test_operator_releases_it(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        assert evidence.release(DEADLY.key, 7.0)
        assert not evidence.is_held(DEADLY)
        assert not evidence.release(SOUND.key, 7.0)

    def test_bodies_are_not_hashed_while_their_callers_and_paths_are_sound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)

        def fail(_self: RequestIdentity) -> str:
            raise AssertionError("hashed")

        monkeypatch.setattr(RequestIdentity, "_digest", fail)
        other = RequestIdentity("parish-9", "POST", "a.example", "/y", b"x" * 1000)
        assert not evidence.is_held(other)
        assert not evidence.record_send(other, 7.0)
        evidence.clear([], 7.0, other)

    def test_memory_is_bounded_and_keeps_what_crashed_most(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        for i in range(REQUESTS_MAX + 200):
            suspect = request(f"rare-{i}")
            evidence.accuse(f"f{i}", (), 7.0 + i / 100, 7.0 + i / 100, suspect)
        assert len(evidence.reports(30.0)) <= REQUESTS_MAX + 1
        assert evidence.is_held(DEADLY)


class TestTrials:
    def _exchange(self, fleet: list[CrashEvidence], now_s: float) -> None:
        for _ in range(2):
            for sender in fleet:
                for receiver in fleet:
                    receiver.merge(sender.reports(now_s), now_s)

    @pytest.mark.parametrize("interval_s", [0.5, 7.0, 61.0, 900.0])
    def test_few_sends_follow_the_third_crash_however_often_it_comes(
        self, interval_s: float
    ) -> None:
        fleet = [CrashEvidence(spread=i / 3) for i in range(3)]
        crashes = 0
        for i in range(min(8000, int(70_000 / interval_s))):
            now_s = 100.0 + i * interval_s
            evidence = fleet[i % 3]
            evidence.refresh(now_s)
            if not evidence.is_held(DEADLY):
                evidence.record_send(DEADLY, now_s)
                crashes += 1
                evidence.accuse(f"e{i}", (), now_s, now_s, DEADLY)
            self._exchange(fleet, now_s + 0.1)
        assert crashes <= FREE_CRASHES + LATE_MAX

    def test_only_one_copy_is_tried_at_a_time(self) -> None:
        evidence = CrashEvidence()
        crash("e1", 5.0, DEADLY)(evidence)
        crash("e2", 6.0, DEADLY)(evidence)
        later_s = 6.0 + HELD_MAX_S
        evidence.refresh(later_s)
        assert not evidence.is_held(DEADLY)
        assert evidence.record_send(DEADLY, later_s)
        assert evidence.is_held(DEADLY)

    def test_wrongly_held_request_is_served_after_a_stated_time(self) -> None:
        fleet = [CrashEvidence(spread=i / 3) for i in range(3)]
        for i, at_s in enumerate((5.0, 6.0)):
            crash(f"e{i}", at_s, DEADLY, SOUND)(fleet[0])
        self._exchange(fleet, 7.0)
        assert all(evidence.is_held(SOUND) for evidence in fleet)
        later_s = 7.0 + HELD_MAX_S
        for evidence in fleet:
            evidence.refresh(later_s)
            assert not evidence.is_held(SOUND)
        assert fleet[1].record_send(SOUND, later_s)
        fleet[1].clear([], later_s + 0.3, SOUND)
        self._exchange(fleet, later_s + 0.4)
        assert not any(evidence.is_held(SOUND) for evidence in fleet)
        assert not any(evidence.record_send(SOUND, later_s + 1.0) for evidence in fleet)


class TestExchange:
    def test_crashes_seen_by_different_instances_add_up(self) -> None:
        one, other, late = CrashEvidence(), CrashEvidence(), CrashEvidence()
        crash("e1", 5.0, DEADLY)(one)
        crash("e2", 6.0, DEADLY)(other)
        one.merge(other.news(6.1, relayed=False), 6.2)
        assert one.is_held(DEADLY)
        late.merge(one.sample(900.0, 0), 900.1)  # an instance that has just started
        assert late.crashes_of(DEADLY.key) == ["e1", "e2"]

    def test_news_of_others_are_relayed_only_if_asked(self) -> None:
        one, other = CrashEvidence(), CrashEvidence()
        crash("e1", 5.0, DEADLY)(one)
        other.merge(one.news(5.1, relayed=False), 5.2)
        assert not other.news(5.3, relayed=False)
        assert other.news(5.3, relayed=True)

    def test_all_suspects_are_told_in_turn(self) -> None:
        one = CrashEvidence()
        requests = [request(f"r-{i}") for i in range(50)]
        for i, suspect in enumerate(requests):
            one.accuse(f"e{i}", (), 5.0, 5.0, suspect)
        told: set[str] = set()
        for _ in range(5):
            told |= {report.key for report in one.sample(9.0, 10)}
        assert told == {suspect.key for suspect in requests}


class CrashingFleet(RuleBasedStateMachine):
    """Instances that send requests, servers that crash, messages in any order."""

    INSTANCES = st.integers(0, 2)
    COMPANIONS = st.sets(st.sampled_from(["sound", "other", "popular"]))

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.fleet = [CrashEvidence(spread=i / 3) for i in range(3)]
        self.messages: list[tuple[float, list[SuspectReport]]] = []
        self.crashes = 0

    def _crash(self, i: int, names: set[str]) -> None:
        self.crashes += 1
        for name in sorted(names):
            self.fleet[i].accuse(
                f"e{self.crashes}", (), self.now_s, self.now_s, request(name)
            )

    def _send_deadly(self, i: int, companions: set[str]) -> None:
        evidence = self.fleet[i]
        evidence.refresh(self.now_s)
        if evidence.is_held(DEADLY):
            return
        evidence.record_send(DEADLY, self.now_s)
        self._crash(i, {"deadly", *companions})

    def _exchange_all(self) -> None:
        for _ in range(2):
            self.now_s += 0.1
            for sender in self.fleet:
                reports = sender.reports(self.now_s)
                for receiver in self.fleet:
                    receiver.merge(reports, self.now_s + 0.05)

    @rule(i=INSTANCES, companions=COMPANIONS)
    def deadly_request(self, i: int, companions: set[str]) -> None:
        self._send_deadly(i, companions)

    @rule(i=INSTANCES, names=COMPANIONS)
    def crash_for_another_reason(self, i: int, names: set[str]) -> None:
        self._crash(i, names)

    @rule(i=INSTANCES, name=st.sampled_from(["sound", "other", "popular"]))
    def sound_request(self, i: int, name: str) -> None:
        evidence = self.fleet[i]
        evidence.refresh(self.now_s)
        if evidence.is_held(request(name)):
            return
        evidence.record_send(request(name), self.now_s)
        evidence.clear([], self.now_s, request(name))

    @rule(i=INSTANCES)
    def report(self, i: int) -> None:
        self.messages.append((self.now_s, self.fleet[i].reports(self.now_s)))

    @rule(i=INSTANCES, data=st.data())
    def deliver(self, i: int, data: st.DataObject) -> None:
        """Deliver a message in any order, perhaps again, perhaps never."""
        recent = [m for at_s, m in self.messages if self.now_s - at_s <= TRANSIT_MAX_S]
        if recent:
            self.fleet[i].merge(data.draw(st.sampled_from(recent)), self.now_s)

    @rule(i=INSTANCES)
    def restart(self, i: int) -> None:
        self.fleet[i] = CrashEvidence(spread=i / 3)

    @rule(time_s=st.sampled_from([0.01, 0.2, 0.5, 3.0]))
    def wait(self, time_s: float) -> None:
        self.now_s += time_s

    @invariant()
    def deadly_request_is_never_cleared(self) -> None:
        for evidence in self.fleet:
            assert DEADLY.key not in evidence._cleared

    @rule()
    def settle(self) -> None:
        """Few more servers crash, then only the deadly request is refused."""
        before = self.crashes
        for i in (0, 1, 2, 0, 1, 2):
            self.now_s += 2.0 * COMMON_CAUSE_S
            self._send_deadly(i, set())
            self._exchange_all()
        assert self.crashes - before <= FREE_CRASHES
        assert all(evidence.is_held(DEADLY) for evidence in self.fleet)
        self.now_s += HELD_MAX_S + 1.0
        for name in ("sound", "other", "popular"):
            self.sound_request(0, name)
            self.now_s += TRANSIT_MAX_S + 0.1
            self._exchange_all()
        for evidence in self.fleet:
            for name in ("sound", "other", "popular"):
                assert not evidence.is_held(request(name))
        crashes = self.crashes
        for i in (0, 1, 2, 0, 1, 2):
            self.now_s += 1.0
            self._send_deadly(i, set())
            self._exchange_all()
        assert self.crashes - crashes <= 1  # a trial


CrashingFleet.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestAnyOrder = CrashingFleet.TestCase
