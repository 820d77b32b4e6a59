from __future__ import annotations

import socket

import pytest
import trio
import trio.testing

from teaseldyke.http.stream import TcpStream
from teaseldyke.http.watchdog import DisconnectWatch, Watch


async def test_one_sweeper_serves_any_number_of_short_watches(
    autojump_clock: trio.testing.MockClock,
) -> None:
    ours, theirs = _tcp_pair()
    theirs.close()
    tasks_before = trio.lowlevel.current_statistics().tasks_living
    for _ in range(100):
        watch = Watch(TcpStream(ours))
        watch.start()
        watch.stop()
    assert trio.lowlevel.current_statistics().tasks_living == tasks_before + 1
    await trio.sleep(1)
    assert trio.lowlevel.current_statistics().tasks_living == tasks_before
    ours.close()


async def test_a_watch_wakes_the_waiting_task(
    autojump_clock: trio.testing.MockClock,
) -> None:
    ours, theirs = _tcp_pair()
    stream = TcpStream(ours)
    watch = Watch(stream)
    watch.start()
    watch.deadline_s = trio.current_time() + 5
    with pytest.raises(trio.ClosedResourceError):
        await stream.receive_some()
    assert watch.expired
    assert 5 <= trio.current_time() < 5.5
    watch.stop()
    theirs.close()


async def test_a_callback_that_fails_ends_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    def fail() -> None:
        raise ValueError("callback")

    ours, theirs = _tcp_pair()
    with DisconnectWatch(TcpStream(ours), fail):
        theirs.close()
        await trio.sleep(1)
    ours.close()


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ours = socket.create_connection(listener.getsockname())
        return ours, listener.accept()[0]
