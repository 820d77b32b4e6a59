from __future__ import annotations

import trio
from trio.testing import MockClock

from teaseldyke.outcomes import Circuit


async def test_opens_after_failures_in_a_row(autojump_clock: MockClock) -> None:
    circuit = Circuit(failures_to_open=2)
    circuit.record_failure()
    circuit.record_success()
    circuit.record_failure()
    assert circuit.state == "closed"
    circuit.record_failure()
    assert circuit.state == "open"
    assert not circuit.try_pass()


async def test_half_open_lets_one_trial_pass(autojump_clock: MockClock) -> None:
    circuit = Circuit(failures_to_open=1, open_min_s=1.0, trial_s=5.0)
    circuit.record_failure()
    await trio.sleep(1.0)
    assert [circuit.try_pass(), circuit.try_pass()] == [True, False]
    await trio.sleep(5.0)
    assert circuit.try_pass()
    circuit.record_success()
    assert circuit.state == "closed"


async def test_open_time_is_bounded(autojump_clock: MockClock) -> None:
    circuit = Circuit(failures_to_open=1, open_min_s=1.0, open_max_s=4.0)
    opened_s = []
    for _ in range(4):
        circuit.record_failure()
        from_s = trio.current_time()
        while circuit.state == "open":
            await trio.sleep(0.5)
        opened_s.append(trio.current_time() - from_s)
    assert opened_s == [1.0, 2.0, 4.0, 4.0]
