"""Datagrams of other instances, read by a busy process."""

from __future__ import annotations

import socket
from typing import cast

import msgspec
import trio

from teaseldyke.gateway.interfaces import Directory, Peer
from teaseldyke.gateway.sums import RelayedChanges
from teaseldyke.gateway.totals import TotalsExchange
from teaseldyke.gateway.view import FleetView

DATAGRAMS = 100


class CountingDirectory:
    def __init__(self) -> None:
        self.applied = 0

    def apply_changes(self, data: bytes, as_of_s: float) -> None:
        self.applied += 1


async def test_pending_datagrams_are_read_in_few_passes(
    view: FleetView,
) -> None:
    """With one per pass, changes would be read ever later by a busy process."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()
        directory = CountingDirectory()
        own = Peer("node-0", *address)
        exchange = TotalsExchange(own, view, cast(Directory, directory))
        exchange.open()
        data = msgspec.msgpack.encode(RelayedChanges(b"news"))
        passes = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange.receive)
            for _ in range(DATAGRAMS):
                sender.sendto(data, address)
            while directory.applied < DATAGRAMS and passes < DATAGRAMS:
                passes += 1
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
    assert directory.applied == DATAGRAMS
    assert passes <= DATAGRAMS // 10
