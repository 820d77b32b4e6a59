from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest
import trio

from teaseldyke.http import HttpClient, Request, ServerLimits, serve
from teaseldyke.platform import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
    Instance,
    Row,
    Write,
)
from teaseldyke.types import (
    AnswerLost,
    PlatformUnavailable,
    TeaseldykeError,
    WriteConflict,
)

READ = b'{"key": "a/b", "version": 7, "value": "AQI="}'
TIMEOUT_S = 0.2

Handler = Callable[[Request], Awaitable[None]]


@attrs.define
class _StubServer:
    """A server that handles each request with the handler that the test sets."""

    port: int
    handler: Handler
    targets: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)

    async def handle(self, request: Request) -> None:
        self.targets.append(f"{request.method} {request.target}")
        self.bodies.append(await request.read_body(1024))
        await self.handler(request)


def _respond_with(status: int, body: bytes = b"") -> Handler:
    async def handler(request: Request) -> None:
        await request.respond(status, body)

    return handler


async def _abort(request: Request) -> None:
    await request.abort()


async def _hang(request: Request) -> None:
    await trio.sleep(30)


@pytest.fixture
async def server(nursery: trio.Nursery) -> AsyncIterator[_StubServer]:
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    stub = _StubServer(listener.socket.getsockname()[1], _respond_with(200))
    nursery.start_soon(serve, listener, stub.handle, ServerLimits())
    yield stub
    nursery.cancel_scope.cancel()


def _tables(server: _StubServer) -> HttpTableService:
    return HttpTableService(HttpClient(TIMEOUT_S), "127.0.0.1", server.port)


class TestRequests:
    async def test_get(self, server: _StubServer) -> None:
        server.handler = _respond_with(200, READ)
        assert await _tables(server).get("t", "a/b") == Row("a/b", 7, b"\x01\x02")
        assert server.targets == ["GET /tables/t/rows/a%2Fb"]

    async def test_transact(self, server: _StubServer) -> None:
        server.handler = _respond_with(200, b'{"versions": [3]}')
        assert await _tables(server).transact([Write("t", "k", b"\x01", 2)]) == [3]
        assert server.targets == ["POST /transactions"]
        assert json.loads(server.bodies[0]) == [
            {"table": "t", "key": "k", "value": "AQ==", "expected_version": 2}
        ]

    async def test_objects(self, server: _StubServer) -> None:
        objects = HttpObjectStore(HttpClient(TIMEOUT_S), "127.0.0.1", server.port)
        await objects.put("a/b", b"data")
        assert server.targets == ["PUT /objects/a%2Fb"]
        assert server.bodies == [b"data"]

    async def test_announce(self, server: _StubServer) -> None:
        instances = HttpInstanceList(HttpClient(TIMEOUT_S), "127.0.0.1", server.port)
        instance = Instance("r1", "router", "live", "north", "127.0.0.1", 1)
        await instances.announce(instance, 2.5)
        assert server.targets == ["PUT /instances/r1?ttl_s=2.5"]


class TestFailureMapping:
    @pytest.mark.parametrize(
        ("handler", "read_error", "write_error"),
        [
            pytest.param(_respond_with(404), None, AnswerLost, id="404"),
            pytest.param(_respond_with(409, b"{}"), PlatformUnavailable, WriteConflict),
            pytest.param(_respond_with(503), PlatformUnavailable, PlatformUnavailable),
            pytest.param(_respond_with(500), PlatformUnavailable, AnswerLost, id="500"),
            pytest.param(_abort, PlatformUnavailable, AnswerLost, id="abort"),
            pytest.param(_hang, PlatformUnavailable, AnswerLost, id="hang"),
            pytest.param(
                _respond_with(200, b"?"), PlatformUnavailable, AnswerLost, id="rubbish"
            ),
        ],
    )
    async def test_table_service(
        self,
        server: _StubServer,
        handler: Handler,
        read_error: type[TeaseldykeError] | None,
        write_error: type[TeaseldykeError],
    ) -> None:
        server.handler = handler
        tables = _tables(server)
        if read_error is None:
            assert await tables.get("t", "k") is None
        else:
            with pytest.raises(read_error):
                await tables.get("t", "k")
        with pytest.raises(write_error):
            await tables.transact([Write("t", "k", b"")])

    async def test_refused_connection_had_no_effect(self) -> None:
        tables = HttpTableService(HttpClient(TIMEOUT_S), "127.0.0.1", 1)
        with pytest.raises(PlatformUnavailable):
            await tables.transact([Write("t", "k", b"")])
