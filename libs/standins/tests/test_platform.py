from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from teaseldyke.platform import (
    ABSENT,
    Faults,
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
    Instance,
    Write,
)
from teaseldyke.settings import Address
from teaseldyke.standins import Platform, View
from teaseldyke.standins.budget import CallBudget
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

Start = Callable[..., Awaitable[Any]]


async def test_drivers_work_with_the_platform(start: Start) -> None:
    served = await start(Platform(Faults()).handle)
    server = (served.client, "127.0.0.1", served.port)
    tables, objects = HttpTableService(*server), HttpObjectStore(*server)
    assert await tables.transact([Write("t", "a/1", b"\xff", ABSENT)]) == [1]
    assert await tables.transact([Write("t", "b", b"")]) == [1]
    with pytest.raises(WriteConflict, match="has version 1, expected 0"):
        await tables.transact([Write("t", "a/1", b"", ABSENT)])
    row = await tables.get("t", "a/1")
    assert row is not None
    assert row.value == b"\xff"
    assert [r.key for r in await tables.scan("t", after="a/1")] == ["b"]
    assert await tables.get("t", "none") is None
    await objects.put("x/y", b"data")
    assert await objects.get("x/y") == b"data"
    assert await objects.get("x") is None
    assert await objects.names("x") == ["x/y"]
    instances = HttpInstanceList(*server)
    instance = Instance("r1", "router", "live", "north", "127.0.0.1", 1, 2)
    await instances.announce(instance, 10.0)
    assert await instances.instances() == [instance]
    counts = (await served.call("GET", "/counts")).json()
    assert counts["tables"] == {"reads": 3, "writes": 3}


async def test_restored_platform_has_lost_what_was_written_since_the_copy(
    start: Start, caplog: pytest.LogCaptureFixture
) -> None:
    """The driver reports the restore once, and not the first era that it sees."""
    served = await start(Platform(Faults()).handle)
    tables = HttpTableService(served.client, "127.0.0.1", served.port)
    assert await tables.transact([Write("t", "k", b"kept", ABSENT)]) == [1]
    await served.call("PUT", "/copy")
    assert await tables.transact([Write("t", "k", b"lost", 1)]) == [2]
    await served.call("PUT", "/restore")
    for _ in range(2):
        row = await tables.get("t", "k")
        assert row is not None
        assert (row.version, row.value) == (1, b"kept")
    assert await tables.transact([Write("t", "k", b"anew", 1)]) == [2]
    events = [getattr(record, "event", "") for record in caplog.records]
    assert events == ["platform_restored"]


async def test_view_shows_relay_addresses(start: Start) -> None:
    platform = Platform(Faults())
    served = await start(View(platform, {"r1": Address("127.0.0.9", 77)}).handle)
    instances = HttpInstanceList(served.client, "127.0.0.1", served.port)
    for name in ("r1", "r2"):
        instance = Instance(name, "router", "live", "north", "127.0.0.1", 1, 2)
        await instances.announce(instance, 10.0)
    shown = [(i.host, i.port, i.admin_port) for i in await instances.instances()]
    assert shown == [("127.0.0.9", 77, 2), ("127.0.0.1", 1, 2)]


async def test_faults_are_set_and_cleared(start: Start) -> None:
    served = await start(Platform(Faults()).handle)
    tables = HttpTableService(served.client, "127.0.0.1", served.port)
    await served.call("PUT", "/faults", b'{"lose_answers": 1.0}')
    with pytest.raises(AnswerLost):
        await tables.transact([Write("t", "k", b"v", ABSENT)])
    await served.call("PUT", "/faults", b'{"down": true}')
    with pytest.raises(PlatformUnavailable):
        await tables.get("t", "k")
    await served.call("PUT", "/faults", b"{}")
    assert await tables.get("t", "k") is not None


async def test_calls_above_the_budget_have_no_effect(start: Start) -> None:
    platform = Platform(Faults(), CallBudget("reads", 2), CallBudget("writes", 2))
    served = await start(platform.handle)
    tables = HttpTableService(served.client, "127.0.0.1", served.port)
    writes = [Write("t", key, b"") for key in "abc"]
    with pytest.raises(PlatformUnavailable):
        await tables.transact(writes)
    await tables.transact(writes[:2])
    assert len(await tables.scan("t")) == 2
    await tables.get("t", "a")
    with pytest.raises(PlatformUnavailable):
        await tables.get("t", "a")
    counts = (await served.call("GET", "/counts")).json()
    assert counts["refused"] == {"reads": 1, "writes": 3}


@pytest.mark.parametrize(
    ("method", "target", "body", "status"),
    [
        ("PUT", "/faults", b'{"dwon": true}', 400),
        ("PUT", "/faults", b'{"down": 3}', 400),
        ("PUT", "/faults", b"[]", 400),
        ("POST", "/transactions", b"{", 400),
        ("GET", "/tables/t/rows?limit=x", b"", 400),
        ("PUT", "/instances/r1", b"{}", 400),
        ("GET", "/nothing", b"", 404),
        ("DELETE", "/objects/x", b"", 404),
    ],
)
async def test_bad_orders(
    start: Start, method: str, target: str, body: bytes, status: int
) -> None:
    served = await start(Platform(Faults()).handle)
    assert (await served.call(method, target, body)).status == status
