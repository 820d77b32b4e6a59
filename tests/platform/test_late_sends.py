"""What becomes known between the choice of a server and the send still counts."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway
from teaseldyke.placement import ServerState
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import Fleet, wait_until

DEADLINE = "X-Teaseldyke-Deadline-Ms"
SLOW_CONNECTION_S = 0.3

Meanwhile = Callable[[Fleet, ServerState], None]


@attrs.define(eq=False)
class HeldConnection:
    """The first connection to a server, which opens only once it is let go.

    Attributes
    ----------
    begun, let_go : trio.Event
        Set once the server is chosen, and to open the connection.
    port : int
        Port of the chosen server.
    """

    gateway: Gateway
    begun: trio.Event = attrs.field(factory=trio.Event)
    let_go: trio.Event = attrs.field(factory=trio.Event)
    port: int = 0

    def hold(self, monkeypatch: pytest.MonkeyPatch) -> HeldConnection:
        """Have the gateway's pool hold the connection."""
        acquire = self.gateway.pool.acquire

        async def acquire_held(host: str, port: int, **fields: Any) -> Any:
            connection = await acquire(host, port, **fields)
            if not self.begun.is_set():
                self.port = port
                self.begun.set()
                await self.let_go.wait()
            return connection

        monkeypatch.setattr(self.gateway.pool, "acquire", acquire_held)
        return self


@pytest.fixture
def held(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> HeldConnection:
    return HeldConnection(fleet.gateways[0]).hold(monkeypatch)


def say_leaving(fleet: Fleet, state: ServerState) -> None:
    state.said_leaving = True


def ask_for_a_pause(fleet: Fleet, state: ServerState) -> None:
    state.record_pause(9.0, boot_time_s())


def write_entry(**fields: object) -> Meanwhile:
    def write(fleet: Fleet, state: ServerState) -> None:
        name = state.server.id
        fleet.store.put("servers", name, fleet.engines[name].entry("app", **fields))

    return write


def evacuate(fleet: Fleet, state: ServerState) -> None:
    name = state.server.id
    entry = fleet.engines[name].entry("app", zone="zone-out")
    fleet.store.put("servers", name, entry)
    fleet.store.put("op", "evacuate/zone-out", {})


class TestServers:
    @pytest.mark.parametrize(
        "meanwhile",
        [
            say_leaving,
            ask_for_a_pause,
            write_entry(state="draining"),
            write_entry(born=2, coldRemainingMs=3000),
            evacuate,
            lambda fleet, state: fleet.store.remove("servers", state.server.id),
        ],
        ids=["said", "pause", "draining", "restarted", "evacuated", "removed"],
    )
    async def test_server_taken_out_during_a_slow_connection_gets_no_request(
        self, fleet: Fleet, held: HeldConnection, meanwhile: Meanwhile
    ) -> None:
        """Only the age of the choice was looked at, which may be up to 1 s."""
        caller = fleet.caller()
        await caller.send("/once/a")
        await held.begun.wait()
        view = held.gateway.view
        (state,) = [s for s in view.states_of("app") if s.server.port == held.port]
        view.set_store_available(True, "test")
        view._store_back_at_s = -math.inf  # no removal is doubted
        meanwhile(fleet, state)
        await trio.sleep(0.1)  # for the store's feed
        held.let_go.set()
        assert (await caller.receive_answer()).status == 200
        assert not fleet.engines[state.server.id].arrivals


class TestDeadRequests:
    @pytest.mark.parametrize("target", ["/safe/a", "/once/a", "/stream/a"])
    async def test_request_of_a_gone_caller_is_not_sent_after_a_slow_connection(
        self, fleet: Fleet, held: HeldConnection, target: str
    ) -> None:
        """The caller was looked at only before the connection was opened."""
        caller = fleet.caller()
        await caller.send(target)
        await held.begun.wait()
        await caller.close()
        await trio.sleep(0.01)  # for the close to arrive
        held.let_go.set()
        await wait_until(lambda: not held.gateway.calls.running)
        assert fleet.arrivals == 0

    async def test_stated_time_is_what_is_left_after_a_slow_connection(
        self, fleet: Fleet, held: HeldConnection
    ) -> None:
        """It was what had been left before the connection was opened."""
        caller = fleet.caller()
        await caller.send("/safe/a", headers={DEADLINE: "1000"})
        await held.begun.wait()
        await trio.sleep(SLOW_CONNECTION_S)
        held.let_go.set()
        assert (await caller.receive_answer()).status == 200
        (arrival,) = [a for e in fleet.engines.values() for a in e.arrivals]
        stated_s = int(arrival.headers[DEADLINE.lower()]) / 1000.0
        assert stated_s <= 1.0 - SLOW_CONNECTION_S

    async def test_request_never_sent_is_refused_as_not_run(
        self, fleet: Fleet, held: HeldConnection
    ) -> None:
        """It was said that a server may have run it, so that nobody retried it."""
        caller = fleet.caller()
        await caller.send("/once/a", headers={DEADLINE: "300"})
        answer = await caller.receive_answer()
        assert answer.status == 503
        assert fleet.arrivals == 0

    async def test_deadline_that_passes_in_a_pause_of_the_process_is_noticed(
        self, fleet: Fleet, held: HeldConnection
    ) -> None:
        """A pause ends with the send, before the deadline's own timer is looked at."""
        caller = fleet.caller()
        await caller.send("/safe/a", headers={DEADLINE: "300"})
        await held.begun.wait()
        held.let_go.set()
        time.sleep(0.4)  # the whole process
        answer = await caller.receive_answer()
        assert answer.status in (503, 504)
        assert fleet.arrivals == 0
