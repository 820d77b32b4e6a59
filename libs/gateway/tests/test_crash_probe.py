"""Finding out whether a server has crashed."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio
import trio.testing

from teaseldyke.gateway import crashes
from teaseldyke.types import AnnouncedServer


async def test_cancelled_probe_tells_others_nothing(
    make_server: Callable[..., AnnouncedServer], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cut answer counted as complete when another caller's probe was cancelled."""

    async def refuses(host: str, port: int, timeout_s: float) -> bool:
        await trio.sleep(0.02)
        return True

    monkeypatch.setattr(crashes, "refuses_connections", refuses)
    probe = crashes.CrashProbe()
    server = make_server("s-1")
    results: list[bool] = []

    async def ask() -> None:
        results.append(await probe.has_crashed(server))

    async with trio.open_nursery() as waiting, trio.open_nursery() as leaving:
        leaving.start_soon(probe.has_crashed, server)
        await trio.testing.wait_all_tasks_blocked()
        waiting.start_soon(ask)
        await trio.testing.wait_all_tasks_blocked()
        leaving.cancel_scope.cancel()
    assert results == [True]
