"""Instances that are all late at once, as when a whole fleet starts under load."""

from __future__ import annotations

import socket
import time
from typing import Any

import pytest
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import HOST, Caller, Fleet, wait_until
from tests.platform.standins import Arrival

DEADLINE = "X-Teaseldyke-Deadline-Ms"
INSTANCES = 8
CALLERS = 25  # of each instance


class HeldConnections:
    """Connections of several gateways to backend servers, all held until let go.

    Attributes
    ----------
    waiting : int
        Requests that have a server and wait for their connection.
    let_go : trio.Event
        Set to open all connections.
    """

    def __init__(self) -> None:
        self.waiting = 0
        self.let_go = trio.Event()

    def hold(self, gateway: Gateway, monkeypatch: pytest.MonkeyPatch) -> None:
        """Have the gateway's pool hold its connections."""
        acquire = gateway.pool.acquire

        async def acquire_held(host: str, port: int, **fields: Any) -> Any:
            connection = await acquire(host, port, **fields)
            self.waiting += 1
            await self.let_go.wait()
            return connection

        monkeypatch.setattr(gateway.pool, "acquire", acquire_held)


async def start_fleet(fleet: Fleet) -> None:
    for name, engine in fleet.engines.items():
        fleet.store.put("servers", name, engine.entry("app", slots=1000))
    for i in range(2, INSTANCES + 1):
        await fleet.add_gateway(f"g-{i}")
    for gateway in fleet.gateways:
        view = gateway.view
        await wait_until(lambda view=view: len(view.states_of("app")) == 2)
        await wait_until(
            lambda view=view: all(s.server.slots == 1000 for s in view.states_of("app"))
        )


@pytest.mark.parametrize(
    ("target", "leaves"),
    [("/safe/a", True), ("/once/a", True), ("/stream/a", True), ("/safe/a", False)],
    ids=["safe", "once", "stream", "deadline"],
)
async def test_fleet_late_between_choice_and_send_sends_nothing_for_gone_callers(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, target: str, leaves: bool
) -> None:
    """All instances pause after they chose a server; their callers give up meanwhile.

    Before the check right before the first byte, all of these requests were sent.
    """
    await start_fleet(fleet)
    held = HeldConnections()
    callers: list[Caller] = []
    for gateway in fleet.gateways:
        held.hold(gateway, monkeypatch)
        for i in range(CALLERS):
            caller = fleet.caller(gateway)
            await caller.send(
                target,
                request_id=f"{gateway.settings.name}-{i}",
                headers={DEADLINE: "700"},
            )
            callers.append(caller)
    await wait_until(lambda: held.waiting == INSTANCES * CALLERS)
    if leaves:
        for caller in callers:
            await caller.close()
    held.let_go.set()
    if not leaves:
        time.sleep(0.8)  # the whole fleet
    await wait_until(lambda: not any(g.calls.running for g in fleet.gateways))
    assert fleet.arrivals == 0


async def answer_after_a_pause(
    fleet: Fleet, caller_timeout_ms: int, pause_s: float
) -> list[Arrival]:
    """Have a request lie in the socket; return what engines got of it.

    Its caller gives up after the time that it states, without closing.
    """
    address = fleet.gateways[0].settings.callers
    with socket.create_connection((address.host, address.port)) as sock:
        await trio.sleep(0.1)  # to be accepted
        lines = [
            "POST /safe/a HTTP/1.1",
            f"Host: {HOST}",
            "X-Teaseldyke-Request-Id: r-1",
            f"{DEADLINE}: {caller_timeout_ms}",
            "Content-Length: 0",
        ]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        time.sleep(pause_s)  # the whole process
        await trio.lowlevel.wait_readable(sock)
    return [a for engine in fleet.engines.values() for a in engine.arrivals]


@pytest.mark.parametrize(("pause_s", "sent"), [(0.0, 1), (0.6, 0)])
async def test_request_that_outlived_its_caller_in_the_socket_is_not_sent(
    fleet: Fleet, pause_s: float, sent: int
) -> None:
    """The deadline was counted from the moment of reading."""
    assert len(await answer_after_a_pause(fleet, 500, pause_s)) == sent


async def test_engine_is_told_the_time_left_since_the_request_arrived(
    fleet: Fleet,
) -> None:
    """It was told as much more as the request had waited in the socket (BUDGET)."""
    (arrival,) = await answer_after_a_pause(fleet, 1500, 0.7)
    assert int(arrival.headers[DEADLINE.lower()]) <= 1500 - 700
