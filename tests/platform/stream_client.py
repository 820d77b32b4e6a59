"""A client that reads streams, and engines that write their version in each event."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

import attrs
import h11
import trio

from teaseldyke.gateway import Gateway
from tests.platform.conftest import Answer, Caller, Fleet, running_fleet, wait_until
from tests.platform.standins import (
    Arrival,
    EngineStandin,
    Script,
    answer_head,
    chunk,
)

LAST_EVENT = 12  # of each stream
EVENT_GAP_S = 0.02
SLOTS = 6
SENDS_MAX = 4  # of one take-up
RETRY_PAUSE_S = 0.1  # after a refusal that states no time

_ids = count(1)


def new_id() -> str:
    """Return a request id as the platform's clients form it."""
    return f"{next(_ids):016x}"


def write_version(
    version: str, *, cut_after: int | None = None, gap_s: float = EVENT_GAP_S
) -> Script:
    """Return a script that streams events naming `version`, from the event asked for.

    A stream from its first event is broken off after `cut_after` events.
    """

    async def script(
        engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> bool:
        await trio.sleep_until(engine.silent_until_s)
        if not arrival.target.startswith("/stream"):
            await stream.send_all(
                answer_head(arrival, 200, "Content-Length: 0") + b"\r\n"
            )
            return True
        head = answer_head(
            arrival,
            200,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await stream.send_all(head + b"\r\n")
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, LAST_EVENT + 1):
            await trio.sleep_until(engine.silent_until_s)
            data = f"id: {number}\ndata: {version}\n\n".encode()
            await stream.send_all(chunk(data))
            await trio.sleep(gap_s)
            if first == 1 and number == cut_after:
                await stream.aclose()
                return False
        await stream.send_all(b"0\r\n\r\n")
        return True

    return script


def serve_version(engine: EngineStandin, version: str, **fields: Any) -> None:
    """Have an engine answer every request at a version."""
    engine.scripts = [write_version(version, **fields)] * 10_000


@asynccontextmanager
async def running_versions(*versions: str, gateways: int = 2) -> AsyncIterator[Fleet]:
    """Run instances that know each other beside an engine of each version given."""
    async with running_fleet(engines=0) as fleet:
        for i in range(2, gateways + 1):
            await fleet.add_gateway(f"g-{i}")
        for number, version in enumerate(versions):
            await add_version(fleet, f"e-{number}", version)
        await wait_until_known(fleet)
        yield fleet


async def add_version(fleet: Fleet, name: str, version: str, **fields: Any) -> None:
    """Add an engine of a version."""
    engine = await fleet.add_engine(name, version=version, slots=SLOTS)
    serve_version(engine, version, **fields)


async def wait_until_known(fleet: Fleet) -> None:
    """Wait until all instances know each other and the store's engines."""
    rows = fleet.store.rows
    listed = {key for table, key in rows if table == "servers"}
    for gateway in fleet.gateways:
        await wait_until(lambda g=gateway: g.is_ready)
        await wait_until(lambda g=gateway: g.totals.alive == len(fleet.gateways))
        await wait_until(
            lambda g=gateway: {s.server.id for s in g.view.states_of("app")} == listed
        )


@attrs.define(eq=False)
class StreamClient:
    """A client of one stream, which takes it up again where it broke off.

    Attributes
    ----------
    events : list of tuple
        Number and version of each event that was read.
    began_as : str
        Id of the client attempt that brought the first event.
    statuses : list of int
        Status of each answer; 0 if there was none.
    is_complete : bool
        Whether the last answer ended as a whole.
    body : bytes
        Body of each client attempt, the stream's own.
    """

    fleet: Fleet
    target: str = "/stream/a"
    body: bytes = attrs.field(factory=lambda: new_id().encode())
    events: list[tuple[int, str]] = attrs.field(factory=list)
    began_as: str = ""
    statuses: list[int] = attrs.field(factory=list)
    is_complete: bool = False

    @property
    def versions(self) -> set[str]:
        """Return the versions of the events that were read."""
        return {version for _, version in self.events}

    async def begin(self, gateway: Gateway, until: int = 2) -> None:
        """Read a new stream and close the connection after event `until`."""
        await self.send(gateway, {}, until)

    async def take_up(self, gateway: Gateway, **fields: str) -> Answer:
        """Take the stream up with one client attempt; `fields` replace headers."""
        headers = {
            "Resumes": self.began_as,
            "Last-Event-Id": str(len(self.events)),
            **{name.replace("_", "-"): value for name, value in fields.items()},
        }
        return await self.send(gateway, {k: v for k, v in headers.items() if v})

    async def take_up_until_answered(self, gateway: Gateway, **fields: str) -> None:
        """Take the stream up and send again after each refusal, as clients do."""
        for _ in range(SENDS_MAX):
            answer = await self.take_up(gateway, **fields)
            if answer.status != 503:
                return
            await trio.sleep(float(answer.headers.get("retry-after", RETRY_PAUSE_S)))

    async def send(
        self, gateway: Gateway, headers: dict[str, str], until: int = LAST_EVENT + 1
    ) -> Answer:
        """Send one client attempt and read its answer up to event `until`."""
        request_id = new_id()
        caller = Caller(gateway.settings.callers)
        answer = Answer(0, {}, b"", False)
        try:
            with trio.fail_after(10):
                await caller.send(
                    self.target,
                    headers=headers,
                    request_id=request_id,
                    body=self.body,
                )
                answer = await read_events(caller, until)
        except (OSError, trio.BrokenResourceError):
            pass  # the instance was killed
        finally:
            await caller.close()
        self.statuses.append(answer.status)
        self.is_complete = answer.complete
        if answer.status == 200:
            new = parse_events(answer.body)
            if new and not self.events:
                self.began_as = request_id
            self.events += new
        return answer


def parse_events(body: bytes) -> list[tuple[int, str]]:
    """Return number and version of each whole event in a body."""
    events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in block.splitlines())
        events.append((int(fields[b"id"]), fields[b"data"].decode()))
    return events


async def read_events(caller: Caller, until: int) -> Answer:
    """Read an answer, at most up to event `until`."""
    assert caller.stream is not None
    status, headers, body = 0, {}, b""
    while body.count(b"\n\n") < until:
        try:
            event = caller.parser.next_event()
        except h11.RemoteProtocolError:
            break
        if event is h11.NEED_DATA:
            try:
                caller.parser.receive_data(await caller.stream.receive_some(65536))
            except trio.BrokenResourceError:
                break
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, headers, body, True)
        else:
            break
    return Answer(status, headers, body, False)
