"""Pool of connections to backend servers, and exchanges over them."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import h11
import trio

from .errors import ConnectFailed, CrossedAnswer
from .exchange import Exchange, OutgoingRequest, ServerConnection, with_request_id
from .headers import first_header
from .stream import TcpStream, open_stream

IDLE_MAX_S = 4.0  # below the usual keep-alive timeout of servers, 5 s
IDLE_CONNECTIONS_MAX = 64  # for each server
DEFAULT_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


class BackendPool:
    """Keep-alive connections to backend servers.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a new connection.
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
        """Send a request and give its answer as an `Exchange`.

        The connection is kept only after a complete answer with nothing behind it;
        in any other case it is closed at the end of the block.

        Parameters
        ----------
        host, port : str, int
            IP number and port of the server.
        method, target : str
            Of the request line.
        headers : iterable of (bytes, bytes)
            End-to-end headers without ``Host`` and ``Content-Length``.
        body : bytes
            Whole request body.
        request_id : str
            Sent as ``X-Request-Id`` unless empty; an answer that carries another
            one is refused.
        answer_limit_bytes : int
            Largest answer body.
        first_byte_timeout_s, idle_timeout_s : float
            Longest wait for the answer's header, and longest pause in its body.

        Raises
        ------
        ConnectFailed
            If surely nothing was sent.
        ExchangeBroken
            If bytes of the request may have left; its subclasses say more.
        AnswerTooLarge
            If the answer exceeds the limit.
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
        """Run an exchange on a connection that `acquire` has given."""
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
    ) -> ServerConnection:
        """Return a kept connection, or a new one; raises `ConnectFailed`.

        Parameters
        ----------
        fresh : bool
            Whether only a new connection will do.
        keep_alive_share : float
            Part of the time for which the server keeps an idle connection, after
            which it is no longer used.
        """
        idle = self._idle.get((host, port))
        now_s = trio.current_time()
        while idle and not fresh:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            keep_alive_s = (
                IDLE_MAX_S
                if connection.keep_alive_s is None
                else connection.keep_alive_s
            )
            fits = idle_s <= min(IDLE_MAX_S, keep_alive_share * keep_alive_s)
            if fits and connection.is_quiet():
                connection.next_cycle()
                connection.used = True
                return connection
            connection.close()
        return ServerConnection(await self._open(host, port), host, port)

    def close_unusable(self) -> None:
        """Close idle connections on which something unexpected has arrived.

        An engine may go on sending after its answer; what it sends would fill the
        receive buffer for as long as the connection is kept.
        """
        for key, connections in list(self._idle.items()):
            kept: deque[ServerConnection] = deque()
            for connection in connections:
                if connection.is_quiet():
                    kept.append(connection)
                    continue
                connection.close()
            self._idle[key] = kept

    def close_idle(self) -> None:
        """Close every connection that is not in use."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _open(self, host: str, port: int) -> TcpStream:
        with trio.move_on_after(self._connect_timeout_s):
            try:
                return await open_stream(host, port)
            except OSError as exc:
                raise ConnectFailed(f"cannot connect to {host}:{port}: {exc}") from exc
        raise ConnectFailed(
            f"{host}:{port} took no connection within {self._connect_timeout_s} s"
        )

    def release(self, connection: ServerConnection, exchange: Exchange) -> None:
        """Keep a connection after its exchange if it can serve another one."""
        exchange.close_watch()
        if not (exchange.complete and connection.is_reusable):
            connection.close()
            return
        connection.idle_since_s = trio.current_time()
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
            f"answer carries the id {echoed[:80]!r}, expected {request_id!r}"
        )
