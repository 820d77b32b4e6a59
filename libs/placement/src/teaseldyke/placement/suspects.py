"""What may have crashed engines: parts of prompts, and requests that come again.

Load pattern: one request crashes each engine that begins to run it and comes again at
any instance, among sound requests that were at the same engines and that share its
path and the parts of its prompt (`poison`). Replayed in
``tests/test_crashing_requests.py``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

import attrs

from .request_identity import MARK

CAUSES_TO_HOLD = 2
# Of a suspect that was sound a short time ago; many requests are likely to have it.
CAUSES_TO_HOLD_SOUND = 3
# Of crashes at which no request with a part was known to be about to begin. An engine
# that dies without a word had many requests, so those that fall together say little.
CRASHES_TO_HOLD_UNBEGUN = 3
CAUSES_TO_HOLD_UNBEGUN = 2
CAUSES_TO_HOLD_UNBEGUN_SOUND = 4  # of a part that was sound a short time ago
# Engines that crash within this time may have a common cause, such as the power of a
# failure domain; ages that instances tell each other are off by up to as much.
COMMON_CAUSE_S = 0.3
TOGETHER_PER_CAUSE = 3  # further crashes within that time that count as one more cause
# Of these crashes of one request, one may have had a cause in common with another.
REQUEST_COINCIDENCES = 1
# Crashes of a request after which it is held whoever else was at them: two requests may
# have crashed servers in turn.
CRASHES_TO_HOLD = 3
# After the last crash. Longer than an operator needs to find the part and its caller;
# then a request with it is tried, and one more crash quarantines it again.
QUARANTINE_S = 600.0
EVIDENCE_TTL_S = 2.0 * QUARANTINE_S
# From the last crash or trial of a request to its next trial, by the trials so far. A
# request that crashes engines is sent three more times in all.
REQUEST_HOLDS_S = (60.0, 600.0, 6000.0, 86400.0)
REQUEST_HOLD_SPREAD = 0.5  # by which instances hold longer, so that one tries first
CLEARED_TTL_S = 60.0  # for which a request may be repeated since its parts were sound
REQUEST_DEPTH = 1_000_000  # a request is narrower than any part of its prompt
KEY_MAX = 32  # characters; longer keys of parts are kept as digests

Parts = Sequence[tuple[str, int]]


@attrs.frozen
class SuspectReport:
    """What one instance tells others of a suspect.

    Parameters
    ----------
    key : str
        Key of the part or request.
    depth : int
        Largest position of the part in a prompt, from 0; `REQUEST_DEPTH` for a request.
    cleared_age_s : float
        Time since it was last cleared; infinite if it was not.
    crash_ages_s : dict of float
        Time since each crash that accuses it, by the crash's key.
    trials : int
        Times that it was sent although it had been held.
    tried_age_s : float
        Time since the last of them.
    sequels : int
        Crashes under a send that began after the crash under the send before.
    unbegun : frozenset of str
        Crashes at which no request with the part was known to be about to begin.
    """

    key: str
    depth: int
    cleared_age_s: float
    crash_ages_s: dict[str, float]
    trials: int = 0
    tried_age_s: float = math.inf
    sequels: int = 0
    unbegun: frozenset[str] = frozenset()

    @property
    def is_request(self) -> bool:
        """Whether it is a request rather than a part."""
        return is_request(self.key)


@attrs.define
class Accused:
    """Crashes that accuse a suspect, by key, with their times.

    Attributes
    ----------
    changed_at_s, heard_at_s : float
        Last change that this instance found itself, and that it heard of.
    told_until_s : float
        Until when it is kept so that others hear of its clearance.
    unbegun : set of str
        Crashes at which no request with the part was known to be about to begin.
    """

    depth: int = 0
    crashes: dict[str, float] = attrs.field(factory=dict)
    unbegun: set[str] = attrs.field(factory=set)
    trials: int = 0
    tried_at_s: float = -math.inf
    sequels: int = 0
    changed_at_s: float = -math.inf
    heard_at_s: float = -math.inf
    told_until_s: float = -math.inf

    @property
    def last_s(self) -> float:
        """Time of the last crash."""
        return max(self.crashes.values(), default=-math.inf)

    def held_until_s(self, key: str, spread: float) -> float:
        """Return until when a suspect that explains crashes is held.

        Parameters
        ----------
        spread : float
            Of this instance, from 0 to 1.
        """
        if not is_request(key):
            return self.last_s + QUARANTINE_S
        hold_s = REQUEST_HOLDS_S[min(self.trials, len(REQUEST_HOLDS_S) - 1)]
        hold_s *= 1.0 + REQUEST_HOLD_SPREAD * spread
        return max(self.last_s, self.tried_at_s) + hold_s

    def kept_until_s(self, key: str) -> float:
        """Return until when its crashes are remembered."""
        ttl_s = EVIDENCE_TTL_S
        if is_request(key) and len(self.crashes) >= CAUSES_TO_HOLD:
            ttl_s = REQUEST_HOLDS_S[-1]
        return max(self.last_s, self.tried_at_s) + ttl_s


def explanation(
    accused: Mapping[str, Accused], cleared: Mapping[str, float], now_s: float
) -> list[str]:
    """Return the suspects that explain the crashes, those that explain most first.

    Of two that explain as many, one that was sound a short time ago goes last, and the
    narrower first: a request before parts, and a part deeper in the prompt before
    others, since fewer requests have it. Then the one with more crashes goes first, as
    crashes at nearly the same time add no cause. Requests that explain the very same
    crashes can't be told apart, so all of them are returned, and so are those with
    `CRASHES_TO_HOLD` crashes, explained or not.

    Parameters
    ----------
    accused : dict of Accused
        Suspects by key.
    cleared : dict of float
        When each suspect was last cleared, by key.
    """
    unexplained = {
        key: dict(suspect.crashes)
        for key, suspect in accused.items()
        if len(suspect.crashes) >= CAUSES_TO_HOLD
        and (is_request(key) or now_s - suspect.last_s < QUARANTINE_S)
    }

    def was_sound_lately(key: str) -> bool:
        return now_s - cleared.get(key, -math.inf) <= CLEARED_TTL_S

    def importance(key: str) -> tuple[int, int, int, str]:
        crashes = unexplained[key]
        suspect = accused[key]
        was_sound = was_sound_lately(key)
        begun = {k: at_s for k, at_s in crashes.items() if k not in suspect.unbegun}
        needed = CAUSES_TO_HOLD_SOUND if was_sound else CAUSES_TO_HOLD
        surplus = _causes(key, begun, suspect.sequels) - needed
        if suspect.unbegun:
            surplus = max(surplus, _unbegun_surplus(crashes, was_sound))
        return surplus, suspect.depth, len(crashes), key

    found: list[str] = []
    while unexplained:
        key = max(unexplained, key=importance)
        if importance(key)[0] < 0:
            break
        explained = unexplained.pop(key)
        found.append(key)
        for other, crashes in list(unexplained.items()):
            if is_request(key) and is_request(other) and crashes == explained:
                found.append(other)
                del unexplained[other]
                continue
            for crash in explained:
                crashes.pop(crash, None)
    found += [
        key
        for key, suspect in accused.items()
        if is_request(key)
        and key not in found
        and len(suspect.crashes) >= CRASHES_TO_HOLD + was_sound_lately(key)
    ]
    return found


def is_request(key: str) -> bool:
    """Return whether a suspect's key is that of a request."""
    return key.startswith(MARK)


def shared_keys(parts: Parts) -> list[str]:
    """Return the keys of a prompt's parts but the last, which is the request's own."""
    return [
        part
        if len(part) <= KEY_MAX
        else blake2b(part.encode(), digest_size=KEY_MAX // 2).hexdigest()
        for part, _ in parts[:-1]
    ]


def causes_by_time(times_s: Iterable[float]) -> int:
    """Return the least number of causes that crashes at these times must have had.

    A few engines that crash together may have a common cause; that this cause met
    many while they were about to answer the same part is unlikely, so each three
    further ones count as one more cause.

    Examples
    --------
    >>> causes_by_time([5.0, 5.1, 5.2]), causes_by_time([5.0, 5.2, 5.4])
    (1, 2)
    >>> causes_by_time([5.0, 5.1, 5.1, 5.2])
    2
    """
    causes, together = _count_apart(times_s)
    return causes + together // TOGETHER_PER_CAUSE


def _count_apart(times_s: Iterable[float]) -> tuple[int, int]:
    """Return how many crashes were apart from others, and how many fell with them."""
    causes = together = 0
    counted_s = -math.inf
    for time_s in sorted(times_s):
        if time_s - counted_s < COMMON_CAUSE_S:
            together += 1
            continue
        counted_s = time_s
        causes += 1
    return causes, together


def _unbegun_surplus(crashes: Mapping[str, float], was_sound: bool) -> int:
    """Return by how many causes a part exceeds what holds it, whoever was begun."""
    if len(crashes) < CRASHES_TO_HOLD_UNBEGUN:
        return -1
    needed = CAUSES_TO_HOLD_UNBEGUN_SOUND if was_sound else CAUSES_TO_HOLD_UNBEGUN
    causes, _ = _count_apart(crashes.values())
    return causes - needed


def _causes(key: str, crashes: Mapping[str, float], sequels: int) -> int:
    """Return the least number of causes of the crashes that a suspect may explain.

    The same whole request is at few engines at a time, unlike a part of many prompts,
    and a crash can't have a cause in common with one after which the request was sent.
    """
    causes = causes_by_time(crashes.values())
    if not is_request(key):
        return causes
    in_sequence = min(len(crashes), 1 + sequels)
    return max(causes, in_sequence, len(crashes) - REQUEST_COINCIDENCES)
