"""An instance is cut off for seconds while engines of a new version join."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway
from teaseldyke.settings import Address
from teaseldyke.standins.relay import Route, RouteOrder
from teaseldyke.standins.settings import RouteSettings
from tests.platform.conftest import Fleet, wait_until
from tests.platform.stream_client import (
    StreamClient,
    add_version,
    running_versions,
    wait_until_known,
)

BEGINNINGS = 50
TAKE_UP_AFTER_S = (0.0, 0.3, 0.7, 1.5, 3.0)  # from the first stream of the new version


@attrs.frozen
class Cut:
    """What an instance is cut off from, in a fleet of some size.

    ``is_sole`` is an instance that has never heard of the others.
    """

    instances: int
    from_store: bool = True
    from_others: bool = True
    is_sole: bool = False


CUTS = {
    "sole": Cut(2, is_sole=True),
    "two": Cut(2),
    "three": Cut(3),
    "five": Cut(5),
    "from-the-store": Cut(3, from_others=False),
    "from-the-others": Cut(3, from_store=False),
}


def drop_datagrams(gateway: Gateway) -> None:
    """Lose all datagrams from and to an instance."""
    gateway.totals.read = lambda: None
    gateway.totals._send_data = lambda _peers, _data: None


@asynccontextmanager
async def running(cut: Cut) -> AsyncIterator[tuple[Fleet, Gateway, Route]]:
    """Run a fleet at one version whose last instance reaches the store by a relay."""
    async with running_versions("v1", "v1", gateways=cut.instances - 1) as fleet:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        target = Address("127.0.0.1", fleet.store.port)
        link = Route(RouteSettings("store", Address("127.0.0.1", port), target))
        await fleet.nursery.start(trio.serve_listeners, link.relay, listeners)
        late = await fleet.add_gateway("z-9", platform=link.settings.listen)
        if cut.is_sole:
            drop_datagrams(late)
            late.totals._membership._known.clear()
            fleet.gateways.remove(late)
        await wait_until_known(fleet)
        await wait_until(lambda: len(late.view.states_of("app")) == 2)
        await trio.sleep(1.0)
        # A change ends the polls of all, which then wait for long.
        entry = fleet.engines["e-0"].entry("app", version="v1", slots=5)
        fleet.store.put("servers", "e-0", entry)
        await trio.sleep(0.3)
        yield fleet, late, link


@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)
async def test_instance_out_of_step_took_its_version_for_the_sole_one(
    cut: Cut,
) -> None:
    """Streams that had begun at the new version went on at engines of the old one."""
    async with running(cut) as (fleet, late, link):
        if cut.from_store:
            await link.apply(RouteOrder("hold"))
        if cut.from_others:
            drop_datagrams(late)
        clients: list[StreamClient] = []

        async def begin() -> None:
            for _ in range(BEGINNINGS):
                client = StreamClient(fleet)
                await client.begin(fleet.gateways[0])
                if client.versions == {"v2"}:
                    clients.append(client)
                    return
            raise AssertionError("no stream began at v2")

        for number in range(2):
            await add_version(fleet, f"n-{number}", "v2")
        with trio.fail_after(5):
            await begin()
        first_s = trio.current_time()
        for after_s in TAKE_UP_AFTER_S:
            await trio.sleep_until(first_s + after_s)
            await begin()
            for client in clients[-2:]:
                await client.take_up(late)
        assert [c.events for c in clients if len(c.versions) > 1] == []
