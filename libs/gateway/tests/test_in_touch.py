"""Since when an instance is in touch with the others, and what a pause changes."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from typing import cast

import attrs
import msgspec
import pytest

from teaseldyke.gateway.interfaces import Directory, KnownVersions, Peer
from teaseldyke.gateway.membership import ALIVE_TIMEOUT_S, Membership
from teaseldyke.gateway.sums import Sums, TotalsMessage
from teaseldyke.gateway.totals import PAUSE_SETTLE_S, TotalsExchange
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import CrashEvidence
from teaseldyke.timers import boot_time_s
from teaseldyke.types import StoreVersion

OWN = Peer("node-0", "127.0.0.1", 0)


@pytest.mark.parametrize(
    ("heard_at_s", "expected"),
    [
        ([], -math.inf),
        ([9.8], 9.8),
        ([9.8, 4.0], 9.8),
        ([9.8, 9.6, 4.0], 9.6),
        ([9.9, 9.8, 9.7, 4.0, 3.0, 2.0], 9.7),
        ([9.9, 9.8, 4.0, 3.0, 2.0, 1.0], 4.0),
    ],
    ids=["sole", "two", "of-three", "of-four", "of-seven", "minority"],
)
def test_majority_is_as_old_as_its_oldest_sign_of_life(
    heard_at_s: list[float], expected: float
) -> None:
    membership = Membership(OWN)
    for i, at_s in enumerate(heard_at_s, 1):
        membership.record_received(Peer(f"node-{i}", "127.0.0.1", i), at_s)
    membership.refresh(10.0)
    assert membership.majority_heard_at_s == expected


@pytest.mark.parametrize(
    ("heard_at_s", "expected"),
    [([], (0, 1)), ([9.9, 9.9], (0, 3)), ([9.9, 1.0, 1.0], (0, 1))],
    ids=["sole", "all", "minority"],
)
def test_instance_without_a_majority_polls_as_if_alone(
    heard_at_s: list[float], expected: tuple[int, int]
) -> None:
    membership = Membership(OWN)
    for i, at_s in enumerate(heard_at_s, 1):
        membership.record_received(Peer(f"node-{i}", "127.0.0.1", i), at_s)
    membership.refresh(10.0)
    assert membership.poll_rank() == expected


@attrs.define
class VersionedDirectory:
    """A directory that knows the servers' entries up to a version."""

    number: int = 5

    def is_behind(self, versions: KnownVersions) -> bool:
        return versions.servers.number > self.number


def message(number: int, servers: int) -> TotalsMessage:
    return TotalsMessage(
        *("node-1", "127.0.0.1", 1, 1.0, number, (0, servers)),
        *((0, 0), [], [], Sums(), 1),
    )


@pytest.fixture
def exchange(view: FleetView) -> Iterator[TotalsExchange]:
    directory = cast(Directory, VersionedDirectory())
    exchange = TotalsExchange(OWN, view, directory, CrashEvidence())
    exchange.open()
    yield exchange
    exchange.close()


class TestInTouch:
    def hear(self, exchange: TotalsExchange, number: int, servers: int = 5) -> None:
        exchange.read()
        data = msgspec.msgpack.encode(message(number, servers))
        exchange._handle_datagram(data, boot_time_s())
        exchange._membership.refresh(boot_time_s())

    def test_instance_behind_counted_as_in_touch_while_it_caught_up(
        self, exchange: TotalsExchange
    ) -> None:
        """The peer to catch up from is forgotten once the listing is asked for."""
        exchange.read()
        self.hear(exchange, 1)
        assert exchange.in_touch_as_of_s > boot_time_s() - ALIVE_TIMEOUT_S
        self.hear(exchange, 2, servers=StoreVersion(1, 6).number)
        exchange.peer_ahead = None
        assert exchange.in_touch_as_of_s == -math.inf
        exchange._directory.number = 6
        assert exchange.in_touch_as_of_s > boot_time_s() - ALIVE_TIMEOUT_S

    def test_datagrams_read_late_after_a_pause_are_old(
        self, exchange: TotalsExchange
    ) -> None:
        exchange.read()
        self.hear(exchange, 1)
        time.sleep(ALIVE_TIMEOUT_S + 0.05)  # a pause of the process
        self.hear(exchange, 2)
        assert exchange.in_touch_as_of_s == -math.inf
        until_s = boot_time_s() + PAUSE_SETTLE_S + 0.05
        number = 3
        while boot_time_s() < until_s:
            time.sleep(0.05)
            self.hear(exchange, number)
            number += 1
        assert exchange.in_touch_as_of_s > boot_time_s() - ALIVE_TIMEOUT_S
