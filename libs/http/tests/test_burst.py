from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable

import trio

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CALLERS = 100
PASSES_MAX = 10  # accept, start, read and respond in up to two passes each

StartServer = Callable[..., Awaitable[int]]


def is_readable(caller: socket.socket) -> bool:
    return bool(select.select([caller], [], [], 0.0)[0])


class TestBurst:
    async def test_pending_connections_are_accepted_in_batches(
        self, start_server: StartServer
    ) -> None:
        """Accepting one per pass would overflow the queue while passes are long."""
        port = await start_server()
        callers = [socket.create_connection((HOST, port)) for _ in range(CALLERS)]
        answered = passes = 0
        for caller in callers:
            caller.sendall(GET)
            caller.setblocking(False)
        while answered < CALLERS and passes < CALLERS:
            passes += 1
            await trio.lowlevel.checkpoint()
            answered = sum(is_readable(caller) for caller in callers)
        for caller in callers:
            caller.close()
        assert passes <= PASSES_MAX
