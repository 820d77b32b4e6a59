"""TCP connections: opening, resetting and closing without losing an answer."""

from __future__ import annotations

import socket
import struct

import trio

LISTEN_BYTES = 4096  # read at once while only a disconnect is expected
DISCARD_BYTES = 65536  # read at once while closing
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Return a connection to an IP number and port; raises `OSError`."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def close_now(stream: trio.SocketStream) -> None:
    """Close a connection without waiting."""
    stream.socket.close()


def close_with_reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the other side sees an error, not an end."""
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:  # already closed
        return
    stream.socket.close()


async def close_after_answer(
    stream: trio.SocketStream, timeout_s: float, limit_bytes: int
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
                data = await stream.receive_some(DISCARD_BYTES)
                if not data:
                    break
                discarded_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    close_now(stream)
