from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.patterns import EngineModel, EngineRequest, EngineSpec
from teaseldyke.placement import Work

SPEC = EngineSpec(slots=2, memory_tokens=10_000, chunk_tokens=1000)
MakeWork = Callable[..., Work]


@pytest.fixture
def make_work() -> MakeWork:
    def make(shared: int = 2000, own: int = 1000, output: int = 5, subject: str = "s"):
        parts = ((subject, shared), ("own", own))
        return Work("o", 0.0, 1.0, 2.0, 9.0, shared + own, output, parts)

    return make


def drain(engine: EngineModel) -> tuple[float, list[EngineRequest]]:
    """Step until idle; return the time and the requests in order of completion."""
    now_s, ended = 0.0, []
    while engine.is_busy:
        step = engine.step()
        now_s += step.duration_s
        ended += step.ended
    return now_s, ended


class TestEngineModel:
    def test_prompt_is_prefilled_in_chunks_before_first_token(
        self, make_work: MakeWork
    ) -> None:
        engine = EngineModel("e", SPEC)
        engine.enqueue(EngineRequest(make_work()))
        steps = [engine.step() for _ in range(4)]
        assert [len(step.first) for step in steps] == [0, 0, 0, 1]

    def test_cached_prompt_is_not_prefilled_again(self, make_work: MakeWork) -> None:
        engine = EngineModel("e", SPEC)
        engine.enqueue(EngineRequest(make_work()))
        first_s, _ = drain(engine)
        second = EngineRequest(make_work())
        engine.enqueue(second)
        second_s, _ = drain(engine)
        assert second.cached_tokens == 2000
        assert second_s < first_s

    def test_least_recently_used_parts_are_evicted(self, make_work: MakeWork) -> None:
        engine = EngineModel("e", SPEC)
        for subject in ("a", "b", "c", "d", "e"):
            engine.enqueue(EngineRequest(make_work(subject=subject)))
            drain(engine)
        assert engine.used_tokens <= SPEC.memory_tokens
        assert "a" not in engine.cached_parts
        assert "e" in engine.cached_parts

    def test_requests_are_admitted_in_order_of_arrival(
        self, make_work: MakeWork
    ) -> None:
        engine = EngineModel("e", SPEC)
        requests = [EngineRequest(make_work(output=output)) for output in (50, 50, 1)]
        for request in requests:
            engine.enqueue(request)
        assert engine.step().admitted == requests[:2]
        _, ended = drain(engine)
        assert ended[0] is requests[0]
        assert len(ended) == 3

    def test_more_running_requests_make_longer_steps(self, make_work: MakeWork) -> None:
        lengths = []
        for slots in (1, 8):
            spec = attrs.evolve(SPEC, slots=slots, memory_tokens=100_000)
            engine = EngineModel("e", spec)
            for _ in range(slots):
                engine.enqueue(EngineRequest(make_work(shared=1, own=1, output=50)))
            for _ in range(20):
                duration_s = engine.step().duration_s
            lengths.append(duration_s)
        assert lengths[1] == pytest.approx(lengths[0] + 7 * SPEC.slot_step_s)

    def test_failed_engine_returns_its_requests(self, make_work: MakeWork) -> None:
        engine = EngineModel("e", SPEC)
        requests = [EngineRequest(make_work()) for _ in range(3)]
        for request in requests:
            engine.enqueue(request)
        engine.step()
        assert set(map(id, engine.fail())) == set(map(id, requests))
        assert not engine.is_busy
