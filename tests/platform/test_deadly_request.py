"""A request that crashes each engine that begins to run it, and comes again."""

from __future__ import annotations

import itertools
import json
from collections.abc import AsyncIterator
from urllib.parse import quote

import attrs
import pytest
import trio

from teaseldyke.gateway import Gateway
from teaseldyke.http import HttpClient, Response
from teaseldyke.placement import RequestIdentity
from teaseldyke.timers import boot_time_s
from tests.platform.conftest import (
    HOST,
    Answer,
    Fleet,
    running_fleet,
    wait_until,
)
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    answer_head,
    answer_with_id,
    chunk,
    complete_answer,
    event,
    hang,
    stream_of,
)

PREFIX = "X-Teaseldyke-Prompt-Prefix"
SHARED = "5c1e07a2"
DEADLY_BODY = b"deadly"
SOUND_BODY = b"sound"
ENGINES = 5
DOWN_S = 0.5  # from a crash to the engine's next start
BEGINS_S = 0.02  # from the arrival of a request to its begin
STABLE_S = 0.5  # within which all instances must know of the third crash
FREE_CRASHES = 3
LATE_MAX = 3  # sends after these crashes are known


@attrs.define(eq=False)
class DeadlyFleet:
    """Three gateways before engines that crash under one request.

    Attributes
    ----------
    crash_times_s : list of float
        Times of the crashes under it.
    send_times_s : list of float
        Arrivals of it at engines.
    """

    fleet: Fleet
    crash_times_s: list[float] = attrs.field(factory=list)
    send_times_s: list[float] = attrs.field(factory=list)
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    head_first: bool = False
    event_first: bool = False

    async def answer(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        """Answer a request, or crash when the deadly one begins."""
        streams = arrival.target.startswith(("/stream", "/single"))
        if arrival.body != DEADLY_BODY:
            await trio.sleep(BEGINS_S)
            if not streams:
                await answer_with_id(engine, stream, arrival)
                return True
            first = int(arrival.headers.get("last-event-id", 0)) + 1
            return bool(await stream_of(first, 4)(engine, stream, arrival))
        self.send_times_s.append(boot_time_s())
        if self.head_first or self.event_first:
            head = answer_head(arrival, 200, "Transfer-Encoding: chunked")
            first_event = chunk(event(1)) if self.event_first else b""
            await stream.send_all(head + b"\r\n" + first_event)
        await trio.sleep(BEGINS_S)
        self.crash(engine)
        return False

    def crash(self, engine: EngineStandin) -> None:
        """Crash an engine, which starts again soon."""
        self.crash_times_s.append(boot_time_s())
        self.fleet.nursery.start_soon(self.restart, engine)
        engine.crash()

    async def restart(self, engine: EngineStandin) -> None:
        await trio.sleep(DOWN_S)
        engine.scripts = [self.answer] * 1000
        await self.fleet.nursery.start(engine.run)
        self.fleet.store.put("servers", engine.id, engine.entry("app"))

    async def request(
        self, target: str, body: bytes, method: str = "POST", own: str = ""
    ) -> Answer:
        """Send a request through any gateway; ``own`` names its last prompt part."""
        number = next(self.numbers)
        gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
        headers = {}
        if target.startswith(("/stream", "/single")):
            headers[PREFIX] = f"{SHARED}:500,{own or f'{number:08x}'}:500"
        return await self.fleet.caller(gateway).request(
            target,
            body=body,
            method=method,
            headers=headers,
            request_id=f"r-{number}",
        )

    @property
    def late_sends(self) -> int:
        """Sends of the deadly request after all had to know of its third crash."""
        if len(self.crash_times_s) < FREE_CRASHES:
            return 0
        known_at_s = self.crash_times_s[FREE_CRASHES - 1] + STABLE_S
        return sum(at_s > known_at_s for at_s in self.send_times_s)


async def start_gateways(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        await fleet.add_gateway(name)
    for gateway in fleet.gateways:
        await wait_until(
            lambda gateway=gateway: (
                gateway.is_ready
                and len(gateway.view.states_of("app")) == ENGINES
                and gateway.totals.instances >= len(fleet.gateways)
            )
        )


@pytest.fixture
async def deadly() -> AsyncIterator[DeadlyFleet]:
    async with running_fleet(engines=ENGINES) as fleet:
        await start_gateways(fleet, ["g-2", "g-3"])
        running = DeadlyFleet(fleet)
        for engine in fleet.engines.values():
            engine.scripts = [running.answer] * 1000
        yield running


def hold(gateway: Gateway, target: str = "/safe/a", body: bytes = DEADLY_BODY) -> None:
    """Have an instance know of three crashes under a request."""
    now_s = boot_time_s()
    identity = RequestIdentity("", "POST", HOST, target, body)
    for i in range(FREE_CRASHES):
        at_s = now_s - 3.0 + i
        gateway.evidence.accuse(f"e-{7 + i}:1", (), at_s, now_s, identity)


KINDS = pytest.mark.parametrize(
    ("target", "head_first", "event_first"),
    [
        ("/stream/a", True, False),
        ("/stream/a", False, False),
        ("/stream/a", False, True),
        ("/single/a", True, False),
        ("/safe/a", False, False),
        ("/safe/a", True, False),
        ("/once/a", False, False),
    ],
    ids=[
        "stream",
        "stream-before-its-head",
        "stream-after-an-event",
        "stream-not-resumable",
        "plain",
        "plain-after-its-head",
        "plain-once",
    ],
)


class TestDeadlyRequest:
    @KINDS
    async def test_deadly_request_that_comes_again_stops_reaching_engines(
        self, deadly: DeadlyFleet, target: str, head_first: bool, event_first: bool
    ) -> None:
        """It crashed server after server, as long as it came (BUDGET).

        Sound requests with the same path and shared prompt part are answered between.
        """
        deadly.head_first, deadly.event_first = head_first, event_first
        refused: list[Answer] = []
        sound: list[Answer] = []

        async def send_deadly() -> None:
            refused.append(await deadly.request(target, DEADLY_BODY, own="dead06ff"))

        async def send_sound(i: int) -> None:
            sound.append(await deadly.request(target, SOUND_BODY + b"%d" % i))

        async with trio.open_nursery() as nursery:
            for i in range(48):
                if i % 3 == 0:
                    nursery.start_soon(send_deadly)
                nursery.start_soon(send_sound, i)
                await trio.sleep(0.09)
        assert deadly.late_sends <= LATE_MAX
        assert len(deadly.crash_times_s) <= FREE_CRASHES + LATE_MAX
        assert refused[-1].status == 503
        served = sum(answer.status == 200 and answer.complete for answer in sound)
        assert served >= 0.85 * len(sound)

    async def test_refusal_is_true_immediate_and_names_no_time(
        self, deadly: DeadlyFleet
    ) -> None:
        for gateway in deadly.fleet.gateways:
            hold(gateway)
        answer = await deadly.request("/safe/a", DEADLY_BODY)
        assert answer.status == 503
        assert "retry-after" not in answer.headers
        assert b"request_held" in answer.body
        assert b"e-8:1" in answer.body
        assert not deadly.send_times_s

    async def test_instances_of_a_rolling_restart_know_it_while_the_store_is_away(
        self, deadly: DeadlyFleet
    ) -> None:
        """Evidence that only lives in processes went with the last that had it."""
        fleet = deadly.fleet
        hold(fleet.gateways[0])
        await wait_until(lambda: bool(fleet.gateways[2].evidence.held))
        first = list(fleet.gateways)
        for i in range(len(first)):
            await fleet.add_gateway(f"new-{i}")
        for gateway in fleet.gateways:
            await wait_until(lambda g=gateway: g.is_ready and g.totals.instances == 6)
        fleet.store.status = 503
        for gateway in first:
            gateway.stopping.set()
            gateway.closing.set()
            fleet.gateways.remove(gateway)
            await trio.sleep(0.2)
        for _ in range(6):
            answer = await deadly.request("/safe/a", DEADLY_BODY)
            assert answer.status == 503
        assert not deadly.send_times_s

    async def test_operator_sees_what_is_held_and_releases_it_everywhere(
        self, deadly: DeadlyFleet
    ) -> None:
        gateways = deadly.fleet.gateways
        hold(gateways[0])
        for gateway in gateways:
            await wait_until(lambda g=gateway: bool(g.evidence.held))
        address = gateways[1].settings.metrics
        client = HttpClient(timeout_s=2.0)

        async def call(method: str, target: str) -> Response:
            return await client.request(method, address.host, address.port, target)

        (listed,) = json.loads((await call("GET", "/held")).body)
        key = RequestIdentity("", "POST", HOST, "/safe/a", DEADLY_BODY).key
        assert listed["suspect"] == key
        assert set(listed["crash_ages_s"]) == {"e-7:1", "e-8:1", "e-9:1"}
        assert (await call("DELETE", "/held?suspect=unknown")).status == 404
        assert (await call("DELETE", f"/held?suspect={quote(key)}")).status == 204
        for gateway in gateways:
            await wait_until(lambda g=gateway: not g.evidence.held, 2.0)

    async def test_request_in_a_queue_or_at_an_engine_is_taken_back(
        self, deadly: DeadlyFleet
    ) -> None:
        for engine in deadly.fleet.engines.values():
            engine.scripts = [hang]
        answers: list[Answer] = []

        async def send() -> None:
            answers.append(await deadly.request("/single/a", DEADLY_BODY))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_until(lambda: deadly.fleet.arrivals == 1)
            hold(deadly.fleet.gateways[1], "/single/a")  # which tells the others
            await wait_until(lambda: bool(answers), 1.0)
        assert answers[0].status == 502  # it was sent
        assert deadly.fleet.arrivals == 1


class TestSoundRequests:
    async def test_popular_request_at_each_crash_is_served_on(
        self, deadly: DeadlyFleet
    ) -> None:
        """It is among the suspects of each crash, and is answered between them."""
        answers: list[Answer] = []

        async def send_popular() -> None:
            answers.append(await deadly.request("/safe/popular", b"", method="GET"))

        async with trio.open_nursery() as nursery:
            for i in range(120):
                nursery.start_soon(send_popular)
                if i % 20 == 10:
                    engine = list(deadly.fleet.engines.values())[i // 20 % ENGINES]
                    deadly.crash(engine)
                await trio.sleep(0.03)
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)
        assert answers[-1].status == 200
        assert not any(gateway.evidence.held for gateway in deadly.fleet.gateways)

    @pytest.mark.parametrize(
        ("target", "body", "method"),
        [
            ("/safe/a", SOUND_BODY, "POST"),
            ("/safe/b", DEADLY_BODY, "POST"),
            ("/safe/a?x=1", DEADLY_BODY, "POST"),
            ("/safe/a", DEADLY_BODY, "PUT"),
        ],
        ids=["body", "path", "query", "method"],
    )
    async def test_another_request_is_served(
        self, deadly: DeadlyFleet, target: str, body: bytes, method: str
    ) -> None:
        for gateway in deadly.fleet.gateways:
            hold(gateway)
        for engine in deadly.fleet.engines.values():
            engine.scripts = []
        answer = await deadly.request(target, body, method=method)
        assert answer.status == 200

    async def test_request_that_an_engine_answers_with_an_error_is_cleared(
        self, deadly: DeadlyFleet
    ) -> None:
        """Its engine failed it and lives."""
        gateway = deadly.fleet.gateways[0]
        identity = RequestIdentity("", "POST", HOST, "/once/a", DEADLY_BODY)
        now_s = boot_time_s()
        gateway.evidence.accuse("e-7:1", (), now_s - 1.0, now_s, identity)

        async def fail(
            _engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
        ) -> None:
            await stream.send_all(complete_answer(arrival, b"", 500))

        for engine in deadly.fleet.engines.values():
            engine.scripts = [fail]
        deadly.numbers = itertools.count(3)  # the first gateway
        assert (await deadly.request("/once/a", DEADLY_BODY)).status == 500
        assert not gateway.evidence.reports(now_s)[0].crash_ages_s
