"""Load generator with many connections in one thread.

Responses are hardly parsed, so that the generator is not the bottleneck.
"""

from __future__ import annotations

import select
import socket
import time

import attrs

from teaseldyke.settings import Address

RECEIVE_BYTES = 262_144
POLL_S = 0.05
EVENT_END = b"}\n\n"  # end of every event except the last one, which is [DONE]


@attrs.frozen
class Target:
    """A server and the request that is sent to it.

    Parameters
    ----------
    name : str
        Key of the results.
    address : Address
        Address of the server.
    request : bytes
        Complete request, with headers and body.
    """

    name: str
    address: Address
    request: bytes


@attrs.define(eq=False)
class Connection:
    """One keep-alive connection with at most one request in flight."""

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
        """Send the request and record the time at which it was due."""
        self.due_at_s = due_at_s
        self.received.clear()
        self.sock.send(self.target.request)

    def receive(self) -> bool:
        """Read available bytes; return whether the response is complete."""
        data = self.sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError(
                f"{self.target.name} closed the connection during a response"
            )
        self.received += data
        return self._is_complete()

    def _is_complete(self) -> bool:
        head, end, body = bytes(self.received).partition(b"\r\n\r\n")
        if not end:
            return False
        if not head.startswith(b"HTTP/1.1 200"):
            raise ConnectionError(
                f"{self.target.name}: expected status 200, got {self.received!r}"
            )
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return len(body) >= int(length)


class Poller:
    """A set of connections that is polled for readable ones (epoll)."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._connections: dict[int, Connection] = {}

    def add(self, target: Target) -> Connection:
        """Open a connection and register it."""
        connection = Connection.open(target)
        self._connections[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock.fileno(), select.EPOLLIN)
        return connection

    def readable(self, timeout_s: float) -> list[Connection]:
        """Return the connections that have data to read."""
        events = self._epoll.poll(max(0.0, timeout_s))
        return [self._connections[number] for number, _ in events]

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.sock.close()
        self._epoll.close()


def latencies_s(
    targets: list[Target], rate_per_s: float, duration_s: float
) -> dict[str, list[float]]:
    """Send requests to the targets in rotation, to each at a fixed rate.

    Latency is measured from the time at which the request was due, so that a stalled
    server does not slow the load down and hide its stall (coordinated omission).

    Returns
    -------
    dict of str to list of float
        Sorted latencies in seconds, by name of target.
    """
    poller = Poller()
    idle: dict[str, list[Connection]] = {target.name: [] for target in targets}
    latencies: dict[str, list[float]] = {target.name: [] for target in targets}
    interval_s = 1 / rate_per_s / len(targets)
    count = int(duration_s / interval_s)
    started_at_s = time.monotonic()
    sent = 0
    while sent < count or sum(map(len, latencies.values())) < count:
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
            latencies[name].append(time.monotonic() - connection.due_at_s)
            idle[name].append(connection)
    poller.close()
    return {name: sorted(values) for name, values in latencies.items()}


def requests_per_s(target: Target, connections: int, duration_s: float) -> float:
    """Return the throughput when each connection sends without pause (closed loop)."""
    poller = Poller()
    answered = 0
    started_at_s = time.monotonic()
    for _ in range(connections):
        poller.add(target).send(started_at_s)
    while time.monotonic() - started_at_s < duration_s:
        for connection in poller.readable(POLL_S):
            if not connection.receive():
                continue
            answered += 1
            connection.send(time.monotonic())
    elapsed_s = time.monotonic() - started_at_s
    poller.close()
    return answered / elapsed_s


class OpenStreams:
    """Streaming requests that stay open while their events are counted.

    Parameters
    ----------
    targets : list of Target
        Targets of the streams, in rotation.
    count : int
        Number of streams.
    """

    def __init__(self, targets: list[Target], count: int) -> None:
        self._poller = Poller()
        self._tails: dict[Connection, bytes] = {}
        self.started = 0
        for i in range(count):
            self._poller.add(targets[i % len(targets)]).send(time.monotonic())

    def read(self, duration_s: float) -> tuple[int, int]:
        """Read for a duration; return the number of events and of socket reads."""
        events = reads = 0
        end_at_s = time.monotonic() + duration_s
        while (remaining_s := end_at_s - time.monotonic()) > 0:
            for connection in self._poller.readable(min(POLL_S, remaining_s)):
                data = connection.sock.recv(RECEIVE_BYTES)
                if not data:
                    raise ConnectionError(
                        f"{connection.target.name} closed the connection of a stream"
                    )
                reads += 1
                if connection not in self._tails:
                    self._check_start(connection, data)
                tail = self._tails.get(connection, b"") + data
                events += tail.count(EVENT_END)
                self._tails[connection] = tail[-2:]
        return events, reads

    def _check_start(self, connection: Connection, data: bytes) -> None:
        if not data.startswith(b"HTTP/1.1 200"):
            raise ConnectionError(
                f"{connection.target.name}: expected status 200, got {data!r}"
            )
        self.started += 1

    def close(self) -> None:
        """Close the connections of all streams."""
        self._poller.close()
