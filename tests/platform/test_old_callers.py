"""Callers with HTTP/1.0, whose answers end with their connection."""

from __future__ import annotations

import pytest
import trio

from tests.platform.conftest import HOST, Fleet, script_all
from tests.platform.standins import event, stream_of


@pytest.mark.parametrize("cut_after", [None, 2])
async def test_broken_stream_ends_with_a_reset(
    fleet: Fleet, cut_after: int | None
) -> None:
    """A clean end would make the part of a stream look complete."""
    script_all(fleet, stream_of(1, 3, cut_after=cut_after))
    address = fleet.caller().address
    received = b""
    is_reset = False
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        lines = [
            "POST /single/a HTTP/1.0",
            f"Host: {HOST}",
            "X-Teaseldyke-Request-Id: r-1",
            "X-Teaseldyke-Deadline-Ms: 2500",
            "Content-Length: 0",
        ]
        head = "\r\n".join(lines) + "\r\n\r\n"
        await stream.send_all(head.encode())
        with trio.fail_after(5):
            try:
                async for data in stream:
                    received += data
            except trio.BrokenResourceError:
                is_reset = True
    assert received.startswith(b"HTTP/1.1 200"), received
    assert event(2) in received
    assert (event(3) in received) == (cut_after is None)
    assert is_reset == (cut_after is not None)
