"""An engine leaves while an instance was away, by the state of the store (DRAIN)."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import Fleet, wait_until
from tests.platform.standins import answer_with, stream_of
from tests.platform.store_standin import StoreStandin

DRAIN_S = 2.0  # from the store's acknowledgement to the last send
TOLD_S = 0.5  # a few rounds between instances
ANSWERS = ("plain", "failure", "refusal")
STATEMENTS = {
    "plain": answer_with(200, "Server-Leaving: 1"),
    "failure": answer_with(500, "Server-Leaving: 1"),
    "refusal": answer_with(503, "X-Teaseldyke-Not-Run: 1", "Server-Leaving: 1"),
}


async def add_gateway_with_its_own_store(fleet: Fleet) -> tuple[Gateway, StoreStandin]:
    """Add an instance that reads a store of its own, as if it were served apart."""
    own_store = StoreStandin()
    await fleet.nursery.start(own_store.run)
    first_store = fleet.store
    own_store.rows, own_store.version = dict(first_store.rows), first_store.version
    fleet.store = own_store
    gateway = await fleet.add_gateway("g-2")
    fleet.store = first_store
    await wait_until(lambda: gateway.is_ready)
    await wait_until(lambda: len(gateway.view.states_of("app")) == 2)
    gateway.totals.add_peers([fleet.gateways[0].totals.own])
    await wait_until(lambda: fleet.gateways[0].totals.instances == 2)
    return gateway, own_store


def refuse(store: StoreStandin) -> None:
    store.status = 503


def be_silent(store: StoreStandin) -> None:
    store.silent = True


@pytest.mark.parametrize("trouble", [refuse, be_silent], ids=["refused", "silent"])
@pytest.mark.parametrize("is_away_for_all", [False, True], ids=["one", "all"])
async def test_instance_that_was_away_learns_of_a_leaving_engine_from_a_peer(
    fleet: Fleet, trouble: Callable[[StoreStandin], None], is_away_for_all: bool
) -> None:
    """The store had told only the others, and may be away for all by then."""
    away, own_store = await add_gateway_with_its_own_store(fleet)
    trouble(own_store)
    fleet.store.version = max(fleet.store.version, own_store.version) + 10
    engine = fleet.engines["e-0"]
    fleet.store.put("servers", "e-0", engine.entry("app", state="draining"))
    told = fleet.gateways[0].view
    await wait_until(lambda: len(told.states_of("app")) == 1)
    if is_away_for_all:
        trouble(fleet.store)
    await wait_until(lambda: len(away.view.states_of("app")) == 1, DRAIN_S)
    for i in range(4):
        answer = await fleet.caller(away).request("/safe/a", request_id=f"r-{i}")
        assert answer.status == 200
    assert not engine.arrivals


async def test_instance_that_starts_while_the_store_is_away_uses_no_leaving_engine(
    fleet: Fleet,
) -> None:
    engine = fleet.engines["e-0"]
    fleet.store.put("servers", "e-0", engine.entry("app", state="draining"))
    told = fleet.gateways[0]
    await wait_until(lambda: len(told.view.states_of("app")) == 1)
    fleet.store.status = 503
    started = await fleet.add_gateway("g-2")
    started.totals.add_peers([told.totals.own])
    await wait_until(lambda: started.is_ready)
    await wait_until(lambda: bool(started.view.states_of("app")))
    for i in range(4):
        answer = await fleet.caller(started).request("/safe/a", request_id=f"r-{i}")
        assert answer.status == 200
    assert not engine.arrivals


@pytest.mark.parametrize("change", ["heartbeat", "compaction", "outage", "copy"])
@pytest.mark.parametrize("statement", ANSWERS)
async def test_engine_that_said_it_leaves_stays_out_whatever_the_store_says(
    fleet: Fleet, statement: str, change: str
) -> None:
    """Its own answer is newer than an entry that is still `ready`."""
    engine = fleet.engines["e-0"]
    engine.scripts = [STATEMENTS[statement]]
    with trio.fail_after(5):
        while not engine.arrivals:
            await fleet.caller().request("/safe/a")
    engine.scripts = []
    store = fleet.store
    copy = store.copy()
    if change == "outage":
        store.status = 503
        store.compact()  # ends the polls that the store holds
        await wait_until(lambda: not fleet.gateways[0].view.store_available)
        store.status = 200
    store.put("servers", "e-0", engine.entry("app", sequence=7, slots=5))
    if change == "compaction":
        store.compact()
    if change == "copy":
        store.restore(copy)
    await trio.sleep(0.4)  # for the store's news
    for i in range(6):
        answer = await fleet.caller().request("/safe/a", request_id=f"r-{i}")
        assert answer.status == 200
    assert len(engine.arrivals) == 1


async def test_resumed_stream_goes_to_no_engine_that_leaves_meanwhile(
    fleet: Fleet,
) -> None:
    """A stream breaks; the second engine has begun to leave since its start."""
    await fleet.add_engine("e-2")
    view = fleet.gateways[0].view
    await wait_until(lambda: len(view.states_of("app")) == 3)
    for engine in fleet.engines.values():
        engine.scripts = [stream_of(1, 60, cut_after=60), stream_of(61, 62)]
    caller = fleet.caller()
    await caller.send("/stream/a")
    await wait_until(lambda: fleet.arrivals == 1)
    (first,) = [name for name, e in fleet.engines.items() if e.arrivals]
    leaving, sound = [name for name in fleet.engines if name != first]
    store = fleet.store
    store.put("servers", leaving, fleet.engines[leaving].entry("app", state="draining"))
    await wait_until(lambda: len(view.states_of("app")) == 2)
    fleet.engines[sound].scripts = [stream_of(61, 62)]
    with trio.fail_after(5):
        answer = await caller.receive_answer()
    assert answer.complete
    assert not fleet.engines[leaving].arrivals


@pytest.mark.parametrize("statement", ANSWERS)
async def test_instance_learns_from_a_peer_that_an_engine_said_it_leaves(
    fleet: Fleet, statement: str
) -> None:
    """Only the instance that got the answer knew; its entry is still `ready`."""
    other = await fleet.add_gateway("g-2")
    await wait_until(lambda: other.is_ready and other.totals.instances == 2)
    await wait_until(lambda: len(other.view.states_of("app")) == 2)
    engine = fleet.engines["e-0"]
    engine.scripts = [STATEMENTS[statement]]
    with trio.fail_after(5):
        while not engine.arrivals:
            await fleet.caller().request("/safe/a")
    await wait_until(lambda: len(other.view.states_of("app")) == 1, TOLD_S)
    for i in range(6):
        answer = await fleet.caller(other).request("/safe/a", request_id=f"r-{i}")
        assert answer.status == 200
    assert len(engine.arrivals) == 1


async def test_new_start_of_an_engine_that_said_it_leaves_is_used_everywhere(
    fleet: Fleet,
) -> None:
    other = await fleet.add_gateway("g-2")
    await wait_until(lambda: other.is_ready and other.totals.instances == 2)
    await wait_until(lambda: len(other.view.states_of("app")) == 2)
    engine = fleet.engines["e-0"]
    engine.scripts = [STATEMENTS["plain"]]
    with trio.fail_after(5):
        while not engine.arrivals:
            await fleet.caller().request("/safe/a")
    await trio.sleep(TOLD_S)
    fleet.store.put("servers", "e-0", engine.entry("app", born=77))
    for gateway in fleet.gateways:
        view = gateway.view
        await wait_until(lambda view=view: len(view.states_of("app")) == 2)
    await trio.sleep(TOLD_S)
    for gateway in fleet.gateways:
        assert len(gateway.view.states_of("app")) == 2
