"""Broken streams that are resumed beside new ones, at a load above the capacity."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs
import pytest

from teaseldyke.placement import (
    EventSizes,
    FairShares,
    QueuedRequest,
    RequestQueue,
    Work,
    bound_to,
    check_admission,
    work_left,
)

MakeWork = Callable[..., Work]
TARGET_S = 1.0
CALLER_WAIT_S = 4.0  # for the first event
PROMPT_TOKENS = 2000
OUTPUT_TOKENS = 400


class TestWorkLeft:
    @pytest.mark.parametrize(
        ("events", "tokens_per_event", "output_tokens"),
        [(0, 2.0, 400), (50, 2.0, 300), (50, 0.0, 400), (1000, 2.0, 1), (10**12, 2, 1)],
        ids=["none", "some", "unknown", "more-than-all", "absurd"],
    )
    def test_generated_tokens_are_read_once(
        self,
        make_work: MakeWork,
        events: int,
        tokens_per_event: float,
        output_tokens: int,
    ) -> None:
        work = make_work()
        left = work_left(work, events, tokens_per_event)
        assert left.output_tokens == output_tokens
        assert left.memory_tokens == work.memory_tokens
        assert left.cost_tokens == work.cost_tokens - (400 - output_tokens)
        assert left.begun

    def test_request_without_stated_output_has_none_left(
        self, make_work: MakeWork
    ) -> None:
        assert work_left(make_work(output_tokens=0), 7, 2.0).output_tokens == 0


class TestEventSizes:
    def test_size_is_learned_by_route(self) -> None:
        sizes = EventSizes()
        assert sizes.tokens_per_event("a") == 0.0
        for _ in range(50):
            sizes.record_stream("a", 400, 100)
            sizes.record_stream("b", 60, 60)
        assert sizes.tokens_per_event("a") == pytest.approx(4.0)
        assert sizes.tokens_per_event("b") == pytest.approx(1.0)

    @pytest.mark.parametrize(("output_tokens", "events"), [(0, 5), (5, 0), (0, 0)])
    def test_streams_that_tell_nothing_are_ignored(
        self, output_tokens: int, events: int
    ) -> None:
        sizes = EventSizes()
        sizes.record_stream("a", output_tokens, events)
        assert sizes.tokens_per_event("a") == 0.0


class TestOrder:
    def test_begun_stream_goes_first_within_its_organisation_alone(
        self, make_work: MakeWork
    ) -> None:
        queue: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        fair_shares.charge("hot", 50_000.0, 0.0)
        begun = bound_to(make_work("hot", arrived_at_s=0.1, on_time_s=0.0), "v1")
        queue.add(QueuedRequest(make_work("hot", arrived_at_s=0.0), "new"))
        queue.add(QueuedRequest(begun, "begun"))
        queue.add(QueuedRequest(make_work("small", arrived_at_s=0.2), "small"))
        fair_shares.recompute(queue.queued_tokens(), 0.5)
        for _ in range(9):
            names = [item.payload for item in queue.in_order(fair_shares, 0.5)]
            assert names == ["small", "begun", "new"]

    def test_begun_stream_waits_behind_other_begun_ones(
        self, make_work: MakeWork
    ) -> None:
        """New requests of its organisation go after it; others' use all servers."""
        queue: RequestQueue[str] = RequestQueue()
        fair_shares = FairShares(tokens_per_s=1000.0)
        begun = bound_to(make_work("o"), "v1")
        queue.add(QueuedRequest(begun, ""))
        for _ in range(3):
            queue.add(QueuedRequest(make_work("o"), ""))
        fair_shares.recompute(queue.queued_tokens(), 0.0)
        tokens = begun.prompt_tokens
        wait_s = queue.prefill_wait_s(begun, fair_shares, 0.0, 1000.0, 500.0)
        assert wait_s == pytest.approx(tokens / 500.0)
        new = make_work("o")
        wait_s = queue.prefill_wait_s(new, fair_shares, 0.0, 1000.0, 1000.0)
        assert wait_s == pytest.approx(4 * tokens / 1000.0)


@pytest.mark.parametrize(
    ("expected_wait_s", "refused"), [(0.0, False), (3.9, False), (4.1, True)]
)
def test_begun_stream_is_refused_only_if_its_caller_would_give_up(
    make_work: MakeWork, expected_wait_s: float, refused: bool
) -> None:
    work = attrs.evolve(
        make_work(on_time_s=0.3), begun=True, caller_timeout_at_s=CALLER_WAIT_S
    )
    assert (check_admission(work, expected_wait_s, 0.0, 0.5) is not None) is refused


@attrs.define
class Shares:
    """Requests that came and that were sent in time, for new and resumed ones."""

    came: dict[bool, int] = attrs.field(factory=lambda: {False: 0, True: 0})
    sent: dict[bool, int] = attrs.field(factory=lambda: {False: 0, True: 0})

    def of(self, begun: bool) -> float:
        return self.sent[begun] / self.came[begun]


def overload(
    weigh: Callable[[Work], Work], *, load: float, engines: dict[str, float], seed: int
) -> Shares:
    """Replay an overload in which a twentieth of the requests resume a stream.

    Parameters
    ----------
    weigh : callable
        Makes the work of a resumed stream from that of its request.
    load : float
        Tokens that come, relative to what the engines read.
    engines : dict of float
        Tokens a second that the engines of each version read.
    """
    random = Random(seed)
    shares = Shares()
    queue: RequestQueue[None] = RequestQueue()
    rate = sum(engines.values())
    fair_shares = FairShares(tokens_per_s=rate)
    free_at_s = dict.fromkeys(engines, 0.0)
    step_s = PROMPT_TOKENS / (load * rate)
    for i in range(4000):
        now_s = i * step_s
        begun = random.random() < 0.05
        organisation = f"o-{random.randrange(4)}"
        work = Work(
            organisation,
            now_s,
            now_s + TARGET_S,
            now_s + CALLER_WAIT_S,
            now_s + 12.0,
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
        )
        own_rate = rate
        if begun:
            version = random.choice(list(engines))
            work, own_rate = (
                attrs.evolve(weigh(work), version=version),
                engines[version],
            )
        shares.came[begun] += 1
        wait_s = queue.prefill_wait_s(work, fair_shares, now_s, rate, own_rate)
        if check_admission(work, wait_s, now_s, random.random()) is None:
            queue.add(QueuedRequest(work, None))
        fair_shares.recompute(queue.queued_tokens(), now_s)
        for queued in list(queue.in_order(fair_shares, now_s)):
            if now_s >= queued.work.caller_timeout_at_s:
                queue.remove(queued)
                continue
            version = queued.work.version or min(free_at_s, key=free_at_s.__getitem__)
            if free_at_s[version] > now_s:
                continue
            queue.remove(queued)
            free_at_s[version] = now_s + queued.work.prompt_tokens / engines[version]
            fair_shares.charge(queued.work.organisation, queued.work.cost_tokens, now_s)
            shares.sent[bool(queued.work.version)] += 1
    return shares


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load", [1.5, 3.0])
@pytest.mark.parametrize(
    "engines",
    [{"v1": 50_000.0, "v2": 50_000.0}, {"v1": 10_000.0, "v2": 90_000.0}],
    ids=["even", "few-of-one"],
)
def test_resumed_streams_go_on_as_often_as_new_ones_begin(
    engines: dict[str, float], load: float, seed: int
) -> None:
    """They were refused as late resubmissions, far more often than new ones."""
    shares = overload(
        lambda work: work_left(work, 50, 2.0), load=load, engines=engines, seed=seed
    )
    assert shares.came[True] >= 12
    assert shares.of(True) >= shares.of(False)
