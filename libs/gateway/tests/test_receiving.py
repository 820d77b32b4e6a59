"""Datagrams of other instances, read by a busy process."""

from __future__ import annotations

import math
import socket
import time
from typing import cast

import msgspec

from teaseldyke.gateway.interfaces import Directory, Peer
from teaseldyke.gateway.sums import RelayedChanges
from teaseldyke.gateway.totals import TotalsExchange
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import CrashEvidence
from teaseldyke.timers import boot_time_s

DATAGRAMS = 100


class CountingDirectory:
    def __init__(self) -> None:
        self.applied = 0
        self.oldest_s = math.inf

    def apply_changes(self, data: bytes, as_of_s: float) -> None:
        self.applied += 1
        self.oldest_s = min(self.oldest_s, as_of_s)


def test_pending_datagrams_are_read_at_once(view: FleetView) -> None:
    """With one per pass, changes would be read ever later by a busy process."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()
        directory = CountingDirectory()
        own = Peer("node-0", *address)
        exchange = TotalsExchange(
            own, view, cast(Directory, directory), CrashEvidence()
        )
        exchange.open()
        exchange.read()
        sent_at_s = boot_time_s()
        data = msgspec.msgpack.encode(RelayedChanges(b"news"))
        for _ in range(DATAGRAMS):
            sender.sendto(data, address)
        time.sleep(0.05)  # lies unread
        exchange.read()
        exchange.close()
    assert directory.applied == DATAGRAMS
    assert directory.oldest_s <= sent_at_s
