"""Long bodies that arrive slowly, at an instance with little memory."""

from __future__ import annotations

import tracemalloc
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
import trio

from tests.platform.conftest import (
    HOST,
    Fleet,
    configuration,
    route,
    running_fleet,
    wait_until,
)

MIB = 1024 * 1024
BODY = bytes(4 * MIB)  # the most that the operators allow
CALLERS = 24
# The smallest instance has 128 MB, of which 60 are used without bodies.
MEMORY_MAX_BYTES = 68 * MIB
PATIENT = {"X-Teaseldyke-Deadline-Ms": "15000"}


@pytest.fixture
async def patient_fleet() -> AsyncIterator[Fleet]:
    """Run a fleet that accepts long bodies and waits for them."""
    async with running_fleet() as fleet:
        value = configuration(version=2)
        value["routes"] = [route("safe", "idempotent", "app", timeoutMs=15000)]
        value["limits"]["maxBodyBytes"] = len(BODY)
        fleet.store.put("op", "config", value)
        gateway = fleet.gateways[0]
        await wait_until(
            lambda: gateway.view.table is not None and gateway.view.table.version == 2
        )
        yield fleet


class SlowCaller:
    """Sends all but the last byte of its body, and that one when asked."""

    def __init__(self, fleet: Fleet, number: int, framing: str) -> None:
        self.caller = fleet.caller()
        self.id = f"slow-{number}"
        self.framing = framing

    async def send_most(self) -> None:
        """Send the header and most of the body, or as much as is taken."""
        address = self.caller.address
        self.stream = await trio.open_tcp_stream(address.host, address.port)
        self.caller.stream = self.stream
        is_chunked = self.framing == "chunked"
        framing = (
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {len(BODY)}"
        )
        head = (
            f"POST /safe/a HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n"
            f"X-Teaseldyke-Request-Id: {self.id}\r\n"
            "X-Teaseldyke-Deadline-Ms: 15000\r\n\r\n"
        )
        try:
            await self.stream.send_all(head.encode())
            if is_chunked:
                await self.stream.send_all(f"{len(BODY):x}\r\n".encode())
            await self.stream.send_all(memoryview(BODY)[:-1])
        except trio.BrokenResourceError:
            return

    async def finish(self) -> tuple[int, str]:
        """Send the rest; return the answer's status and when to come back."""
        end = b"\0\r\n0\r\n\r\n" if self.framing == "chunked" else b"\0"
        with suppress(trio.BrokenResourceError):  # refused; the answer can be read
            await self.stream.send_all(end)
        data = b""
        with trio.fail_after(10):
            while b"\r\n\r\n" not in data:
                data += await self.stream.receive_some(65536)
        lines = data.split(b"\r\n")
        retry_after = [line for line in lines if line.startswith(b"retry-after: ")]
        return int(lines[0].split()[1]), str(retry_after)


@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_bodies_that_arrive_slowly_do_not_fill_the_memory(
    patient_fleet: Fleet, framing: str
) -> None:
    """The end of the process would leave all its requests without any answer."""
    fleet = patient_fleet
    callers = [SlowCaller(fleet, number, framing) for number in range(CALLERS)]
    tracemalloc.start()
    try:
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.send_most)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MEMORY_MAX_BYTES
    short = await fleet.caller().request(
        "/safe/a", headers=PATIENT, body=bytes(12_000), request_id="short"
    )
    assert short.status == 200
    answers = [await caller.finish() for caller in callers]
    statuses = [status for status, _ in answers]
    assert set(statuses) == {200, 503}
    assert all(bool(back != "[]") == (status == 503) for status, back in answers)
    assert fleet.arrivals == statuses.count(200) + 1
    again = SlowCaller(fleet, CALLERS, framing)
    await again.send_most()
    assert (await again.finish())[0] == 200
