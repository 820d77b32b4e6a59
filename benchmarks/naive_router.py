"""Naive router without request records, for comparison.

It retries after any failure, reads the next bytes of a connection as the response,
reuses a connection after a timeout, reports a request whose attempts all failed as "not
executed", and acknowledges payments before it sends them.
"""

from __future__ import annotations

import hashlib
import json
import sys
from pathlib import Path

import attrs
import trio
import yaml

from teaseldyke.http import Request, ServerLimits, serve
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError

ATTEMPTS = 3
TIMEOUT_S = 0.5
ACKNOWLEDGED_WAIT_S = 0.2
BODY_LIMIT_BYTES = 1024 * 1024
RECEIVE_BYTES = 65536
SERVICE_PREFIX = "/services/licensing"
HEADER_END = b"\r\n\r\n"


class AttemptsExhausted(TeaseldykeError):
    """All attempts failed; reported as not executed even if one was executed."""

    code = "naive_failure"
    status = 502
    executed = "no"


class IncompleteResponse(Exception):
    """The backend server closed the connection before the response was complete."""


@attrs.define
class NaiveRouter:
    """Sends each request to the next backend server.

    Parameters
    ----------
    servers : list of Address
        Backend servers.
    nursery : trio.Nursery
        Sends payments after their acknowledgement.
    """

    servers: list[Address]
    nursery: trio.Nursery
    _next: int = 0
    _idle: dict[Address, list[trio.SocketStream]] = attrs.field(factory=dict)

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path == "/readyz":
            await request.respond(200)
            return
        body = await request.read_body(BODY_LIMIT_BYTES)
        data = _encode(request, body)
        if request.path.endswith("/payments"):
            self.nursery.start_soon(self._send_later, data)
            await self._respond(request, 200, _acknowledgement(request, body))
            return
        status, answer = await self._send(data)
        await self._respond(request, status, answer)

    async def _respond(self, request: Request, status: int, body: bytes) -> None:
        headers = [(b"teaseldyke-request-id", request.id.encode())]
        await request.respond(status, body, headers)

    async def _send_later(self, data: bytes) -> None:
        await trio.sleep(ACKNOWLEDGED_WAIT_S)
        try:
            await self._send(data)
        except AttemptsExhausted:
            return

    async def _send(self, data: bytes) -> tuple[int, bytes]:
        for _ in range(ATTEMPTS):
            self._next += 1
            server = self.servers[self._next % len(self.servers)]
            try:
                return await self._exchange(server, data)
            except (
                OSError,
                trio.BrokenResourceError,
                IncompleteResponse,
                trio.TooSlowError,
            ):
                continue
        raise AttemptsExhausted("all attempts failed", retry_after_s=1.0)

    async def _exchange(self, server: Address, data: bytes) -> tuple[int, bytes]:
        idle = self._idle.setdefault(server, [])
        stream = idle.pop() if idle else None
        if stream is None:
            stream = await trio.open_tcp_stream(server.host, server.port)
        try:
            with trio.fail_after(TIMEOUT_S):
                await stream.send_all(data)
                answer = await _read_response(stream)
        except trio.TooSlowError:
            idle.append(stream)
            raise
        idle.append(stream)
        return answer


def _encode(request: Request, body: bytes) -> bytes:
    lines = [
        f"{request.method} {request.path.removeprefix(SERVICE_PREFIX)} HTTP/1.1",
        "host: backend",
        f"content-length: {len(body)}",
        f"x-request-id: {request.id}",
        "teaseldyke-organisation: "
        + (request.header("authorization") or "").rpartition("key-")[2],
        f"idempotency-key: {request.header('idempotency-key') or ''}",
    ]
    return "\r\n".join(lines).encode() + HEADER_END + body


def _acknowledgement(request: Request, body: bytes) -> bytes:
    path = request.path.removeprefix(SERVICE_PREFIX)
    value = {
        "request": f"{request.method} {path}",
        "body_sha256": hashlib.sha256(body).hexdigest(),
    }
    return json.dumps(value).encode()


async def _read_response(stream: trio.SocketStream) -> tuple[int, bytes]:
    received = bytearray()
    while HEADER_END not in received:
        await _receive(stream, received)
    head, _, body = bytes(received).partition(HEADER_END)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    rest = bytearray(body)
    while len(rest) < length:
        await _receive(stream, rest)
    return int(head.split()[1]), bytes(rest[:length])


async def _receive(stream: trio.SocketStream, buffer: bytearray) -> None:
    data = await stream.receive_some(RECEIVE_BYTES)
    if not data:
        raise IncompleteResponse
    buffer += data


async def run(path: Path) -> None:
    """Serve until the process is ended."""
    settings = yaml.safe_load(path.read_text())
    listen = Address.parse(settings["listen"])
    servers = [Address.parse(text) for text in settings["servers"]]
    listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
    async with trio.open_nursery() as nursery:
        router = NaiveRouter(servers, nursery)
        await serve(listeners[0], router.handle, ServerLimits())


if __name__ == "__main__":
    trio.run(run, Path(sys.argv[1]))
