"""The limits for callers that follow from an instance's machine."""

from __future__ import annotations

import math

import attrs
import pytest

from teaseldyke.gateway.caller_limits import derive_caller_limits
from teaseldyke.gateway.settings import FleetBounds, GatewaySettings
from teaseldyke.http.caller_account import CONNECTION_BYTES
from teaseldyke.settings import Address

MIB = 1024 * 1024
ADDRESS = Address("127.0.0.1", 8080)
BOUNDS = FleetBounds(0.1, 10, 10.0, 1.0, 1.0, 10.0)
SETTINGS = GatewaySettings("g", "a", *[ADDRESS] * 5, BOUNDS)
NORMAL_CONNECTIONS = 500  # of a small instance in normal load


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections", "memory_bytes"),
    [
        (0, 0, 2000, math.inf),
        (128, 1638, 719, 54_750_000),
        (552, 10250, 2000, 372_750_000),
        (60, 100, 16, 8_000_000),
    ],
)
def test_limits_of_machine(
    memory_mb: float, descriptors: int, connections: int, memory_bytes: float
) -> None:
    """An instance that takes more is terminated; without settings nothing changes."""
    settings = attrs.evolve(SETTINGS, memory_mb=memory_mb, descriptors=descriptors)
    limits = derive_caller_limits(settings)
    assert (limits.connections, limits.memory_bytes) == (connections, memory_bytes)
    if memory_bytes == math.inf:
        assert (limits.bodies_bytes, limits.answers_bytes) == (16 * MIB, 32 * MIB)


@pytest.mark.parametrize(
    ("stated", "allowed", "connections"),
    [(0, 0, 2000), (0, 1024, 412), (1638, 1024, 719), (1638, 0, 719), (0, 10**6, 2000)],
)
def test_descriptors_that_are_not_stated(
    stated: int, allowed: int, connections: int
) -> None:
    """An instance without a stated number took all that the system allowed it."""
    settings = attrs.evolve(SETTINGS, descriptors=stated)
    assert derive_caller_limits(settings, allowed).connections == connections


def test_smallest_machine_bears_normal_load() -> None:
    """A caller within the operators' limits would be rejected in normal load."""
    settings = attrs.evolve(SETTINGS, memory_mb=128, descriptors=1638)
    limits = derive_caller_limits(settings)
    needed_bytes = NORMAL_CONNECTIONS * CONNECTION_BYTES + limits.bodies_bytes
    assert needed_bytes <= limits.memory_bytes
    assert limits.connections >= NORMAL_CONNECTIONS
