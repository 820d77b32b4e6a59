"""TCP connections: opening, resetting and closing without losing an answer."""

from __future__ import annotations

import errno
import os
import select
import socket
import struct
from typing import Protocol

import trio

RECEIVE_BYTES = 65536  # read at once
LISTEN_BYTES = 4096  # read at once while only a disconnect is expected
SENDS_WITHOUT_PAUSE = 16  # then other tasks get a turn
PROBE_INTERVAL_S = 1  # between keep-alive probes; many round trips of any link
PROBES = 2  # unanswered ones before the connection is broken
SILENCE_MS = 2500  # unacknowledged bytes; callers leave a silent stream after 2 s
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class Stream(Protocol):
    """What this library uses of a connection, trio's or its own."""

    @property
    def socket(self) -> _Socket:
        """The socket below."""
        ...

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return what has arrived; nothing at the end."""
        ...

    async def send_all(self, data: bytes) -> None:
        """Send everything."""
        ...

    async def send_eof(self) -> None:
        """End the sending direction."""
        ...


class _Socket(Protocol):
    def fileno(self) -> int: ...

    def close(self) -> None: ...

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None: ...


class TcpStream:
    """A connection that costs less at each read and write than trio's streams.

    A read always waits until the socket is readable, which also gives other tasks
    their turn; a write is tried at once.

    Parameters
    ----------
    sock : socket.socket
        Connected; becomes non-blocking.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self._sends = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return what has arrived, at most ``max_bytes``; nothing at the end.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        trio.ClosedResourceError
            If it has been closed on this side.
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

    def send_now(self, data: bytes) -> bytes:
        """Send what fits into the socket's buffer and return the rest.

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
        return b"" if sent_bytes == len(data) else data[sent_bytes:]

    async def send_all(self, data: bytes) -> None:
        """Send everything; raises as `receive_some` does."""
        rest = memoryview(self.send_now(data))
        if not rest:
            await self.pause_between_sends()
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

    async def pause_between_sends(self) -> None:
        """Give other tasks a turn now and then."""
        self._sends += 1
        if self._sends < SENDS_WITHOUT_PAUSE:
            return
        self._sends = 0
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """End the sending direction."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise trio.BrokenResourceError from exc


def _has_event(stream: Stream, events: int) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), events)
    return bool(poll.poll(0))


def is_quiet(stream: Stream) -> bool:
    """Return whether neither bytes nor the end of a connection wait to be read."""
    return stream.socket.fileno() >= 0 and not _has_event(stream, select.POLLIN)


def has_ended(stream: Stream) -> bool:
    """Return whether the other side has ended or reset a connection by now."""
    return stream.socket.fileno() < 0 or _has_event(stream, select.POLLRDHUP)


def accept_waiting(
    listener: trio.SocketListener, most: int
) -> list[tuple[Stream, str]]:
    """Return connections that are established but not accepted yet, at once.

    Before a stopping server closes its listener it takes them too, since closing
    would reset them, with the requests that they carry. Each comes with the address
    of its other side.

    Raises
    ------
    OSError
        If none could be accepted for another reason than that none waits.
    """
    found: list[tuple[Stream, str]] = []
    with socket.socket(fileno=os.dup(listener.socket.fileno())) as sock:
        sock.setblocking(False)
        while len(found) < most:
            try:
                connected, address = sock.accept()
                found.append((TcpStream(connected), str(address[0])))
            except (BlockingIOError, ConnectionAbortedError):
                return found
            except OSError:
                if not found:
                    raise
                return found
    return found


def notice_silence(sock: socket.socket) -> None:
    """Have the system break a connection whose other side has gone silent.

    Without it, a connection that a partition or a lost peer has cut off hangs for as
    long as nothing is sent, and many minutes after a send.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)


async def open_stream(host: str, port: int) -> TcpStream:
    """Return a connection to an IP number and port; raises `OSError`."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    socket.inet_pton(family, host)  # a name would be resolved, which blocks
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        notice_silence(sock)
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


def close_now(stream: Stream) -> None:
    """Close a connection without waiting; tasks that wait on it are woken."""
    if stream.socket.fileno() < 0:
        return
    trio.lowlevel.notify_closing(stream.socket.fileno())
    stream.socket.close()


def close_with_reset(stream: Stream) -> None:
    """Close a connection so that the other side sees an error, not an end."""
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    close_now(stream)


async def close_after_answer(
    stream: Stream, timeout_s: float, limit_bytes: int
) -> None:
    """Close a connection on which the other side may still be sending.

    Closing with unread bytes would reset the connection and could destroy the answer
    on its way, so up to ``limit_bytes`` are read and discarded first.
    """
    discarded_bytes = 0
    with trio.move_on_after(timeout_s):
        try:
            await stream.send_eof()
            while discarded_bytes < limit_bytes:
                data = await stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                discarded_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    close_now(stream)
