"""Requests whose caller leaves while their bytes are on the way to an engine."""

from __future__ import annotations

import socket

import pytest
import trio

from tests.platform.conftest import running_fleet, wait_until

BODY = b"x" * 190_000  # more than a small receive buffer takes, less than the limit


async def read_all(connection: socket.socket) -> bytes:
    """Return what an engine that reads late still gets, until EOF or a reset."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
    received = b""
    while True:
        try:
            data = await stream.receive_some(65536)
        except trio.BrokenResourceError:
            return received
        if not data:
            return received
        received += data


def read_to_the_end(connection: socket.socket) -> None:
    """Read until EOF; raises if the connection was reset."""
    while connection.recv(65536):
        continue


@pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a"])
async def test_engine_that_reads_late_gets_no_whole_request_of_a_gone_caller(
    target: str,
) -> None:
    """A plain close left the rest to the kernel, which delivers it when it can."""
    async with running_fleet(engines=1) as fleet:
        engine = fleet.engines["e-0"]
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            engine.port = listener.getsockname()[1]
            fleet.store.put("servers", "e-0", engine.entry("app", slots=5))
            gateway = fleet.gateways[0]
            await wait_until(lambda: gateway.view.state("e-0").server.slots == 5)
            caller = fleet.caller()
            await caller.send(target, body=BODY)
            await wait_until(lambda: gateway.calls.running == 1)
            await trio.sleep(0.1)  # for the part that fits into the buffers
            await caller.close()
            await wait_until(lambda: not gateway.calls.running)
            connection, _ = listener.accept()
            with trio.fail_after(5):
                received = await read_all(connection)
    assert b"POST" in received
    assert len(received) < len(BODY)


@pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a"])
async def test_engine_that_accepts_late_finds_the_connection_reset(
    target: str,
) -> None:
    """The request lies whole in the engine's own buffer when its caller leaves.

    The engine can read it there, but also learns that nobody waits for the answer.
    """
    async with running_fleet(engines=1) as fleet:
        engine = fleet.engines["e-0"]
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            engine.port = listener.getsockname()[1]
            fleet.store.put("servers", "e-0", engine.entry("app", slots=5))
            gateway = fleet.gateways[0]
            await wait_until(lambda: gateway.view.state("e-0").server.slots == 5)
            caller = fleet.caller()
            await caller.send(target)
            await wait_until(lambda: gateway.calls.running == 1)
            await trio.sleep(0.1)  # for the request to arrive
            await caller.close()
            await wait_until(lambda: not gateway.calls.running)
            connection, _ = listener.accept()
            connection.settimeout(1.0)
            with connection, pytest.raises(ConnectionResetError):
                read_to_the_end(connection)
