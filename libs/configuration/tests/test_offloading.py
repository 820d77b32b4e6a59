from __future__ import annotations

import gc
import sys
import threading

import pytest

from teaseldyke.configuration.offloading import large_sheet_work, run_off_loop


@pytest.mark.parametrize(
    ("entries", "in_loop_thread", "collects"),
    [(10, True, True), (500, False, True), (5000, False, False)],
)
async def test_larger_work_runs_in_a_thread_and_then_without_gc(
    entries: int, in_loop_thread: bool, collects: bool
) -> None:
    loop_thread = threading.get_ident()
    thread, enabled = await run_off_loop(
        entries, lambda: (threading.get_ident(), gc.isenabled())
    )
    assert (thread == loop_thread) is in_loop_thread
    assert enabled is collects
    assert gc.isenabled()


def test_gc_and_switch_interval_are_restored_after_nested_work() -> None:
    interval_s = sys.getswitchinterval()
    with large_sheet_work():
        with pytest.raises(ValueError, match="work failed"), large_sheet_work():
            raise ValueError("work failed")
        assert not gc.isenabled()
        assert sys.getswitchinterval() < interval_s
    assert gc.isenabled()
    assert sys.getswitchinterval() == interval_s
    gc.unfreeze()
