"""Bounds the memory for the bodies of callers' requests.

Load pattern: many callers whose long bodies arrive slowly, at an instance whose process
the platform ends when it exceeds its memory.
"""

from __future__ import annotations

import random

import attrs

from .errors import BodiesFull

BODIES_MAX_BYTES = 16 * 1024 * 1024  # in total; an eighth of a small instance
BODY_GUARANTEED_BYTES = 16 * 1024  # per request, also while the total is exceeded
# Range of the jitter; a long body takes about that long to arrive.
BODIES_FULL_RETRY_S = (0.5, 1.5)


@attrs.define(eq=False)
class RequestBodies:
    """The bodies that an instance holds, from their first byte to the final answer.

    Attributes
    ----------
    held_bytes : int
        Bytes of all of them.
    limit_bytes : int
        Limit of their sum.
    """

    held_bytes: int = 0
    limit_bytes: int = BODIES_MAX_BYTES


@attrs.define(eq=False)
class HeldBody:
    """The body of one request.

    Parameters
    ----------
    bodies : RequestBodies
        All bodies of the instance.

    Attributes
    ----------
    held_bytes : int
        Bytes that have arrived.

    Examples
    --------
    >>> bodies = RequestBodies(held_bytes=BODIES_MAX_BYTES)
    >>> short = HeldBody(bodies)
    >>> short.add(BODY_GUARANTEED_BYTES)
    >>> short.add(1)
    Traceback (most recent call last):
    teaseldyke.gateway.errors.BodiesFull: bodies of 16793601 bytes are held, ...
    >>> short.release()
    >>> bodies.held_bytes == BODIES_MAX_BYTES
    True
    """

    bodies: RequestBodies
    held_bytes: int = 0

    def add(self, size_bytes: int) -> None:
        """Count bytes that have arrived.

        Raises
        ------
        BodiesFull
            If the bodies of all requests exceed their limit and this one its guarantee.
        """
        self.held_bytes += size_bytes
        self.bodies.held_bytes += size_bytes
        if self.held_bytes <= BODY_GUARANTEED_BYTES:
            return
        if self.bodies.held_bytes <= self.bodies.limit_bytes:
            return
        raise BodiesFull(
            f"bodies of {self.bodies.held_bytes} bytes are held, "
            f"{self.held_bytes} of them for this request; "
            f"the limit is {self.bodies.limit_bytes}",
            retry_after_s=random.uniform(*BODIES_FULL_RETRY_S),
        )

    def release(self) -> None:
        """Forget the body, at the end of its request."""
        self.bodies.held_bytes -= self.held_bytes
        self.held_bytes = 0
