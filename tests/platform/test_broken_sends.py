"""Answers that arrive while the request is still being sent, and then break off."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator
from enum import Enum

import attrs
import pytest
import trio

from tests.platform.conftest import Fleet, configuration, running_fleet, wait_until
from tests.platform.standins import chunk, event

UPLOAD = b"u" * (4 * 1024 * 1024)  # more than the buffers of a connection hold
WHOLE = b"the whole answer"
PART = WHOLE[:7]
EVENTS = b"".join(event(i) for i in range(1, 4))
PART_OF_EVENTS = event(1) + event(2)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_OF_HEAD = b"\r\n\r\n"


class End(Enum):
    """How a connection ends after an early answer."""

    RESET = "reset"
    EOF_THEN_RESET = "eof_then_reset"


@attrs.define(eq=False)
class EarlyServer:
    """A server that answers its first request once it has read the head.

    Parameters
    ----------
    answer : bytes
        First answer, sent while most of the request is unread; ``{id}`` in it is
        replaced by the request's id.
    end : End
        How its connection ends.
    reset_after_s : float
        Time from the answer to the reset.
    later_body : bytes
        Body of later answers, which are sent after the whole request was read.
    """

    answer: bytes
    end: End
    reset_after_s: float
    later_body: bytes = b""
    sends: int = 0
    port: int = 0

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        received = b""
        while END_OF_HEAD not in received:
            data = await stream.receive_some(4096)
            if not data:
                return
            received += data
        self.sends += 1
        head, _, begun = received.partition(END_OF_HEAD)
        request_id = _value(head, "x-teaseldyke-request-id").encode()
        if self.sends == 1:
            await stream.send_all(self.answer.replace(b"{id}", request_id))
            await self._end(stream)
            return
        unread_bytes = int(_value(head, "content-length")) - len(begun)
        while unread_bytes:
            unread_bytes -= len(await stream.receive_some(65536))
        answer = _head(f"Content-Length: {len(self.later_body)}") + self.later_body
        await stream.send_all(answer.replace(b"{id}", request_id))
        await stream.aclose()

    async def _end(self, stream: trio.SocketStream) -> None:
        if self.end is End.EOF_THEN_RESET:
            await stream.send_eof()
        await trio.sleep(self.reset_after_s)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()


def _value(head: bytes, name: str) -> str:
    """Return the value of a header of a request."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


def _head(*headers: str, status: int = 200) -> bytes:
    """Return the head of an answer to the request with the id ``{id}``."""
    lines = [
        f"HTTP/1.1 {status} Status",
        "X-Teaseldyke-Request-Id: {id}",
        "X-Teaseldyke-Response-Stamp: 3e1b.07",
        *[header for header in headers if header],
    ]
    return "\r\n".join(lines).encode() + END_OF_HEAD


@pytest.fixture
async def empty_fleet() -> AsyncIterator[Fleet]:
    async with running_fleet(engines=0) as fleet:
        limits = {"maxBodyBytes": 2 * len(UPLOAD), "tokensPerS": 1000}
        fleet.store.put("op", "config", configuration(2, limits=limits))
        view = fleet.gateways[0].view
        await wait_until(lambda: view.table is not None and view.table.version == 2)
        yield fleet


async def _start(fleet: Fleet, server: EarlyServer) -> None:
    await fleet.nursery.start(server.run)
    entry = {
        "service": "app",
        "address": f"127.0.0.1:{server.port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
    }
    fleet.store.put("servers", "early", entry)
    view = fleet.gateways[0].view
    await wait_until(lambda: len(view.states_of("app")) == 1)


@pytest.mark.parametrize("reset_after_s", [0.0, 0.01, 0.05])
@pytest.mark.parametrize(
    ("target", "part", "rest", "expected"),
    [
        ("/safe/a", PART, WHOLE, (200, WHOLE, True)),
        ("/once/a", PART, b"", (502, None, True)),
        ("/stream/a", PART_OF_EVENTS, event(3), (200, EVENTS, True)),
        ("/single/a", PART_OF_EVENTS, b"", (200, PART_OF_EVENTS, False)),
    ],
    ids=["plain-repeatable", "plain-once", "stream-resumable", "stream-once"],
)
async def test_part_of_an_unframed_answer_is_not_passed_on_as_whole(
    empty_fleet: Fleet,
    target: str,
    part: bytes,
    rest: bytes,
    expected: tuple[int, bytes | None, bool],
    reset_after_s: float,
) -> None:
    server = EarlyServer(_head() + part, End.RESET, reset_after_s, rest)
    await _start(empty_fleet, server)
    answer = await empty_fleet.caller().request(target, body=UPLOAD)
    status, body, is_complete = expected
    assert (answer.status, answer.complete) == (status, is_complete)
    assert body is None or answer.body == body
    assert server.sends == (2 if rest else 1)


@pytest.mark.parametrize("status", [200, 413])
@pytest.mark.parametrize(
    ("framing", "body", "end"),
    [
        (f"Content-Length: {len(WHOLE)}", WHOLE, End.RESET),
        ("Transfer-Encoding: chunked", chunk(WHOLE) + b"0\r\n\r\n", End.RESET),
        ("", WHOLE, End.EOF_THEN_RESET),
    ],
    ids=["length", "chunked", "unframed-after-eof"],
)
@pytest.mark.parametrize("target", ["/safe/a", "/once/a"])
async def test_answer_that_was_complete_before_a_reset_is_passed_on(
    empty_fleet: Fleet, target: str, framing: str, body: bytes, end: End, status: int
) -> None:
    server = EarlyServer(_head(framing, status=status) + body, end, 0.05)
    await _start(empty_fleet, server)
    answer = await empty_fleet.caller().request(target, body=UPLOAD)
    assert (answer.status, answer.body, answer.complete) == (status, WHOLE, True)
    assert server.sends == 1


@pytest.mark.parametrize("framing", ["", f"Content-Length: {len(WHOLE)}"])
async def test_early_refusal_as_not_run_is_understood(
    empty_fleet: Fleet, framing: str
) -> None:
    head = _head(framing, "X-Teaseldyke-Not-Run: 1", status=503)
    server = EarlyServer(head + WHOLE, End.RESET, 0.05, WHOLE)
    await _start(empty_fleet, server)
    answer = await empty_fleet.caller().request("/once/a", body=UPLOAD)
    assert (answer.status, answer.body, answer.complete) == (200, WHOLE, True)
    assert server.sends == 2
