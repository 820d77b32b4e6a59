"""An instance with more callers than its processor can serve (issue 16)."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable

import pytest
import trio

from teaseldyke.http import HttpClient
from teaseldyke.timers import SchedulerPasses, boot_time_s
from tests.platform.conftest import HOST, Fleet, running_fleet

CALLERS = 100
SLOW_READ_S = 0.01  # added to each request: 1 s for all callers
# The instance must detect the disconnect of a caller within 0.5 s; its check runs
# every 0.25 s.
PASS_MAX_S = 0.25


def head(number: int) -> bytes:
    lines = [
        "POST /safe/a HTTP/1.1",
        f"Host: {HOST}",
        f"X-Teaseldyke-Request-Id: r-{number}",
        "X-Teaseldyke-Deadline-Ms: 2500",
        "Content-Length: 0",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("disconnect", [close, reset])
async def test_unread_request_of_a_disconnected_caller_is_not_sent(
    fleet: Fleet, disconnect: Callable[[socket.socket], None]
) -> None:
    address = fleet.gateways[0].settings.callers
    for number in range(3):
        sock = socket.create_connection((address.host, address.port))
        sock.sendall(head(number))
        disconnect(sock)
    await trio.sleep(0.3)
    assert fleet.gateways[0].calls.running == 0
    assert fleet.arrivals == 0


async def read_answer_heads(sockets: list[socket.socket]) -> list[bytes]:
    """Return the head of the answer on each connection, in lower case."""
    found = []
    for sock in sockets:
        sock.setblocking(False)
        with trio.fail_after(10):
            await trio.lowlevel.wait_readable(sock)
        found.append(sock.recv(65536).partition(b"\r\n\r\n")[0].lower())
        sock.setblocking(True)
    return found


async def test_burst_does_not_block_the_event_loop(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests that one scheduler pass cannot start are refused at once."""
    gateway = fleet.gateways[0]
    address = gateway.settings.callers
    read_call = gateway.wire.read_call

    def read_slowly(headers: list[tuple[bytes, bytes]]) -> object:
        time.sleep(SLOW_READ_S)
        return read_call(headers)

    sockets = [
        socket.create_connection((address.host, address.port)) for _ in range(CALLERS)
    ]
    for number, sock in enumerate(sockets):
        sock.sendall(head(number))
        (answer,) = await read_answer_heads([sock])
        assert answer.startswith(b"http/1.1 200")
    monkeypatch.setattr(gateway.wire, "read_call", read_slowly)
    for number, sock in enumerate(sockets):
        sock.sendall(head(CALLERS + number))
    passes = SchedulerPasses()
    trio.lowlevel.add_instrument(passes)
    answers = await read_answer_heads(sockets)
    longest_s = passes.take_longest_s()
    refused = {
        f"r-{CALLERS + number}": answer
        for number, answer in enumerate(answers)
        if answer.startswith(b"http/1.1 503")
    }
    served = [answer for answer in answers if answer.startswith(b"http/1.1 200")]
    sent = [a for engine in fleet.engines.values() for a in engine.arrivals]
    for sock in sockets:
        sock.close()
    assert len(served) + len(refused) == CALLERS
    assert served
    assert all(b"\r\nretry-after: 0." in answer for answer in refused.values())
    assert not refused.keys() & {a.headers["x-teaseldyke-request-id"] for a in sent}
    assert longest_s < PASS_MAX_S
    monkeypatch.undo()
    assert (await fleet.caller().request("/safe/a")).status == 200


async def test_stopped_instance_releases_its_port() -> None:
    """A gateway must be able to start at the same address again."""
    async with running_fleet() as fleet:
        address = fleet.gateways[0].settings.exchange
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((address.host, address.port))


@pytest.mark.parametrize(("refused_s_ago", "ready"), [(1e6, True), (0.1, False)])
async def test_overloaded_instance_reports_unready(
    fleet: Fleet, refused_s_ago: float, ready: bool
) -> None:
    gateway = fleet.gateways[0]
    gateway.admission.refused_at_s = boot_time_s() - refused_s_ago
    address = gateway.settings.readiness
    answer = await HttpClient().request("GET", address.host, address.port, "/-/ready")
    assert (answer.status == 200) is ready
    assert (await fleet.caller().request("/safe/a")).status == 200


async def test_malformed_request_does_not_count_as_overload(fleet: Fleet) -> None:
    gateway = fleet.gateways[0]
    address = gateway.settings.callers
    with socket.create_connection((address.host, address.port)) as sock:
        sock.sendall(b"rubbish\r\n\r\n")
        (answer,) = await read_answer_heads([sock])
    assert answer.startswith(b"http/1.1 400")
    assert gateway.admission.take_refused() == 0
    assert gateway.is_ready
