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
    local_end, remote_end = _tcp_pair()
    remote_end.close()
    tasks_before = trio.lowlevel.current_statistics().tasks_living
    for _ in range(100):
        watch = Watch(TcpStream(local_end))
        watch.start()
        watch.stop()
    assert trio.lowlevel.current_statistics().tasks_living == tasks_before + 1
    await trio.sleep(1)
    assert trio.lowlevel.current_statistics().tasks_living == tasks_before
    local_end.close()


async def test_expired_watch_wakes_the_waiting_task(
    autojump_clock: trio.testing.MockClock,
) -> None:
    local_end, remote_end = _tcp_pair()
    stream = TcpStream(local_end)
    watch = Watch(stream)
    watch.start()
    watch.deadline_s = trio.current_time() + 5
    with pytest.raises(trio.ClosedResourceError):
        await stream.receive_some()
    assert watch.expired
    assert 5 <= trio.current_time() < 5.5
    watch.stop()
    remote_end.close()


async def test_failing_callback_does_not_end_the_process(
    autojump_clock: trio.testing.MockClock,
) -> None:
    def fail() -> None:
        raise ValueError("callback")

    local_end, remote_end = _tcp_pair()
    with DisconnectWatch(TcpStream(local_end), fail):
        remote_end.close()
        await trio.sleep(1)
    local_end.close()


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        local_end = socket.create_connection(listener.getsockname())
        return local_end, listener.accept()[0]
