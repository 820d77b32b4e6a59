"""The store gives no response for a while, and what it was asked for is lost."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
import trio

from teaseldyke.gateway import FeedRole, Gateway, LostCalls
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import (
    Answer,
    Fleet,
    configuration,
    running_fleet,
    script_all,
    wait_until,
)
from tests.platform.standins import Arrival, EngineStandin, answer_head, chunk, event
from tests.platform.store_standin import StoreStandin

OUTAGE_S = 4.5
# Of a machine's touch with the store; what the store acknowledges later is in force
# within a bound from its acknowledgement.
STABLE_S = 3.0
BOUND_S = 2.0


@attrs.frozen
class Change:
    """An entry of the store that changes, and how to see that it is known."""

    write: Callable[[StoreStandin], None]
    is_known: Callable[[Gateway], bool]


def take_keys_away(store: StoreStandin) -> None:
    tenants = [{"name": "parish", "apiKeys": []}]
    store.put("op", "config", configuration(2, tenants=tenants))


CHANGES = [
    Change(take_keys_away, lambda gateway: gateway.view.table.version == 2),
    Change(
        lambda store: store.put("op", "evacuate/zone-x", {}),
        lambda gateway: "zone-x" in gateway.view.evacuated,
    ),
    Change(
        lambda store: store.remove("servers", "e-1"),
        lambda gateway: len(gateway.view.states_of("app")) == 1,
    ),
]


async def all_know_changes(fleet: Fleet, within_s: float) -> None:
    """Change an entry of each kind, and wait until all instances know of all."""
    for change in CHANGES:
        change.write(fleet.store)
    await wait_until(
        lambda: all(
            change.is_known(gateway) for gateway in fleet.gateways for change in CHANGES
        ),
        within_s,
    )


async def with_gateways(fleet: Fleet, gateways: int) -> None:
    for i in range(2, gateways + 1):
        await fleet.add_gateway(f"g-{i}")
    await wait_until(
        lambda: all(gateway.totals.alive == gateways for gateway in fleet.gateways)
    )
    # A change ends the polls of all; each begins a new one.
    fleet.store.put("op", "config", configuration(1))
    fleet.store.put("servers", "e-0", fleet.engines["e-0"].entry("app", sequence=9))
    await trio.sleep(0.3)


@pytest.mark.parametrize("gateways", [1, 3])
async def test_keys_taken_away_after_an_outage_stayed_in_use(gateways: int) -> None:
    """All instances waited for responses that the store had lost in its outage."""
    async with running_fleet() as fleet:
        await with_gateways(fleet, gateways)
        fleet.store.silent = True
        fleet.store.lose_calls()
        await trio.sleep(OUTAGE_S)
        fleet.store.silent = False
        await trio.sleep(STABLE_S)
        await all_know_changes(fleet, BOUND_S)


@pytest.mark.parametrize("gateways", [1, 3])
async def test_lost_responses_without_an_outage_left_all_instances_deaf(
    gateways: int,
) -> None:
    """The same for connections that go silent while new ones work."""
    async with running_fleet() as fleet:
        await with_gateways(fleet, gateways)
        fleet.store.lose_calls()
        await all_know_changes(fleet, STABLE_S)


async def stream_for_a_second(
    _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
) -> None:
    head = answer_head(
        arrival, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
    )
    await stream.send_all(head + b"\r\n")
    for number in range(1, 6):
        await stream.send_all(chunk(event(number)))
        await trio.sleep(0.2)
    await stream.send_all(b"0\r\n\r\n")


@pytest.mark.parametrize("gateways", [1, 3])
async def test_time_outs_that_were_replaced_seconds_ago_cut_streams(
    gateways: int,
) -> None:
    """The change that allows more time was among the lost responses."""
    async with running_fleet() as fleet:
        await with_gateways(fleet, gateways)
        script_all(fleet, *[stream_for_a_second] * 8)
        short = configuration(2)
        for entry in short["routes"]:
            entry["timeoutMs"] = 300
        fleet.store.put("op", "config", short)
        await wait_until(lambda: all(g.view.table.version == 2 for g in fleet.gateways))
        await trio.sleep(0.1)
        fleet.store.silent = True
        fleet.store.lose_calls()
        await trio.sleep(OUTAGE_S)
        fleet.store.silent = False
        fleet.store.put("op", "config", configuration(3))
        await trio.sleep(STABLE_S)
        answers: list[Answer] = []
        for number, gateway in enumerate(fleet.gateways):
            caller = fleet.caller(gateway)
            answers.append(await caller.request("/stream/a", request_id=f"r-{number}"))
        assert [(answer.status, answer.complete) for answer in answers] == [
            (200, True)
        ] * gateways


async def test_start_beside_a_silent_store() -> None:
    async with running_fleet() as fleet:
        fleet.store.silent = True
        fleet.store.lose_calls()
        await fleet.add_gateway("g-2")
        await trio.sleep(OUTAGE_S)
        fleet.store.silent = False
        await trio.sleep(STABLE_S)
        await all_know_changes(fleet, BOUND_S)


async def test_outage_makes_few_calls() -> None:
    """Calls of the store are charged, lost ones too."""
    async with running_fleet() as fleet:
        await with_gateways(fleet, 3)
        fleet.store.silent = True
        fleet.store.lose_calls()
        before = len(fleet.store.calls)
        await trio.sleep(OUTAGE_S)
        fleet.store.silent = False
        await trio.sleep(STABLE_S)
        assert len(fleet.store.calls) - before <= 3 * 2 * (OUTAGE_S + STABLE_S)


async def test_new_leader_waited_for_its_poll_as_a_follower(fleet: Fleet) -> None:
    """Its followers need its relays, and poll the store themselves until then."""
    directory = fleet.gateways[0].directory
    await trio.sleep(0.2)
    before = len(fleet.store.calls)
    directory.take_place(FeedRole.FOLLOWER, 1, 8)
    assert len(fleet.store.calls) == before
    directory.take_place(FeedRole.LEADER, 0, 8)
    await wait_until(lambda: len(fleet.store.calls) >= before + 2, 0.5)


async def test_word_of_lost_calls_repeats_a_poll_once(fleet: Fleet) -> None:
    await trio.sleep(0.2)
    directory = fleet.gateways[0].directory
    directory.take_place = lambda *_: None
    directory.polls.pollers = 8
    fleet.store.put("op", "config", configuration(1))
    fleet.store.put("servers", "e-0", fleet.engines["e-0"].entry("app", sequence=9))
    await trio.sleep(0.9)
    assert len(directory._pending) == 2
    await trio.sleep(0.3)
    lost = LostCalls(boot_time_s(), was_away=True)
    before = len(fleet.store.calls)
    for _ in range(20):
        directory.note_lost_calls(lost)
        await trio.sleep(0.05)
    assert len(fleet.store.calls) - before <= 6
    assert fleet.gateways[0].view.store_available
