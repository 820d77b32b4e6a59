"""Load on one server from many connections, light enough not to be the limit."""

from __future__ import annotations

import select
import socket
import time

import attrs

from teaseldyke.settings import Address

RECEIVE_BYTES = 262_144
POLL_S = 0.05
EVENT_END = b"}\n\n"  # ends each event but the last, which is [DONE]


@attrs.frozen
class Target:
    """Where requests go.

    Parameters
    ----------
    name : str
        Name in the results.
    address : Address
        Of the server.
    request : bytes
        One whole request.
    """

    name: str
    address: Address
    request: bytes


@attrs.define(eq=False)
class Connection:
    """One keep-alive connection with at most one request under way."""

    target: Target
    sock: socket.socket
    due_at_s: float = 0.0
    received: bytearray = attrs.field(factory=bytearray)

    @classmethod
    def open(cls, target: Target) -> Connection:
        """Connect to a target."""
        sock = socket.create_connection((target.address.host, target.address.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        return cls(target, sock)

    def send(self, due_at_s: float) -> None:
        """Send a request that was due at a time."""
        self.due_at_s = due_at_s
        self.received.clear()
        self.sock.send(self.target.request)

    def receive(self) -> bool:
        """Read what has arrived; return whether the answer is complete."""
        data = self.sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError(f"{self.target.name} closed its connection")
        self.received += data
        return self._is_complete()

    def _is_complete(self) -> bool:
        head, end, body = bytes(self.received).partition(b"\r\n\r\n")
        if not end:
            return False
        if not head.startswith(b"HTTP/1.1 200"):
            raise ConnectionError(f"{self.target.name} answered {self.received!r}")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return len(body) >= int(length)


class Poller:
    """Connections and which of them have something to read."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._connections: dict[int, Connection] = {}

    def add(self, target: Target) -> Connection:
        """Open a connection."""
        connection = Connection.open(target)
        self._connections[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock.fileno(), select.EPOLLIN)
        return connection

    def readable(self, timeout_s: float) -> list[Connection]:
        """Return the connections with something to read."""
        events = self._epoll.poll(max(0.0, timeout_s))
        return [self._connections[number] for number, _ in events]

    def close(self) -> None:
        """Close everything."""
        for connection in self._connections.values():
            connection.sock.close()
        self._epoll.close()


def latencies_s(
    targets: list[Target], rate_per_s: float, seconds: float
) -> dict[str, list[float]]:
    """Send requests to all targets in turn at a fixed rate each.

    A latency counts from when its request was due, so that a stalled server can't
    hide its stall by taking fewer requests.

    Returns
    -------
    dict of str to list of float
        Sorted latencies in seconds by the target's name.
    """
    poller = Poller()
    idle: dict[str, list[Connection]] = {target.name: [] for target in targets}
    found: dict[str, list[float]] = {target.name: [] for target in targets}
    interval_s = 1 / rate_per_s / len(targets)
    count = int(seconds / interval_s)
    started_at_s = time.monotonic()
    sent = 0
    while sent < count or sum(map(len, found.values())) < count:
        due_at_s = started_at_s + sent * interval_s
        if sent < count and time.monotonic() >= due_at_s:
            target = targets[sent % len(targets)]
            free = idle[target.name]
            connection = free.pop() if free else poller.add(target)
            connection.send(due_at_s)
            sent += 1
            continue
        wait_s = due_at_s - time.monotonic() if sent < count else POLL_S
        for connection in poller.readable(wait_s):
            if not connection.receive():
                continue
            name = connection.target.name
            found[name].append(time.monotonic() - connection.due_at_s)
            idle[name].append(connection)
    poller.close()
    return {name: sorted(values) for name, values in found.items()}


def requests_per_s(target: Target, connections: int, seconds: float) -> float:
    """Return how many requests are answered when each connection sends at once."""
    poller = Poller()
    answered = 0
    started_at_s = time.monotonic()
    for _ in range(connections):
        poller.add(target).send(started_at_s)
    while time.monotonic() - started_at_s < seconds:
        for connection in poller.readable(POLL_S):
            if not connection.receive():
                continue
            answered += 1
            connection.send(time.monotonic())
    elapsed_s = time.monotonic() - started_at_s
    poller.close()
    return answered / elapsed_s


class OpenStreams:
    """Streams that are held open and read.

    Parameters
    ----------
    targets : list of Target
        Streams are opened to them in turn.
    count : int
        Number of streams.
    """

    def __init__(self, targets: list[Target], count: int) -> None:
        self._poller = Poller()
        self._rest: dict[Connection, bytes] = {}
        self.started = 0
        for i in range(count):
            self._poller.add(targets[i % len(targets)]).send(time.monotonic())

    def read(self, seconds: float) -> tuple[int, int]:
        """Read for some time and return the numbers of events and of reads."""
        events = reads = 0
        end_at_s = time.monotonic() + seconds
        while (left_s := end_at_s - time.monotonic()) > 0:
            for connection in self._poller.readable(min(POLL_S, left_s)):
                data = connection.sock.recv(RECEIVE_BYTES)
                if not data:
                    raise ConnectionError(f"{connection.target.name} ended a stream")
                reads += 1
                if connection not in self._rest:
                    self._check_start(connection, data)
                tail = self._rest.get(connection, b"") + data
                events += tail.count(EVENT_END)
                self._rest[connection] = tail[-2:]
        return events, reads

    def _check_start(self, connection: Connection, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            raise ConnectionError(f"{connection.target.name} answered {data!r}")
        self.started += 1

    def close(self) -> None:
        """Close every stream."""
        self._poller.close()
