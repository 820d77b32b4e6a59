"""Starts gateways as processes, with stand-ins for store and engines on loopback."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import h11
import structlog
import trio
from standins import Arrival, EngineStandin, complete_answer
from store_standin import StoreStandin

# The stand-ins share the libraries of the gateway; only its own log counts.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

ROOT = Path(__file__).resolve().parents[2]
HOST = "a.example"
KEEPS, BROKEN, UNABLE = 0, 10, 2  # exit status; run.sh turns 10 into 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site file sites/khurdan-ub.toml, as the settings of a process hold them.
SETTINGS = """\
name: "{name}"
failure_domain: "{zone}"
callers: "{callers}"
readiness: "{readiness}"
exchange: "{exchange}"
metrics: "{metrics}"
platform: "{platform}"
heartbeat_ms: 1200
bounds:
  retry_ratio: 0.2
  retry_slack: 52
  retry_window_s: 10
  cold_factor: 1.5
  cold_slack: 5
  stop_s: 8
"""


class Unable(Exception):
    """The case cannot run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.start_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Time since the start of the case."""
        return time.monotonic() - self.start_s

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()


@attrs.define(eq=False)
class Store(StoreStandin):
    """The platform's store, which may be down without a response for a while."""

    polls: list[tuple[float, str]] = attrs.field(factory=list)
    _in_flight: set[trio.CancelScope] = attrs.field(factory=set)

    async def _handle(self, request: Any) -> None:
        if request.path == "/-/rows-feed":
            self.polls.append((time.monotonic(), request.query["table"]))
        if not self.silent:
            with trio.CancelScope() as scope:
                self._in_flight.add(scope)
                try:
                    await super()._handle(request)
                finally:
                    self._in_flight.discard(scope)
            if not scope.cancelled_caught:
                return
        # The response is lost: the connection delivers nothing further.
        await trio.sleep_forever()

    def go_down(self) -> None:
        """Give no response to calls, also to those in progress."""
        self.silent = True
        for scope in list(self._in_flight):
            scope.cancel()

    def come_back(self) -> None:
        """Serve new calls again."""
        self.silent = False


@attrs.define(eq=False)
class Engine(EngineStandin):
    """A sound engine that records each request that it runs.

    Attributes
    ----------
    work_s : float
        Time that a request takes.
    runs : list of tuple
        Time and id of each request that it began to work on.
    """

    record: Record | None = None
    work_s: float = 0.02
    runs: list[tuple[float, str]] = attrs.field(factory=list)
    answer: Callable[..., Awaitable[Any]] | None = None

    def __attrs_post_init__(self) -> None:
        self.scripts = _Always(self.serve)

    async def serve(
        self, engine: EngineStandin, stream: trio.SocketStream, arrival: Arrival
    ) -> Any:
        """Serve one request."""
        expected = arrival.headers.get("x-teaseldyke-expect-instance", self.id)
        if expected != self.id:
            await stream.send_all(
                complete_answer(arrival, b"", 421, "X-Teaseldyke-Not-Run: 1")
            )
            return None
        request_id = arrival.headers.get("x-teaseldyke-request-id", "")
        self.note_run(request_id, arrival)
        if self.answer is not None:
            return await self.answer(engine, stream, arrival)
        await trio.sleep(self.work_s)
        await stream.send_all(complete_answer(arrival, f"of {self.id}".encode()))
        return None

    def note_run(self, request_id: str, arrival: Arrival) -> None:
        """Record that a request runs."""
        self.runs.append((time.monotonic(), request_id))
        if self.record is not None:
            self.record.note(f"run     {request_id} {arrival.target} at {self.id}")


class _Always(list):  # type: ignore[type-arg]
    """A list of scripts that never ends."""

    def __init__(self, script: Any) -> None:
        super().__init__([script])

    def pop(self, _index: Any = 0) -> Any:
        return self[0]


@attrs.define(eq=False)
class GatewayProcess:
    """One gateway."""

    name: str
    zone: str
    settings: Path
    callers: tuple[str, int]
    readiness: tuple[str, int]
    process: subprocess.Popen[bytes] | None = None

    def start(self, log: Path) -> None:
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TEASELDYKE_NODE_FILE": str(self.settings),
        }
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "teaseldyke.adapter.main"],
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@attrs.frozen
class Answer:
    """What a client got; status 0 without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@attrs.define(eq=False)
class Lab:
    """A store, engines, gateways and the record of a case."""

    nursery: trio.Nursery
    record: Record
    folder: Path
    store: Store = attrs.field(factory=Store)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    _ids: int = 0

    async def add_engine(
        self, name: str, service: str, zone: str = "zone-a", **entry: object
    ) -> Engine:
        """Start an engine and write its entry."""
        engine = self.engines[name] = Engine(name, record=self.record)
        await self.nursery.start(engine.run)
        self.store.put("servers", name, engine.entry(service, zone, **entry))
        return engine

    def add_gateway(
        self, name: str, zone: str = "zone-a", store_port: int | None = None
    ) -> GatewayProcess:
        """Start a gateway."""
        ports = [free_port() for _ in range(4)]
        names = ("callers", "readiness", "exchange", "metrics")
        fields = {
            key: f"127.0.0.1:{port}" for key, port in zip(names, ports, strict=True)
        }
        path = self.folder / f"{name}.yaml"
        platform = f"127.0.0.1:{store_port or self.store.port}"
        path.write_text(
            SETTINGS.format(name=name, zone=zone, platform=platform, **fields)
        )
        gateway = GatewayProcess(
            name, zone, path, ("127.0.0.1", ports[0]), ("127.0.0.1", ports[1])
        )
        gateway.start(self.folder / f"{name}.log")
        self.gateways.append(gateway)
        return gateway

    async def wait_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway says that it is ready."""
        with trio.move_on_after(15):
            while True:
                if await ask_ready(gateway):
                    await trio.sleep(0.3)
                    return
                await trio.sleep(0.1)
        raise Unable(f"{gateway.name} is not ready")

    def next_id(self) -> str:
        """Return a new request id."""
        self._ids += 1
        return f"{self._ids:016x}"

    async def request(
        self,
        gateway: GatewayProcess,
        target: str,
        headers: dict[str, str] | None = None,
        *,
        method: str = "POST",
        body: bytes = b"x",
        deadline_ms: int = 1500,
        request_id: str = "",
    ) -> Answer:
        """Send one client attempt on a new connection and return its answer."""
        request_id = request_id or self.next_id()
        self.record.note(f"sent    {request_id} {target} to {gateway.name}")
        answer = Answer(0, {}, b"", False)
        try:
            with trio.move_on_after(deadline_ms / 1000.0):
                answer = await exchange(
                    gateway.callers,
                    target,
                    headers,
                    method,
                    body,
                    deadline_ms,
                    request_id,
                )
        except OSError as exc:
            self.record.note(f"broken  {request_id} {exc!r}")
        self.record.note(
            f"answer  {request_id} {answer.status} complete={answer.complete}"
            f" {answer.body[:60]!r}"
        )
        return answer

    def end(self) -> None:
        """End the processes that the case started."""
        for gateway in self.gateways:
            if gateway.process is None:
                continue
            gateway.signal(signal.SIGCONT)
            if gateway.process.poll() is None:
                gateway.process.kill()
            gateway.process.wait()


async def exchange(
    address: tuple[str, int],
    target: str,
    headers: dict[str, str] | None,
    method: str,
    body: bytes,
    deadline_ms: int,
    request_id: str,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        parser = h11.Connection(h11.CLIENT)
        fields = {
            "Host": HOST,
            "X-Teaseldyke-Request-Id": request_id,
            "X-Teaseldyke-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        head = h11.Request(method=method, target=target, headers=list(fields.items()))
        data = (parser.send(head) or b"") + (parser.send(h11.Data(data=body)) or b"")
        data += parser.send(h11.EndOfMessage()) or b""
        status, found, got = 0, {}, b""
        try:
            await stream.send_all(data)
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await stream.receive_some(65536))
                    continue
                if isinstance(event, h11.Response):
                    status = event.status_code
                    found = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                    continue
                if isinstance(event, h11.Data):
                    got += bytes(event.data)
                    continue
                return Answer(status, found, got, isinstance(event, h11.EndOfMessage))
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return Answer(status, found, got, False)


async def ask_ready(gateway: GatewayProcess) -> bool:
    """Return whether a gateway answers 200 at its readiness address."""
    with trio.move_on_after(1.0):
        try:
            answer = await exchange(
                gateway.readiness, "/-/ready", None, "GET", b"", 1000, "ready"
            )
        except OSError:
            return False
        return answer.status == 200
    return False


def free_port() -> int:
    """Return a port that is free on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "idempotent" else 1,
        "public": True,
        **fields,
    }


def service(name: str, **fields: object) -> dict[str, Any]:
    """Return a plain service of the operator's configuration."""
    return {"name": name, "healthPath": "/health", "maxConnections": 96, **fields}


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the operator's configuration."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1_000_000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
        "tokensPerS": 1000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": limits,
    }


def run_case(folder: str, case: Callable[[Lab], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held; exit with the status."""
    record = Record(Path(folder))
    record.note(f"trouble={int(TROUBLE)}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            async with trio.open_nursery() as nursery:
                lab = Lab(nursery, record, Path(temporary))
                try:
                    await nursery.start(lab.store.run)
                    with trio.fail_after(115):
                        status = KEEPS if await case(lab) else BROKEN
                except (Unable, trio.TooSlowError) as exc:
                    record.note(f"unable  {exc!r}")
                    status = UNABLE
                finally:
                    lab.end()
                    keep = os.environ.get("KEEP_LOGS")
                    if keep:
                        for path in Path(temporary).glob("*.log"):
                            Path(keep, path.name).write_bytes(path.read_bytes())
                nursery.cancel_scope.cancel()
        return status

    try:
        status = trio.run(run)
    except Exception as exc:
        record.note(f"unable  {exc!r}")
        raise SystemExit(UNABLE) from exc
    names = {KEEPS: "the rule held", BROKEN: "the rule was broken", UNABLE: "unable"}
    record.note(names[status])
    print(names[status])
    raise SystemExit(status)
