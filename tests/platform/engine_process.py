"""An engine as a process of its own that a part of the prompt kills.

Started as ``python -m tests.platform.engine_process ID FD DEATH``; it serves on the
listening socket FD and writes a line to standard output for each request with the part.
"""

from __future__ import annotations

import os
import signal
import socket
import sys

import trio

from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    chunk,
    complete_answer,
    event,
    stream_of,
)

CRASHING = "dead06ff"
PREFIX = "x-teaseldyke-prompt-prefix"
BEGINS_S = 0.02  # from the arrival, or from the header, to the death
WORK_S = 0.03  # of a sound request
# What of its answer an engine has sent when it dies.
DEATHS: dict[str, tuple[bytes, ...]] = {
    "before the header": (),
    "after the header": (b"",),
    "within the first event": (b"", chunk(event(1)[:6])),
    "after the first event": (b"", chunk(event(1))),
}


def has_crashing_part(arrival: Arrival) -> bool:
    """Return whether the prompt of a request has the part."""
    parts = arrival.headers.get(PREFIX, "").split(",")[:-1]
    return any(part.partition(":")[0] == CRASHING for part in parts)


async def serve(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival, *, death: str
) -> bool:
    """Answer a request, or die of it."""
    is_stream = arrival.target.startswith("/s")
    if has_crashing_part(arrival):
        print(arrival.headers["x-teaseldyke-request-id"], flush=True)
        head = answer_head(arrival, 200, "Transfer-Encoding: chunked") + b"\r\n"
        for piece in DEATHS[death]:
            await stream.send_all(piece or head)
        await trio.sleep(BEGINS_S)
        os.kill(os.getpid(), signal.SIGKILL)
    await trio.sleep(WORK_S)
    if is_stream:
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        return bool(await stream_of(first, 4)(_engine, stream, arrival))
    await stream.send_all(complete_answer(arrival, b"sound"))
    return True


async def main(name: str, descriptor: int, death: str) -> None:
    """Serve until killed."""
    engine = EngineStandin(name)

    async def answer(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        return await serve(engine, stream, arrival, death=death)

    engine.scripts = [answer] * 100_000
    listening = trio.socket.from_stdlib_socket(socket.socket(fileno=descriptor))
    await engine.serve_on([trio.SocketListener(listening)])


if __name__ == "__main__":
    trio.run(main, sys.argv[1], int(sys.argv[2]), sys.argv[3])
