from __future__ import annotations

import socket
import time

import pytest
import trio

from teaseldyke.timers import SchedulerPasses, boot_time_s, passes, scheduler_passes

BUSY_S = 0.05


@pytest.mark.parametrize(
    ("timeout_s", "poll_s", "unread_s"),
    [(0.1, 0.02, 0.0), (0.1, 0.11, 0.0), (0.1, 2.0, 2.0), (0.0, 2.0, 2.0)],
    ids=["data", "timer", "pause", "pause-without-wait"],
)
def test_data_arriving_in_a_pause_of_the_process_is_unread_since_the_poll(
    monkeypatch: pytest.MonkeyPatch, timeout_s: float, poll_s: float, unread_s: float
) -> None:
    """A paused poll looked like a long wait for data that has just arrived."""
    now_s = 7.0
    monkeypatch.setattr(passes, "boot_time_s", lambda: now_s)
    measured = SchedulerPasses()
    measured.before_io_wait(timeout_s)
    now_s += poll_s
    measured.after_io_wait(timeout_s)
    assert now_s - measured.unread_since_s == pytest.approx(unread_s)


@pytest.mark.parametrize("busy", [False, True])
async def test_data_arriving_during_a_pass_is_unread_since_its_start(
    busy: bool,
) -> None:
    passes = scheduler_passes()
    left, right = socket.socketpair()
    with left, right:
        left.setblocking(False)
        await trio.sleep(0.01)
        if not busy:
            trio.lowlevel.current_trio_token().run_sync_soon(right.send, b"x")
        started_at_s = boot_time_s()
        if busy:
            right.send(b"x")
            time.sleep(BUSY_S)
        await trio.lowlevel.wait_readable(left)
        unread_s = boot_time_s() - passes.unread_since_s
    if busy:
        assert passes.unread_since_s <= started_at_s
        assert unread_s >= BUSY_S
        assert passes.take_longest_s() >= BUSY_S
    else:
        assert unread_s < BUSY_S
        assert passes.take_longest_s() < BUSY_S
