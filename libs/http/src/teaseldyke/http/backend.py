"""Connection pool for exchanges with backend servers."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import h11
import trio

from teaseldyke.timers import boot_time_s

from .errors import ConnectFailed, CrossedAnswer
from .exchange import Exchange, OutgoingRequest, ServerConnection, with_request_id
from .headers import first_header
from .stream import TcpStream, open_stream

IDLE_MAX_S = 4.0  # below the usual keep-alive timeout of servers, 5 s
IDLE_CONNECTIONS_MAX = 64  # for each server
DEFAULT_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


class BackendPool:
    """Pool of keep-alive connections to backend servers.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection.
    """

    def __init__(self, connect_timeout_s: float = 2.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int], deque[ServerConnection]] = {}

    @asynccontextmanager
    async def exchange(
        self,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        *,
        request_id: str = "",
        answer_limit_bytes: int = DEFAULT_ANSWER_LIMIT_BYTES,
        first_byte_timeout_s: float = 30.0,
        idle_timeout_s: float = 30.0,
    ) -> AsyncIterator[Exchange]:
        """Send a request and yield its response as an `Exchange`.

        The connection is reused only if the response was read completely and no extra
        bytes followed it; otherwise it is closed at the end of the block.

        Parameters
        ----------
        host, port : str, int
            IP address and port of the server.
        method, target : str
            Method and target of the request line.
        headers : iterable of (bytes, bytes)
            End-to-end headers without ``Host`` and ``Content-Length``.
        body : bytes
            Complete request body.
        request_id : str
            Sent as ``X-Request-Id`` unless empty; a response with a different id is
            rejected.
        answer_limit_bytes : int
            Largest response body.
        first_byte_timeout_s, idle_timeout_s : float
            Longest wait for the header of the response, and longest time without data
            while its body is read.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        ExchangeBroken
            If bytes of the request may have been sent; subclasses give the cause.
        AnswerTooLarge
            If the response body exceeds the limit.
        """
        fields = list(headers)
        if request_id:
            fields = with_request_id(fields, request_id.encode("ascii"))
        request = OutgoingRequest(method, target, fields, body)
        connection = await self.acquire(host, port)
        async with self.exchange_on(
            connection,
            request,
            request_id=request_id,
            answer_limit_bytes=answer_limit_bytes,
            first_byte_timeout_s=first_byte_timeout_s,
            idle_timeout_s=idle_timeout_s,
        ) as exchange:
            yield exchange

    @asynccontextmanager
    async def exchange_on(
        self,
        connection: ServerConnection,
        request: OutgoingRequest,
        *,
        request_id: str = "",
        answer_limit_bytes: int = DEFAULT_ANSWER_LIMIT_BYTES,
        first_byte_timeout_s: float = math.inf,
        idle_timeout_s: float = math.inf,
    ) -> AsyncIterator[Exchange]:
        """Run an exchange on a connection returned by `acquire`."""
        exchange = Exchange(connection, answer_limit_bytes, idle_timeout_s)
        try:
            await _start(exchange, request, first_byte_timeout_s, request_id)
            yield exchange
        finally:
            self.release(connection, exchange)

    async def acquire(
        self,
        host: str,
        port: int,
        *,
        fresh: bool = False,
        keep_alive_share: float = 1.0,
        proven_since_s: float = 0.0,
    ) -> ServerConnection:
        """Return an idle connection or a new one; raises `ConnectFailed`.

        Parameters
        ----------
        fresh : bool
            Whether to open a new connection even if an idle one is available.
        keep_alive_share : float
            Fraction of the server's keep-alive timeout after which an idle connection
            is no longer reused.
        proven_since_s : float
            Time since which an idle connection must have completed an exchange, on
            the clock of `boot_time_s`. Others stay in the pool.
        """
        idle = self._idle.get((host, port))
        now_s = boot_time_s()
        while idle and not fresh and idle[-1].idle_since_s >= proven_since_s:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            keep_alive_s = (
                IDLE_MAX_S
                if connection.keep_alive_s is None
                else connection.keep_alive_s
            )
            is_recent = idle_s <= min(IDLE_MAX_S, keep_alive_share * keep_alive_s)
            if is_recent and connection.is_idle():
                connection.next_cycle()
                connection.used = True
                return connection
            connection.close()
        return ServerConnection(await self._connect(host, port), host, port)

    def close_older(self, host: str, port: int, before_s: float) -> None:
        """Close a server's idle connections that were last used before a time.

        Parameters
        ----------
        before_s : float
            Time on the clock of `boot_time_s`.
        """
        idle = self._idle.get((host, port))
        while idle and idle[0].idle_since_s < before_s:
            idle.popleft().close()

    def close_unusable(self) -> None:
        """Close idle connections with unexpected data or EOF pending.

        An engine may keep sending after its response; the data would occupy the
        receive buffer for as long as the connection stays in the pool.
        """
        for key, connections in list(self._idle.items()):
            usable: deque[ServerConnection] = deque()
            for connection in connections:
                if connection.is_idle():
                    usable.append(connection)
                    continue
                connection.close()
            self._idle[key] = usable

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _connect(self, host: str, port: int) -> TcpStream:
        with trio.move_on_after(self._connect_timeout_s):
            try:
                return await open_stream(host, port)
            except OSError as exc:
                raise ConnectFailed(f"cannot connect to {host}:{port}: {exc}") from exc
        raise ConnectFailed(
            f"{host}:{port} accepted no connection within {self._connect_timeout_s} s"
        )

    def release(self, connection: ServerConnection, exchange: Exchange) -> None:
        """Return a connection to the pool if it is reusable, else close it.

        A request that was given up must not reach a server that reads it later.
        """
        exchange.stop_watch()
        if not exchange.complete:
            connection.abort()
            return
        if not connection.is_reusable:
            connection.close()
            return
        connection.idle_since_s = boot_time_s()
        idle = self._idle.setdefault((connection.host, connection.port), deque())
        idle.append(connection)
        oldest_s = connection.idle_since_s - IDLE_MAX_S
        while len(idle) > IDLE_CONNECTIONS_MAX or idle[0].idle_since_s < oldest_s:
            idle.popleft().close()


async def _start(
    exchange: Exchange,
    request: OutgoingRequest,
    first_byte_timeout_s: float,
    request_id: str,
) -> None:
    try:
        await exchange.start(request, first_byte_timeout_s)
    except h11.LocalProtocolError as exc:
        raise ConnectFailed(f"request cannot be sent: {exc}") from exc
    echoed = first_header(exchange.headers, b"x-request-id")
    if request_id and echoed is not None and echoed.decode("latin-1") != request_id:
        raise CrossedAnswer(
            f"response has request id {echoed[:80]!r}, expected {request_id!r}"
        )
