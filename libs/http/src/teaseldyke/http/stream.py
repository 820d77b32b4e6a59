"""TCP connections: opening, resetting, and closing without losing a response."""

from __future__ import annotations

import errno
import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

import trio

RECEIVE_BYTES = 65536  # per read
# While nothing is known of a request's length. It bounds what is buffered of requests
# behind one that is running, and how many small chunks are parsed at once.
UNFRAMED_RECEIVE_BYTES = 16384
DISCONNECT_READ_BYTES = 4096  # per read while only a disconnect is expected
SENDS_PER_CHECKPOINT = 16  # then other tasks may run
KEEP_ALIVE_INTERVAL_S = 1  # between probes; many round-trip times of any link
KEEP_ALIVE_PROBES = 2  # unacknowledged probes before the connection fails
# For unacknowledged data; callers abandon a silent stream after 2 s.
USER_TIMEOUT_MS = 2500
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class Stream(Protocol):
    """Interface of a connection, implemented by `TcpStream` and trio's streams."""

    @property
    def socket(self) -> _Socket:
        """The underlying socket."""
        ...

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes, or ``b""`` at EOF."""
        ...

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send all bytes."""
        ...

    async def send_eof(self) -> None:
        """Close the sending direction."""
        ...


class _Socket(Protocol):
    def fileno(self) -> int: ...

    def close(self) -> None: ...

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None: ...


class TcpStream:
    """A TCP connection with less overhead per read and write than trio's streams.

    A read always waits until the socket is readable, which is also a checkpoint; a
    write is attempted immediately.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; set to non-blocking.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self._sends = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return up to ``max_bytes`` received bytes, or ``b""`` at EOF.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        trio.ClosedResourceError
            If it has been closed locally.
        """
        self._sends = 0
        while True:
            if self.socket.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(max_bytes or RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise trio.BrokenResourceError from exc

    def discard_pending(self) -> int:
        """Drop received bytes, up to a read's, without waiting; return their number.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        """
        try:
            return len(self.socket.recv(RECEIVE_BYTES))
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise trio.BrokenResourceError from exc

    def try_send(self, data: bytes | memoryview) -> bytes | memoryview:
        """Send what fits into the socket's send buffer and return the rest.

        The rest is a view of the data, since a copy of a long response that its
        caller doesn't read would be held beside it.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        """
        try:
            sent_bytes = self.socket.send(data)
        except BlockingIOError:
            return data
        except OSError as exc:
            raise trio.BrokenResourceError from exc
        return b"" if sent_bytes == len(data) else memoryview(data)[sent_bytes:]

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send all bytes; raises as `receive_some` does."""
        rest = memoryview(self.try_send(data))
        if not rest:
            await self.checkpoint_between_sends()
            return
        while rest:
            if self.socket.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_writable(self.socket)
            try:
                rest = rest[self.socket.send(rest) :]
            except BlockingIOError:
                continue
            except OSError as exc:
                raise trio.BrokenResourceError from exc

    async def checkpoint_between_sends(self) -> None:
        """Let other tasks run once every `SENDS_PER_CHECKPOINT` sends."""
        self._sends += 1
        if self._sends < SENDS_PER_CHECKPOINT:
            return
        self._sends = 0
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Close the sending direction."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise trio.BrokenResourceError from exc


def _has_event(stream: Stream, events: int) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), events)
    return bool(poll.poll(0))


def is_idle(stream: Stream) -> bool:
    """Return whether a connection is open with neither data nor EOF pending."""
    return stream.socket.fileno() >= 0 and not _has_event(stream, select.POLLIN)


def has_peer_closed(stream: Stream) -> bool:
    """Return whether a connection has been closed or reset by the peer, or here."""
    return stream.socket.fileno() < 0 or _has_event(stream, select.POLLRDHUP)


def accept_pending(
    listener: trio.SocketListener, max_count: int
) -> list[tuple[Stream, str]]:
    """Accept pending connections without waiting; return each with its peer address.

    A stopping server also does this before it closes its listener, since closing would
    reset pending connections together with the requests sent on them.

    Raises
    ------
    OSError
        If the first accept fails for a reason other than an empty queue.
    """
    accepted: list[tuple[Stream, str]] = []
    with socket.socket(fileno=os.dup(listener.socket.fileno())) as sock:
        sock.setblocking(False)
        while len(accepted) < max_count:
            try:
                connected, address = sock.accept()
                accepted.append((TcpStream(connected), str(address[0])))
            except (BlockingIOError, ConnectionAbortedError):
                return accepted
            except OSError:
                if not accepted:
                    raise
                return accepted
    return accepted


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Have the kernel fail a connection whose peer no longer responds.

    Without it, a connection cut off by a network partition or a crashed peer hangs
    until data is sent, and for many minutes after that.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_stream(host: str, port: int) -> TcpStream:
    """Open a connection to an IP address and port; raises `OSError`."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    socket.inet_pton(family, host)  # rejects host names: resolving one would block
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        enable_dead_peer_detection(sock)
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return TcpStream(sock)
    except BaseException:
        sock.close()
        raise


async def refuses_connections(host: str, port: int, timeout_s: float) -> bool:
    """Return whether an address refuses connections, so that nobody listens there.

    An address that doesn't respond within ``timeout_s`` doesn't refuse: its machine or
    the path to it is down, and nothing is known of the process.
    """
    with trio.move_on_after(timeout_s):
        try:
            stream = await open_stream(host, port)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        close_now(stream)
    return False


def close_now(stream: Stream) -> None:
    """Close a connection without waiting; wakes tasks that wait on it."""
    if stream.socket.fileno() < 0:
        return
    trio.lowlevel.notify_closing(stream.socket.fileno())
    stream.socket.close()


def close_with_reset(stream: Stream) -> None:
    """Close a connection with a reset, so that the peer sees an error, not EOF."""
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    close_now(stream)


async def close_gracefully(
    stream: Stream,
    quiet_s: float,
    timeout_s: float,
    limit_bytes: int,
    pause_s: Callable[[], float] = lambda: 0.0,
) -> None:
    """Close a connection on which the peer may still be sending.

    Closing with unread data would reset the connection and could destroy the response
    in transit, so what arrives is read and discarded first.

    Parameters
    ----------
    stream : Stream
        Connection to close.
    quiet_s : float
        Time without data after which the peer has no more to send.
    timeout_s : float
        Longest time in all.
    limit_bytes : int
        Most bytes that are discarded.
    pause_s : callable
        Returns the time from a read to the next one.
    """
    discarded_bytes = 0
    with trio.move_on_after(timeout_s):
        try:
            await stream.send_eof()
            while discarded_bytes < limit_bytes:
                data = b""
                with trio.move_on_after(quiet_s):
                    data = await stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                discarded_bytes += len(data)
                del data  # many connections may sleep
                await trio.sleep(pause_s())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    close_now(stream)
