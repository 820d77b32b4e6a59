from __future__ import annotations

import gc
import threading

import pytest

from teaseldyke.configuration.offloading import collector_paused, run_off_loop


@pytest.mark.parametrize(
    ("entries", "in_loop_thread", "collects"),
    [(10, True, True), (500, False, True), (5000, False, False)],
)
async def test_more_work_leaves_the_loop_and_then_the_collector(
    entries: int, in_loop_thread: bool, collects: bool
) -> None:
    loop_thread = threading.get_ident()
    thread, enabled = await run_off_loop(
        entries, lambda: (threading.get_ident(), gc.isenabled())
    )
    assert (thread == loop_thread) is in_loop_thread
    assert enabled is collects
    assert gc.isenabled()


def test_the_collector_goes_on_when_the_last_pause_ends() -> None:
    with collector_paused():
        with pytest.raises(ValueError, match="work failed"), collector_paused():
            raise ValueError("work failed")
        assert not gc.isenabled()
    assert gc.isenabled()
    gc.unfreeze()
