"""Time until the other instances know of a send."""

from __future__ import annotations

from typing import cast

import pytest

from teaseldyke.gateway.interfaces import Directory, Peer
from teaseldyke.gateway.totals import EXCHANGE_INTERVAL_S, TotalsExchange
from teaseldyke.gateway.view import FleetView
from teaseldyke.placement import CrashEvidence


@pytest.mark.parametrize(
    ("instances", "rounds"), [(1, 0), (6, 1), (16, 1), (70, 2)], ids=str
)
def test_lag_is_the_rounds_in_which_totals_spread(
    view: FleetView, instances: int, rounds: int
) -> None:
    own = Peer("node-0", "127.0.0.1", 1)
    exchange = TotalsExchange(own, view, cast(Directory, object()), CrashEvidence())
    exchange.add_peers(
        [Peer(f"node-{number}", "127.0.0.1", 1) for number in range(instances)]
    )
    assert exchange.lag_s == pytest.approx(rounds * EXCHANGE_INTERVAL_S)
    exchange.close()
