from __future__ import annotations

import pytest
import trio

from teaseldyke.standins.load import ColdOverrun, ServerLoad


def _load(lag_s: float = 0.0) -> ServerLoad:
    return ServerLoad(
        started_at=5.0,
        cold_limit=1,
        warm_after_requests=2,
        lag_s=lag_s,
        on_overrun=lambda: None,
    )


def _run(load: ServerLoad, requests: int) -> None:
    for _ in range(requests):
        load.start()
        load.finish(completed=True)


@pytest.mark.parametrize(
    ("completed", "fails"), [(0, True), (1, True), (2, False), (9, False)]
)
async def test_cold_server_fails_above_its_limit(completed: int, fails: bool) -> None:
    load = _load()
    _run(load, completed)
    load.start()
    if not fails:
        load.start()
        return
    with pytest.raises(ColdOverrun):
        load.start()
    load.finish(completed=True)
    with pytest.raises(ColdOverrun):
        load.start()
    assert load.cold_overrun == 1


@pytest.mark.parametrize("started_at", [None, 6.0])
async def test_entering_cold_phase(started_at: float | None) -> None:
    load = _load()
    _run(load, 2)
    load.enter_cold_phase(started_at=started_at)
    assert load.cold
    assert load.report().started_at == (started_at or 5.0)
    _run(load, 2)
    assert not load.cold


async def test_report_lags(autojump_clock: object) -> None:
    load = _load(lag_s=1.0)
    assert load.report().running == 0
    load.start()
    await trio.sleep(0.5)
    load.finish(completed=True)
    assert load.report().completed == 0
    await trio.sleep(0.6)
    assert load.report().running == 1
    await trio.sleep(0.5)
    assert load.report().completed == 1
