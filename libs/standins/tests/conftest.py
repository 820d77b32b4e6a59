from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio

from teaseldyke.http import (
    HttpClient,
    Request,
    Response,
    ServerLimits,
    Stream,
    serve,
)

Handler = Callable[[Request], Awaitable[None]]


class Served:
    """A served handler and a client for it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.client = HttpClient(timeout_s=5.0)

    async def call(
        self, method: str, target: str, body: bytes = b"", **headers: str
    ) -> Response:
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return await self.client.request(
            method, "127.0.0.1", self.port, target, headers=fields, body=body
        )


@pytest.fixture
def start(nursery: trio.Nursery) -> Callable[..., Awaitable[Served]]:
    async def start(
        handler: Handler,
        wrap: Callable[[Stream], Stream] | None = None,
    ) -> Served:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        served = Served(listener.socket.getsockname()[1])
        nursery.start_soon(partial(serve, listener, handler, ServerLimits(), wrap=wrap))
        return served

    return start
