"""Free ports of this machine."""

from __future__ import annotations

import random
import socket

from teaseldyke.settings import Address

HOST = "127.0.0.1"
PORT_FIRST = 20_000  # below the system's range of ephemeral ports
PORT_COUNT = 10_000


def free_address() -> Address:
    """Return an address of this machine that nothing listens on."""
    return Address(HOST, free_port())


# Concurrent runs must not use the same ports, even with the same seed, so the first
# port is drawn from the system's randomness.
_next_port = random.SystemRandom().randrange(PORT_COUNT)


def free_port() -> int:
    """Return a port of this machine that is free for streams and for datagrams."""
    global _next_port
    while True:
        _next_port += 1
        port = PORT_FIRST + _next_port % PORT_COUNT
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return port


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
