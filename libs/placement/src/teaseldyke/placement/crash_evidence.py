"""Which parts of prompts crash the engines that begin to answer them.

Load pattern: requests of all kinds of origin share one part that crashes each engine
that begins to write an answer (`poison`), among engines that crash for other reasons
(`srv_crash`, `release`, `node_freeze`). Replayed in ``tests/test_crash_evidence.py``.

A crash accuses the parts of the requests that were about to begin there. A request that
begins to be answered clears its parts of all accusations before it. A part is
quarantined once several crashes that can't have a common cause accuse it, unless
another quarantined part explains them. Accusations and clearances are exchanged between
instances; they may arrive in any order, late and repeatedly.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b

import attrs

CAUSES_TO_QUARANTINE = 2
# Of a part that was sound a short time ago; many requests are likely to have it.
CAUSES_TO_QUARANTINE_SOUND = 3
# Engines that crash within this time may have a common cause, such as the power of a
# failure domain; ages that instances tell each other are off by up to as much.
COMMON_CAUSE_S = 0.3
TOGETHER_PER_CAUSE = 3  # further crashes within that time that count as one more cause
# After the last crash. Longer than an operator needs to find the part and its caller;
# then a request with it is tried, and one more crash quarantines it again.
QUARANTINE_S = 600.0
EVIDENCE_TTL_S = 2.0 * QUARANTINE_S
CLEARED_TTL_S = 60.0  # for which a request may be repeated since its parts were sound
# For which a clearance is told to others. Longer than a round of the largest fleet.
CLEARANCE_TOLD_S = 3.0
# Longest time from an instance's report to the last that hears of it. A clearance
# counts as this much older, since one that seems newer would clear later crashes.
TRANSIT_MAX_S = 0.5
ACCUSED_MAX = 32  # parts; each crash accuses a few
CRASHES_MAX = 8  # for each part
CLEARED_MAX = 4000  # parts, the least recently cleared are forgotten first
KEY_MAX = 32  # characters; longer keys of parts are kept as digests

Parts = Sequence[tuple[str, int]]


@attrs.frozen
class PartReport:
    """What one instance tells others of an accused part.

    Parameters
    ----------
    part : str
        Key of the part.
    depth : int
        Its largest position in a prompt, from 0.
    cleared_age_s : float
        Time since it was last cleared; infinite if it was not.
    crash_ages_s : dict of float
        Time since each crash that accuses it, by the crash's key.
    """

    part: str
    depth: int
    cleared_age_s: float
    crash_ages_s: dict[str, float]


@attrs.define
class _Accused:
    """Crashes that accuse a part, by key, with their times."""

    depth: int = 0
    crashes: dict[str, float] = attrs.field(factory=dict)
    told_until_s: float = -math.inf

    @property
    def last_s(self) -> float:
        """Time of the last crash."""
        return max(self.crashes.values(), default=-math.inf)


class CrashEvidence:
    """Accused, cleared and quarantined parts of prompts, as known to one instance.

    Attributes
    ----------
    quarantined : frozenset of str
        Keys of the parts that must not reach an engine.
    changed_at_s : float
        Last change that other instances must learn of, on the clock of `boot_time_s`.
    """

    def __init__(self) -> None:
        self.quarantined: frozenset[str] = frozenset()
        self.changed_at_s = -math.inf
        self._accused: dict[str, _Accused] = {}
        self._cleared: OrderedDict[str, float] = OrderedDict()

    def accuse(self, crash: str, parts: Parts, at_s: float, now_s: float) -> None:
        """Accuse the parts of a request that was about to begin at a crash.

        The last part belongs to the request alone and is not accused.

        Parameters
        ----------
        crash : str
            Key of the crash, the same at all instances that noticed it.
        at_s, now_s : float
            Time of the crash, and now, on the clock of `boot_time_s`.
        """
        for depth, part in enumerate(shared_keys(parts)):
            self._add(part, depth, {crash: at_s}, now_s)
        self.refresh(now_s)

    def clear(self, parts: Parts, now_s: float) -> None:
        """Clear the parts of a request that is being answered."""
        accused = False
        for part in shared_keys(parts):
            accused = accused or part in self._accused
            self._record_clearance(part, now_s, now_s)
        if accused:
            self.refresh(now_s)

    def refused_part(self, parts: Parts) -> str | None:
        """Return the quarantined part of a prompt, if there is one."""
        if not self.quarantined:
            return None
        for part in shared_keys(parts):
            if part in self.quarantined:
                return part
        return None

    def may_repeat(self, parts: Parts, now_s: float) -> bool:
        """Return whether a request that was about to begin at a crash may be repeated.

        It may if each of its parts was sound a short time ago and only this crash
        accuses it since.
        """
        for part in shared_keys(parts):
            if now_s - self._cleared.get(part, -math.inf) > CLEARED_TTL_S:
                return False
            accused = self._accused.get(part)
            if accused is not None and len(accused.crashes) > 1:
                return False
        return True

    def reports(self, now_s: float) -> list[PartReport]:
        """Return what other instances must know."""
        return [
            PartReport(
                part,
                accused.depth,
                now_s - self._cleared.get(part, -math.inf),
                {crash: now_s - at_s for crash, at_s in accused.crashes.items()},
            )
            for part, accused in self._accused.items()
        ]

    def merge(self, reports: Iterable[PartReport], now_s: float) -> None:
        """Add what another instance knows."""
        for report in reports:
            crashes = {
                crash: now_s - max(0.0, age_s)
                for crash, age_s in report.crash_ages_s.items()
            }
            self._add(report.part, report.depth, crashes, now_s)
            cleared_at_s = now_s - max(0.0, report.cleared_age_s) - TRANSIT_MAX_S
            self._record_clearance(report.part, cleared_at_s, now_s)
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Drop what is out of date and recompute the quarantine."""
        for part, accused in list(self._accused.items()):
            if now_s >= max(accused.last_s + EVIDENCE_TTL_S, accused.told_until_s):
                del self._accused[part]
        while len(self._accused) > ACCUSED_MAX:
            del self._accused[self._least_important()]
        self.quarantined = frozenset(self._explanation(now_s))

    def _add(
        self, part: str, depth: int, crashes: dict[str, float], now_s: float
    ) -> None:
        cleared_at_s = self._cleared.get(part, -math.inf)
        accused = self._accused.setdefault(part, _Accused())
        accused.depth = max(accused.depth, depth)
        for crash, at_s in crashes.items():
            if at_s <= cleared_at_s:
                accused.told_until_s = now_s + CLEARANCE_TOLD_S
                continue
            known_s = accused.crashes.get(crash, math.inf)
            if known_s == math.inf:
                self.changed_at_s = now_s
            accused.crashes[crash] = min(known_s, at_s)
        while len(accused.crashes) > CRASHES_MAX:
            oldest = min(accused.crashes, key=lambda key: accused.crashes[key])
            del accused.crashes[oldest]

    def _record_clearance(self, part: str, at_s: float, now_s: float) -> None:
        if at_s <= self._cleared.get(part, -math.inf):
            return
        self._cleared[part] = at_s
        self._cleared.move_to_end(part)
        while len(self._cleared) > CLEARED_MAX:
            self._cleared.popitem(last=False)
        accused = self._accused.get(part)
        if accused is None:
            return
        kept = {
            key: crash_s for key, crash_s in accused.crashes.items() if crash_s > at_s
        }
        if len(kept) == len(accused.crashes):
            return
        accused.crashes = kept
        accused.told_until_s = now_s + CLEARANCE_TOLD_S
        self.changed_at_s = now_s

    def _least_important(self) -> str:
        """Return the accused part with the fewest crashes, the oldest among them."""

        def importance(part: str) -> tuple[int, float]:
            accused = self._accused[part]
            return len(accused.crashes), accused.last_s

        return min(self._accused, key=importance)

    def _explanation(self, now_s: float) -> list[str]:
        """Return the parts that explain the crashes, those that explain most first.

        Of two that explain as many, one that was sound a short time ago goes last, and
        the one deeper in the prompt first: fewer requests have it.
        """
        unexplained = {
            part: dict(accused.crashes)
            for part, accused in self._accused.items()
            if now_s - accused.last_s < QUARANTINE_S
        }

        def importance(part: str) -> tuple[int, int, str]:
            causes = causes_by_time(unexplained[part].values())
            needed = CAUSES_TO_QUARANTINE
            if now_s - self._cleared.get(part, -math.inf) <= CLEARED_TTL_S:
                needed = CAUSES_TO_QUARANTINE_SOUND
            return causes - needed, self._accused[part].depth, part

        found = []
        while unexplained:
            part = max(unexplained, key=importance)
            if importance(part)[0] < 0:
                break
            found.append(part)
            explained = unexplained.pop(part)
            for crashes in unexplained.values():
                for crash in explained:
                    crashes.pop(crash, None)
        return found


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
    causes = together = 0
    counted_s = -math.inf
    for time_s in sorted(times_s):
        if time_s - counted_s < COMMON_CAUSE_S:
            together += 1
            continue
        counted_s = time_s
        causes += 1
    return causes + together // TOGETHER_PER_CAUSE
