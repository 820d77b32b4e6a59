"""Fraction of a backend server's limit that a dispatcher may grant."""

from __future__ import annotations

from collections.abc import Iterable
from fractions import Fraction
from math import floor

HALF = Fraction(1, 2)


def allowed_concurrency(limit: int, fraction: Fraction) -> int:
    """Return the concurrent requests that a delegated fraction allows.

    A strict majority is rounded up and any other fraction down: a majority may use
    what the others lose by rounding, and any two dispatchers together stay within the
    limit.

    Parameters
    ----------
    limit : int
        Effective limit of the backend server.
    fraction : Fraction
        Sum of the fractions that routers delegate to the dispatcher, from 0 to 1.

    Examples
    --------
    >>> allowed_concurrency(1, Fraction(2, 3)), allowed_concurrency(1, Fraction(1, 3))
    (1, 0)
    >>> allowed_concurrency(8, Fraction(6, 7)), allowed_concurrency(8, Fraction(1, 7))
    (7, 1)
    """
    fraction = min(fraction, Fraction(1))
    if fraction > HALF:
        return limit - floor(limit * (1 - fraction))
    return floor(limit * fraction)


def total_fraction(holder_counts: Iterable[int]) -> Fraction:
    """Return the sum of the routers' fractions, each one divided by a holder count.

    Examples
    --------
    >>> total_fraction([3, 3, 4])
    Fraction(11, 12)
    """
    routers: dict[int, int] = {}
    for holders in holder_counts:
        routers[holders] = routers.get(holders, 0) + 1
    total = Fraction(0)
    for holders, count in routers.items():
        total += Fraction(count, holders)
    return total
