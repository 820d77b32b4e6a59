"""Which software version of a service began each resumable stream lately.

Load patterns: releases with servers of several versions side by side, beside crashes
of servers, restarts of instances and kills of all instances at once. A caller then
takes its broken stream up at another instance, or at one that has just started, and
names the attempt that began it. Replayed in ``tests/test_stream_origins.py``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b

import attrs

KEY_BYTES = 8  # of a request's digest; a caller's own ids hardly ever collide
CALLER_MAX_BYTES = 64  # key of the digest
GENERATIONS = 4  # in which streams are forgotten; 1 more than a stream's life is kept
STREAMS_MAX = 400_000  # remembered at one instance, about 40 MB
TELLS = 3  # messages in a row that name a stream, as any may be lost
NEWS_MAX = 1000  # streams named for the first time in one message


class FactSource(Enum):
    """How this instance learned which version began a stream, for logs."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"
    SOLE = "sole"  # no other version has served within a stream's life
    UNKNOWN = "unknown"


@attrs.frozen
class ServiceVersion:
    """A software version of a service's servers."""

    service: str
    version: str


@attrs.frozen
class BegunStream:
    """Service and version that began a stream, and who knew it."""

    begun_at: ServiceVersion
    source: FactSource


@attrs.define(eq=False)
class _Log:
    """Streams in the order in which they became known, with stable positions."""

    start: int = 0
    entries: list[tuple[bytes, ServiceVersion]] = attrs.field(factory=list)
    generation_ends: deque[int] = attrs.field(factory=deque)

    @property
    def end(self) -> int:
        return self.start + len(self.entries)

    def between(self, first: int, last: int) -> list[tuple[bytes, ServiceVersion]]:
        """Return the entries from one position up to another."""
        return self.entries[max(0, first - self.start) : max(0, last - self.start)]

    def start_generation(self) -> None:
        """Forget the oldest generation once there are enough of them."""
        self.generation_ends.append(self.end)
        if len(self.generation_ends) <= GENERATIONS:
            return
        first = self.generation_ends.popleft()
        del self.entries[: first - self.start]
        self.start = first


@attrs.define(eq=False)
class News:
    """Position of one kind of receiver in the streams that it is told.

    Each stream is named in `TELLS` messages in a row.

    Parameters
    ----------
    includes_heard : bool
        Whether the receivers are also told what other instances have begun.
    """

    includes_heard: bool
    _told: dict[int, deque[int]] = attrs.field(factory=dict, init=False)


class BegunStreams:
    """Remembers begun streams, and what of them others must be told.

    What is known of a stream never changes, so that repeated, lost and late messages
    do no harm. An id that was used for streams of two versions is unknown.

    Parameters
    ----------
    now_s : float
        Current time.
    life_s : float
        Longest life of a stream.
    """

    def __init__(self, now_s: float, life_s: float) -> None:
        self.life_s = life_s
        self._generation_at_s = now_s
        self._generations: deque[dict[bytes, BegunStream | None]] = deque([{}])
        self._interned: dict[tuple[ServiceVersion, FactSource], BegunStream] = {}
        self._own = _Log()
        self._heard = _Log()

    def __len__(self) -> int:
        return sum(len(generation) for generation in self._generations)

    def record_begun(self, key: bytes, begun_at: ServiceVersion, now_s: float) -> None:
        """Record that a stream began at this instance."""
        if self._add(key, begun_at, FactSource.OWN, now_s):
            self._own.entries.append((key, begun_at))

    def merge(
        self,
        keys: Iterable[bytes],
        begun_at: ServiceVersion,
        source: FactSource,
        now_s: float,
        *,
        is_neighbour: bool = False,
    ) -> None:
        """Add streams that another instance has begun.

        Parameters
        ----------
        is_neighbour : bool
            Whether to tell other neighbourhoods and the store about them.
        """
        for key in keys:
            if self._add(key, begun_at, source, now_s) and is_neighbour:
                self._heard.entries.append((key, begun_at))

    def find(self, key: bytes) -> BegunStream | None:
        """Return where a stream began, if that is known."""
        for generation in self._generations:
            if key in generation:
                return generation[key]
        return None

    def news(self, receivers: News) -> dict[ServiceVersion, bytes]:
        """Return what to tell receivers next, as joined keys by version."""
        found: list[tuple[bytes, ServiceVersion]] = []
        for number, log in enumerate((self._own, self._heard)):
            if number and not receivers.includes_heard:
                break
            told = receivers._told.setdefault(
                number, deque([log.start] * TELLS, maxlen=TELLS)
            )
            last = max(log.start, told[-1])
            last = min(log.end, last + NEWS_MAX)
            found.extend(log.between(told[0], last))
            told.append(last)
        return joined_keys(found)

    def has_news(self, receivers: News) -> bool:
        """Return whether `news` would return anything."""
        logs = (self._own, self._heard) if receivers.includes_heard else (self._own,)
        for number, log in enumerate(logs):
            told = receivers._told.get(number)
            if log.end > (log.start if told is None else told[0]):
                return True
        return False

    @property
    def ends(self) -> tuple[int, int]:
        """Positions after the last own and the last heard stream."""
        return self._own.end, self._heard.end

    @property
    def starts(self) -> tuple[int, int]:
        """Positions of the first own and the first heard stream that are kept."""
        return self._own.start, self._heard.start

    def between(
        self, first: tuple[int, int], last: tuple[int, int]
    ) -> dict[ServiceVersion, bytes]:
        """Return the streams between two positions, as joined keys by version."""
        return joined_keys(
            self._own.between(first[0], last[0])
            + self._heard.between(first[1], last[1])
        )

    def _add(
        self, key: bytes, begun_at: ServiceVersion, source: FactSource, now_s: float
    ) -> bool:
        """Add a stream; return whether it was unknown."""
        self._start_generation(now_s)
        for generation in self._generations:
            if key not in generation:
                continue
            known = generation[key]
            if known is not None and known.begun_at != begun_at:
                generation[key] = None
                return True  # others must learn of both
            return False
        fact = self._interned.get((begun_at, source))
        if fact is None:
            fact = self._interned[begun_at, source] = BegunStream(begun_at, source)
        self._generations[0][key] = fact
        return True

    def _start_generation(self, now_s: float) -> None:
        """Start a generation if one is due, and forget the oldest."""
        is_full = len(self._generations[0]) >= STREAMS_MAX // (GENERATIONS + 1)
        is_due = now_s - self._generation_at_s >= self.life_s / GENERATIONS
        if not (is_full or is_due):
            return
        self._generation_at_s = now_s
        self._generations.appendleft({})
        while len(self._generations) > GENERATIONS + 1:
            self._generations.pop()
        self._own.start_generation()
        self._heard.start_generation()


def joined_keys(
    entries: Iterable[tuple[bytes, ServiceVersion]],
) -> dict[ServiceVersion, bytes]:
    """Return keys joined by version, as messages and rows hold them."""
    by_version: dict[ServiceVersion, list[bytes]] = {}
    for key, begun_at in entries:
        by_version.setdefault(begun_at, []).append(key)
    return {begun_at: b"".join(keys) for begun_at, keys in by_version.items()}


def split_keys(data: bytes) -> list[bytes]:
    """Return the keys that `joined_keys` joined.

    Raises
    ------
    ValueError
        If a key is incomplete.

    Examples
    --------
    >>> split_keys(b"12345678abcdefgh")
    [b'12345678', b'abcdefgh']
    """
    if len(data) % KEY_BYTES:
        raise ValueError(f"{len(data)} bytes are no keys of {KEY_BYTES} bytes")
    return [data[i : i + KEY_BYTES] for i in range(0, len(data), KEY_BYTES)]


def stream_key(organisation: str, request_id: bytes) -> bytes:
    """Return the key of a stream that a request began.

    It depends on the organisation, so that the id of another organisation's request is
    an unknown one.

    Examples
    --------
    >>> stream_key("parish-9", b"1f") == stream_key("parish-9", b"1f")
    True
    >>> stream_key("parish-9", b"1f") == stream_key("parish-8", b"1f")
    False
    """
    caller = organisation.encode()
    if len(caller) > CALLER_MAX_BYTES:
        caller = blake2b(caller, digest_size=CALLER_MAX_BYTES).digest()
    return blake2b(request_id, digest_size=KEY_BYTES, key=caller).digest()
