"""Rendezvous hashing, the same in every router."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

HASH_BYTES = 8


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=HASH_BYTES).digest()


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their weight for a key, highest first.

    Examples
    --------
    >>> order = rendezvous_order("llm/0", ["a", "b", "c"])
    >>> order == rendezvous_order("llm/0", ["c", "b", "a"])
    True
    >>> rest = [name for name in order if name != order[0]]
    >>> rest == rendezvous_order("llm/0", order[1:])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)
