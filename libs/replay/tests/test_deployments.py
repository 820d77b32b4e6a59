from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.configuration import Sheet
from teaseldyke.replay import (
    Arrival,
    Entry,
    SwitchOrder,
    write_book_closing,
    write_storm_night,
)
from teaseldyke.types import BackendServer, Organisation, Service

Writer = Callable[..., list[Entry]]


def _sheet() -> Sheet:
    servers = [
        BackendServer(f"engine-{i}", "language-model", "127.0.0.1", 9000 + i, "north")
        for i in range(5)
    ]
    return Sheet(
        {name: Organisation(name, share) for name, share in (("a", 4.0), ("b", 1.0))},
        {
            "language-model": Service("language-model", "engine", 4),
            "ledger": Service("ledger", "plain", 4),
        },
        {server.name: server for server in servers},
        ("north", "south"),
    )


def _write(writer: Writer, seed: int = 3) -> list[Entry]:
    return writer(_sheet(), seed=seed, duration_s=40.0, routers=3)


@pytest.mark.parametrize("writer", [write_storm_night, write_book_closing])
def test_seed_determines_the_trace(writer: Writer) -> None:
    assert _write(writer) == _write(writer)
    assert _write(writer) != _write(writer, seed=4)


@pytest.mark.parametrize("writer", [write_storm_night, write_book_closing])
def test_writes_have_unique_idempotency_keys(writer: Writer) -> None:
    writes = [e for e in _write(writer) if isinstance(e, Arrival) and not e.idempotent]
    assert writes
    assert len({write.idempotency_key for write in writes}) == len(writes)


def test_storm_night_switches_failure_domain_out_and_in() -> None:
    switches = [e for e in _write(write_storm_night) if isinstance(e, SwitchOrder)]
    assert [(e.at_s, e.out) for e in switches] == [(16.0, True), (28.0, False)]


def test_book_closing_floods_one_router() -> None:
    sent = [e for e in _write(write_book_closing) if isinstance(e, Arrival)]
    flood = [e for e in sent if e.organisation == "a" and e.output_tokens]
    output_tokens = sum(arrival.output_tokens for arrival in flood)
    assert {arrival.router for arrival in flood} == {0}
    assert output_tokens == pytest.approx(2.0 * 20 * 50 * 20, rel=0.2)
