"""Measures the time between the last lease check of an attempt and its sending.

Run by ``python -m benchmarks.send_window``. No check in the router detects a pause of
the process within this window; only a backend server that checks fencing numbers can
reject a request that is sent after such a pause.
"""

from __future__ import annotations

import time
from collections.abc import Iterable

import trio

from teaseldyke.http import (
    BackendPool,
    OutgoingRequest,
    Request,
    ServerLimits,
    serve,
)
from teaseldyke.outcomes import Attempt
from teaseldyke.replay import quantile

SENDS = 2000
MICROSECONDS = 1e6


async def _respond(request: Request) -> None:
    await request.respond(200, b"done")


async def measure_windows_s(sends: int) -> list[float]:
    """Return the time from the last check to the end of the write, for each send."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]
    windows_s: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, listener, _respond, ServerLimits())
        pool = BackendPool()
        for _ in range(sends):
            windows_s.append(await _send(pool, port))
        nursery.cancel_scope.cancel()
    return windows_s


async def _send(pool: BackendPool, port: int) -> float:
    attempt = Attempt("row", "licensing", "f", "router", "1", lease_s=10.0)
    request = OutgoingRequest("POST", "/grants", [], b"{}" * 100)
    connection = await pool.acquire("127.0.0.1", port, fresh=True)
    send_all = connection.stream.send_all
    written_at_s = 0.0

    async def timed_send_all(data: bytes) -> None:
        nonlocal written_at_s
        await send_all(data)
        written_at_s = time.perf_counter()

    setattr(connection.stream, "send_all", timed_send_all)  # noqa: B010
    attempt.check()
    checked_at_s = time.perf_counter()
    async with pool.exchange_on(connection, request) as exchange:
        async for _ in exchange.chunks():
            continue
    return written_at_s - checked_at_s


def describe(windows_s: Iterable[float]) -> str:
    """Return the quantiles as one line."""
    ordered = sorted(windows_s)
    parts = [
        f"p50 {quantile(ordered, 0.5) * MICROSECONDS:.0f}",
        f"p99 {quantile(ordered, 0.99) * MICROSECONDS:.0f}",
        f"largest {ordered[-1] * MICROSECONDS:.0f}",
    ]
    return f"window of {len(ordered)} sends in microseconds: " + ", ".join(parts)


if __name__ == "__main__":
    print(describe(trio.run(measure_windows_s, SENDS)))
