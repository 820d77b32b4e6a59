from __future__ import annotations

import socket

import pytest
import trio

from teaseldyke.http.stream import KEEP_ALIVE_PROBES, USER_TIMEOUT_MS, open_stream


@pytest.mark.parametrize(
    ("level", "option", "expected"),
    [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ],
    ids=["keep-alive", "idle", "probes", "unacknowledged"],
)
async def test_opened_connections_detect_dead_peers(
    level: int, option: int, expected: int
) -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    stream = await open_stream("127.0.0.1", port)
    assert stream.socket.getsockopt(level, option) == expected
    stream.socket.close()
    await listeners[0].aclose()
