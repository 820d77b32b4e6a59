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
    """Return a port of this machine that nothing listens on."""
    global _next_port
    while True:
        _next_port += 1
        port = PORT_FIRST + _next_port % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
