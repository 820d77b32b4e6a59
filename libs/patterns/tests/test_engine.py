from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.patterns import EngineModel, EngineSpec, Run
from teaseldyke.placement import Work

SPEC = EngineSpec(slots=2, memory_tokens=10_000, chunk_tokens=1000)
MakeWork = Callable[..., Work]


@pytest.fixture
def make_work() -> MakeWork:
    def make(shared: int = 2000, own: int = 1000, output: int = 5, subject: str = "s"):
        parts = ((subject, shared), ("own", own))
        return Work("o", 0.0, 1.0, 2.0, 9.0, shared + own, output, parts)

    return make


def drain(engine: EngineModel) -> tuple[float, list[Run]]:
    """Step until nothing is left; return the time and the runs in their order."""
    now_s, ended = 0.0, []
    while engine.is_busy:
        step = engine.step()
        now_s += step.duration_s
        ended += step.ended
    return now_s, ended


class TestEngineModel:
    def test_a_prompt_is_read_in_chunks_before_the_first_token(
        self, make_work: MakeWork
    ) -> None:
        engine = EngineModel("e", SPEC)
        engine.arrive(Run(make_work()))
        steps = [engine.step() for _ in range(4)]
        assert [len(step.first) for step in steps] == [0, 0, 0, 1]

    def test_a_kept_prompt_is_not_read_again(self, make_work: MakeWork) -> None:
        engine = EngineModel("e", SPEC)
        engine.arrive(Run(make_work()))
        first_s, _ = drain(engine)
        again = Run(make_work())
        engine.arrive(again)
        second_s, _ = drain(engine)
        assert again.kept_tokens == 2000
        assert second_s < first_s

    def test_parts_unused_longest_give_their_memory_up(
        self, make_work: MakeWork
    ) -> None:
        engine = EngineModel("e", SPEC)
        for subject in ("a", "b", "c", "d", "e"):
            engine.arrive(Run(make_work(subject=subject)))
            drain(engine)
        assert engine.held_tokens <= SPEC.memory_tokens
        assert "a" not in engine.parts
        assert "e" in engine.parts

    def test_requests_are_admitted_in_the_order_of_their_arrival(
        self, make_work: MakeWork
    ) -> None:
        engine = EngineModel("e", SPEC)
        runs = [Run(make_work(output=output)) for output in (50, 50, 1)]
        for run in runs:
            engine.arrive(run)
        assert engine.step().admitted == runs[:2]
        _, ended = drain(engine)
        assert ended[0] is runs[0]
        assert len(ended) == 3

    def test_more_running_requests_make_longer_steps(self, make_work: MakeWork) -> None:
        lengths = []
        for slots in (1, 8):
            spec = attrs.evolve(SPEC, slots=slots, memory_tokens=100_000)
            engine = EngineModel("e", spec)
            for _ in range(slots):
                engine.arrive(Run(make_work(shared=1, own=1, output=50)))
            for _ in range(20):
                duration_s = engine.step().duration_s
            lengths.append(duration_s)
        assert lengths[1] == pytest.approx(lengths[0] + 7 * SPEC.slot_step_s)

    def test_a_lost_engine_ends_what_it_had(self, make_work: MakeWork) -> None:
        engine = EngineModel("e", SPEC)
        runs = [Run(make_work()) for _ in range(3)]
        for run in runs:
            engine.arrive(run)
        engine.step()
        assert set(map(id, engine.lose())) == set(map(id, runs))
        assert not engine.is_busy
