"""Releases beside kills, resets, silent engines and a store that is away, by seed.

Run ``python -m tests.platform.fleet_soak --seconds 300 --seed 1`` for a longer run;
each round uses the next seed and a new fleet. A seed fixes what is drawn, not the
moments at which tasks of the round meet.
"""

from __future__ import annotations

import sys
import time
import traceback
from collections import Counter
from random import Random

import attrs
import fire
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import Caller, Fleet
from tests.platform.stream_client import (
    LAST_EVENT,
    RETRY_PAUSE_S,
    SLOTS,
    StreamClient,
    add_version,
    new_id,
    running_versions,
    serve_version,
    wait_until_known,
)

INSTANCES = 3
ENGINES = 4  # of a release
ROUND_S = 4.0
TAIL_STREAMS = 8  # after the round, when everything must succeed again
PERIOD_S = 0.05  # between requests
LINGER_S = 0.6  # for which an engine serves after it has left
SILENT_S = 1.1
AWAY_S = 0.8
SENDS_MAX = 8  # of one request, new or taken up
TAKE_UPS_MIN = 12  # from which their share is judged


@attrs.define
class Tally:
    """What clients saw."""

    new: int = 0
    begun: int = 0
    taken_up: int = 0  # while two engines of the stream's version served throughout
    went_on: int = 0
    lost: list[str] = attrs.field(factory=list)
    joined: list[object] = attrs.field(factory=list)
    out_of_order: list[object] = attrs.field(factory=list)

    @property
    def is_share_kept(self) -> bool:
        """Whether enough of the take-ups went on."""
        if self.taken_up < TAKE_UPS_MIN:
            return True
        return self.went_on / self.taken_up >= 0.5 * self.begun / self.new

    def check(self, log: list[str]) -> None:
        """Raise `AssertionError` if a promise was broken."""
        seen = (self.summary, self.first_broken, log)
        assert self.first_broken == [], seen
        assert self.is_share_kept, seen

    @property
    def summary(self) -> dict[str, int]:
        """Return counts."""
        return {
            field.name: value if isinstance(value, int) else len(value)
            for field in attrs.fields(Tally)
            for value in [getattr(self, field.name)]
        }

    @property
    def first_broken(self) -> list[object]:
        """Return the first of each kind."""
        return [*self.joined[:1], *self.out_of_order[:1], *self.lost[:3]]


@attrs.define(eq=False)
class Round:
    """Traffic and disruptions drawn from a seed."""

    fleet: Fleet
    seed: int
    tally: Tally = attrs.field(factory=Tally)
    serving: dict[str, str] = attrs.field(factory=dict)  # version of each engine in use
    log: list[str] = attrs.field(factory=list)
    _release: int = 1

    async def run(self) -> None:
        """Run traffic beside disruptions, then check that all of them are over."""
        self.serving = dict.fromkeys(self.fleet.engines, "v1")
        async with trio.open_nursery() as traffic:
            async with trio.open_nursery() as disruptions:
                disruptions.start_soon(self._release_in_series)
                disruptions.start_soon(self._disrupt_instances)
                disruptions.start_soon(self._disrupt_engines)
                disruptions.start_soon(self._disrupt_store)
                random = self._random("traffic")
                end_s = trio.current_time() + ROUND_S
                while trio.current_time() < end_s:
                    await trio.sleep(PERIOD_S)
                    traffic.start_soon(self._read_stream, random.getrandbits(32))
                    traffic.start_soon(self._ask, random.getrandbits(32))
                disruptions.cancel_scope.cancel()
            await self._recover()

    def _random(self, track: str) -> Random:
        """Return a source of draws that does not depend on the other tracks."""
        return Random(f"{self.seed} {track}")

    def _note(self, what: str) -> None:
        self.log.append(what)

    def _gateway(self, random: Random) -> Gateway | None:
        return random.choice(self.fleet.gateways) if self.fleet.gateways else None

    def _serves(self, version: str) -> bool:
        return Counter(self.serving.values())[version] >= 2

    async def _read_stream(self, seed: int) -> None:
        """Read a stream; half of the clients lose the connection in its middle."""
        random = Random(seed)
        client = StreamClient(self.fleet)
        until = random.choice([random.randint(1, 8), LAST_EVENT + 1])
        self.tally.new += 1
        await self._send(client, until, random)
        if not client.events:
            return
        self.tally.begun += 1
        version = client.events[0][1]
        served, read = self._serves(version), len(client.events)
        if read == LAST_EVENT or len(client.versions) > 1:
            self._check_stream(client)
            return
        await trio.sleep(random.choice([0.0, 0.0, 0.1, 0.5]))
        await self._send(client, LAST_EVENT + 1, random)
        if served and self._serves(version):
            self.tally.taken_up += 1
            self.tally.went_on += len(client.events) > read
        self._check_stream(client)

    def _check_stream(self, client: StreamClient) -> None:
        if len(client.versions) > 1:
            self.tally.joined.append((client.began_as, client.events))
        if [number for number, _ in client.events] != list(
            range(1, len(client.events) + 1)
        ):
            self.tally.out_of_order.append((client.began_as, client.events))

    async def _send(self, client: StreamClient, until: int, random: Random) -> None:
        """Send until something new was read."""
        read = len(client.events)
        for _ in range(SENDS_MAX):
            gateway = self._gateway(random)
            if gateway is None:
                await trio.sleep(RETRY_PAUSE_S)
                continue
            headers = {}
            if read:
                headers = {"Resumes": client.began_as, "Last-Event-Id": str(read)}
            answer = await client.send(gateway, headers, until)
            if len(client.events) > read:
                return
            self._check_answered(gateway, answer.status, "stream")
            pause = answer.headers.get("retry-after", RETRY_PAUSE_S)
            await trio.sleep(float(pause))

    async def _ask(self, seed: int) -> None:
        """Send a plain request, which ends in an answer or a refusal."""
        gateway = self._gateway(Random(seed))
        if gateway is None:
            return
        caller = Caller(gateway.settings.callers)
        status = 0
        try:
            request_id = new_id()
            answer = await caller.request(
                "/safe/a", request_id=request_id, body=request_id.encode()
            )
            status = answer.status if answer.complete else 0
        except (OSError, trio.BrokenResourceError):
            pass  # no answer
        finally:
            await caller.close()
        self._check_answered(gateway, status, "plain")

    def _check_answered(self, gateway: Gateway, status: int, kind: str) -> None:
        """Note a request without an answer unless its instance was killed."""
        if status == 0 and gateway in self.fleet.gateways:
            self.tally.lost.append(f"{kind} at {gateway.settings.name}")

    async def _release_in_series(self) -> None:
        """Replace the engines one by one, at times by those of the version before."""
        random = self._random("releases")
        current = "v1"
        while True:
            await trio.sleep(random.uniform(0.3, 1.0))
            old = [n for n, version in self.serving.items() if version == current]
            share = random.choice([0.5, 1.0])
            previous = current
            if random.random() < 0.3 and self._release > 1:
                current = f"v{self._release - 1}"
            else:
                self._release += 1
                current = f"v{self._release}"
            self._note(f"release {previous} to {current}, share {share}")
            for name in old[: max(1, int(share * len(old)))]:
                await self._replace(name, current)
                await trio.sleep(random.uniform(0.05, 0.3))

    async def _replace(self, old: str, version: str) -> None:
        new = f"e-{len(self.fleet.engines)}"
        await add_version(self.fleet, new, version)
        self.serving[new] = version
        await trio.sleep(0.1)
        self.serving.pop(old, None)
        if ("servers", old) in self.fleet.store.rows:
            self.fleet.store.remove("servers", old)
        self.fleet.nursery.start_soon(self._exit, old)

    async def _exit(self, name: str) -> None:
        await trio.sleep(LINGER_S)
        self.fleet.engines[name].crash()

    async def _disrupt_instances(self) -> None:
        random = self._random("instances")
        while True:
            await trio.sleep(random.uniform(0.4, 1.2))
            count = random.choice([1, 1, INSTANCES])
            killed = random.sample(self.fleet.gateways, count)
            self._note(f"kill {[g.settings.name for g in killed]}")
            for gateway in killed:
                self.fleet.kill_gateway(gateway)
            with trio.CancelScope(shield=True):
                await trio.sleep(random.uniform(0.0, 0.4))
                for gateway in killed:
                    await self.fleet.start_again(gateway)

    async def _disrupt_engines(self) -> None:
        random = self._random("engines")
        while True:
            await trio.sleep(random.uniform(0.3, 0.9))
            name = random.choice(list(self.serving))
            engine = self.fleet.engines[name]
            if random.random() < 0.5:
                self._note(f"{name} is silent")
                engine.silent_until_s = trio.current_time() + SILENT_S
                continue
            version = self.serving.pop(name)
            self._note(f"{name} crashes")
            engine.crash()
            with trio.CancelScope(shield=True):
                await trio.sleep(0.2)
                await self.fleet.nursery.start(engine.run)
            serve_version(engine, version)
            entry = engine.entry("app", version=version, slots=SLOTS)
            self.fleet.store.put("servers", name, entry)
            self.serving[name] = version

    async def _disrupt_store(self) -> None:
        random = self._random("store")
        store = self.fleet.store
        while True:
            await trio.sleep(random.uniform(0.4, 1.2))
            how = random.choice(["refused", "silent", "restored"])
            self._note(f"store {how}")
            copy = store.copy()
            store.status = 503 if how != "silent" else 200
            store.silent = how == "silent"
            with trio.CancelScope(shield=True):
                await trio.sleep(AWAY_S)
            store.status, store.silent = 200, False
            if how == "restored":
                self._restore(copy)

    def _restore(self, copy: object) -> None:
        """Restore the store; engines that run write their entries again."""
        store = self.fleet.store
        store.restore(copy)  # type: ignore[arg-type]
        listed = {key for table, key in store.rows if table == "servers"}
        for name in listed - set(self.serving):
            store.remove("servers", name)
        for name, version in self.serving.items():
            entry = self.fleet.engines[name].entry("app", version=version, slots=SLOTS)
            store.put("servers", name, {**entry, "sequence": 2})

    async def _recover(self) -> None:
        """Check that everything succeeds again."""
        await wait_until_known(self.fleet)
        await trio.sleep(SILENT_S)
        clients = [StreamClient(self.fleet) for _ in range(TAIL_STREAMS)]
        async with trio.open_nursery() as nursery:
            for i, client in enumerate(clients):
                gateway = self.fleet.gateways[i % INSTANCES]
                nursery.start_soon(client.begin, gateway, LAST_EVENT + 1)
        for client in clients:
            self._check_stream(client)
            if not client.is_complete:
                self.tally.lost.append(f"after the round: {client.statuses}")


async def run_round(seed: int) -> Tally:
    """Run one round and check it."""
    async with running_versions(*["v1"] * ENGINES, gateways=INSTANCES) as fleet:
        drawn = Round(fleet, seed)
        await drawn.run()
        drawn.tally.check(drawn.log)
        return drawn.tally


def main(seconds: float = 60.0, seed: int = 1, rounds: int = 10_000) -> None:
    """Run rounds until the time is up; the exit status is 1 if one fails."""
    end_s = time.monotonic() + seconds
    failed = 0
    for number in range(seed, seed + rounds):
        if time.monotonic() > end_s:
            break
        try:
            tally = trio.run(run_round, number)
            print(f"held    seed={number} {tally.summary}", flush=True)
        except* Exception as group:
            failed += 1
            found = group.exceptions[0]
            while isinstance(found, BaseExceptionGroup):
                found = found.exceptions[0]
            frames = traceback.extract_tb(found.__traceback__)
            place = [f"{f.name}:{f.lineno}" for f in frames if "/tests/" in f.filename]
            print(f"BROKEN  seed={number} {place} {found!r}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
