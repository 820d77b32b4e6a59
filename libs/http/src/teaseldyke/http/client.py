"""HTTP client for the platform, administration and tests."""

from __future__ import annotations

import json
from typing import Any

import attrs
import trio

from .backend import DEFAULT_ANSWER_LIMIT_BYTES, BackendPool
from .errors import AnswerTimedOut, ConnectFailed, ExchangeBroken
from .exchange import OutgoingRequest, ServerConnection
from .headers import Headers, MixedHeaders, encode_headers, first_header


@attrs.frozen
class Response:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
        Complete body.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its name in any case."""
        value = first_header(self.headers, name.lower().encode("ascii"))
        return None if value is None else value.decode("latin-1")

    def json(self) -> Any:
        """Return the body decoded as JSON; raises `ValueError`."""
        return json.loads(self.body)


class HttpClient:
    """HTTP client with a pool of keep-alive connections.

    Parameters
    ----------
    timeout_s : float
        Longest time of a whole exchange, connecting included.
    """

    def __init__(self, timeout_s: float = 10.0) -> None:
        self.timeout_s = timeout_s
        self._pool = BackendPool(connect_timeout_s=timeout_s)

    async def request(
        self,
        method: str,
        host: str,
        port: int,
        target: str,
        *,
        headers: MixedHeaders = (),
        body: bytes = b"",
        timeout_s: float | None = None,
        limit_bytes: int = DEFAULT_ANSWER_LIMIT_BYTES,
    ) -> Response:
        """Send a request and return the complete response.

        ``GET`` and ``HEAD`` are retried once on a new connection when a reused one
        breaks, since the server may have closed it while it was idle.

        Parameters
        ----------
        method, target : str
            Method and target of the request line.
        host, port : str, int
            IP address and port of the server.
        headers : iterable of pairs
            Without ``Host`` and ``Content-Length``.
        body : bytes
            Complete request body.
        timeout_s : float, optional
            Overrides the client's timeout.
        limit_bytes : int
            Largest response body.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        ExchangeBroken
            If the server may have received the request.
        AnswerTooLarge
            If the response body exceeds ``limit_bytes``.
        """
        timeout_s = self.timeout_s if timeout_s is None else timeout_s
        call = _Call(
            self._pool,
            host,
            port,
            OutgoingRequest(method, target, encode_headers(headers), body),
            limit_bytes,
        )
        with trio.move_on_after(timeout_s):
            return await call.run()
        if call.connected:
            raise AnswerTimedOut(f"no complete response within {timeout_s} s")
        raise ConnectFailed(
            f"{host}:{port} accepted no connection within {timeout_s} s"
        )

    def close(self) -> None:
        """Close the idle connections of the pool."""
        self._pool.close_idle()


@attrs.define
class _Call:
    pool: BackendPool
    host: str
    port: int
    request: OutgoingRequest
    limit_bytes: int
    connected: bool = False

    async def run(self) -> Response:
        connection = await self.pool.acquire(self.host, self.port)
        self.connected = True
        try:
            return await self._exchange(connection)
        except ExchangeBroken:
            if not connection.used or self.request.method not in ("GET", "HEAD"):
                raise
        connection = await self.pool.acquire(self.host, self.port, fresh=True)
        return await self._exchange(connection)

    async def _exchange(self, connection: ServerConnection) -> Response:
        async with self.pool.exchange_on(
            connection, self.request, answer_limit_bytes=self.limit_bytes
        ) as exchange:
            body = await exchange.read()
        return Response(exchange.status, exchange.headers, body)
