from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from teaseldyke.http import BackendPool, HttpClient, Request, ServerLimits, serve

HOST = "127.0.0.1"


def _relay_to(port: int) -> Callable[[Request], Awaitable[None]]:
    pool = BackendPool()

    async def relay(request: Request) -> None:
        async with pool.exchange(HOST, port, "GET", request.target) as exchange:
            await request.start_response(exchange.status, exchange.headers)
            async for chunk in exchange.chunks():
                await request.send(chunk)
            await request.finish()

    return relay


@pytest.mark.promise("whole-answer")
@settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    parts=st.lists(st.binary(min_size=1, max_size=3000), max_size=8),
    chunked=st.booleans(),
    pause=st.booleans(),
)
def test_a_relayed_answer_is_the_answer(
    parts: list[bytes], chunked: bool, pause: bool
) -> None:
    whole = b"".join(parts)

    async def answer(request: Request) -> None:
        length = [] if chunked else [("content-length", str(len(whole)))]
        await request.start_response(200, length)
        for part in parts:
            await request.send(part)
            if pause:
                await trio.lowlevel.checkpoint()
        await request.finish()

    async def main() -> bytes:
        stopping = trio.Event()
        limits = ServerLimits(stop_linger_s=0.0)
        async with trio.open_nursery() as nursery:

            async def start(handler: Callable[[Request], Awaitable[None]]) -> int:
                listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
                nursery.start_soon(
                    lambda: serve(listener, handler, limits, stopping=stopping)
                )
                return int(listener.socket.getsockname()[1])

            port = await start(_relay_to(await start(answer)))
            client = HttpClient()
            bodies = []
            for _ in range(2):
                bodies.append((await client.request("GET", HOST, port, "/")).body)
            client.close()
            stopping.set()
            nursery.cancel_scope.cancel()
        assert bodies[0] == bodies[1]
        return bodies[0]

    assert trio.run(main) == whole
