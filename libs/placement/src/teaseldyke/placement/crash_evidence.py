"""Which requests, and which parts of prompts, crash the engines that begin them.

Load pattern: requests of all kinds of origin share one part that crashes each engine
that begins to write an answer, or one request does that comes again (`poison`), among
engines that crash for other reasons (`srv_crash`, `release`, `node_freeze`). Replayed
in ``tests/test_crash_evidence.py`` and ``tests/test_crashing_requests.py``.

A crash accuses each request that was at the engine without an answer, and the parts of
its prompt; those of a request that was about to begin there more than others. A request
that is answered clears itself and its parts of all accusations before it. A suspect is
held once several crashes that can't have a common cause accuse it, unless another one
explains them. Accusations and clearances are exchanged between instances; they may
arrive in any order, late and repeatedly.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Set
from typing import TypeGuard

from .request_identity import RequestIdentity, origin_of
from .suspects import (
    CLEARED_TTL_S,
    REQUEST_DEPTH,
    Accused,
    Parts,
    SuspectReport,
    explanation,
    is_request,
    shared_keys,
)
from .work import Work

# For which a clearance is told to others. Longer than a round of the largest fleet.
CLEARANCE_TOLD_S = 3.0
# Longest time from an instance's report to the last that hears of it. A clearance
# counts as this much older, since one that seems newer would clear later crashes.
TRANSIT_MAX_S = 0.5
NEWS_S = 1.0  # for which a change is told; datagrams may be lost
ACCUSED_MAX = 64  # parts; a crash accuses up to some 30
REQUESTS_MAX = 256  # accused; a crash accuses up to some 30
REFRESH_INTERVAL_S = 1.0  # without news, only the ends of holds are awaited
CRASHES_MAX = 8  # for each suspect
CLEARED_MAX = 4000  # parts, the least recently cleared are forgotten first


class CrashEvidence:
    """Accused, cleared and held suspects, as known to one instance.

    Parameters
    ----------
    spread : float
        From 0 to 1, drawn for each instance: how much longer it holds requests.

    Attributes
    ----------
    quarantined : frozenset of str
        Keys of the parts that must not reach an engine.
    held : frozenset of str
        Keys of the requests that must not reach an engine.
    changed_at_s : float
        Last change that other instances must learn of, on the clock of `boot_time_s`.
    """

    def __init__(self, spread: float = 0.0) -> None:
        self.quarantined: frozenset[str] = frozenset()
        self.held: frozenset[str] = frozenset()
        self.changed_at_s = -math.inf
        self._spread = spread
        self._accused: dict[str, Accused] = {}
        self._cleared: OrderedDict[str, float] = OrderedDict()
        self._on_trial: frozenset[str] = frozenset()
        # Of the accused requests: others are told from them without their bodies.
        self._origins: frozenset[str] = frozenset()
        self._next_told = 0
        self._refreshed_at_s = -math.inf
        self._is_changed = False

    def accuse(
        self,
        crash: str,
        parts: Parts,
        at_s: float,
        now_s: float,
        request: RequestIdentity | None = None,
        *,
        has_begun: bool = True,
        is_sequel: bool = False,
    ) -> None:
        """Accuse a request that was at a crashed engine, and parts of its prompt.

        The last part belongs to the request alone and is not accused.

        Parameters
        ----------
        crash : str
            Key of the crash, the same at all instances that noticed it.
        parts : sequence of (str, int)
            Parts of the prompt.
        at_s, now_s : float
            Time of the crash, and now, on the clock of `boot_time_s`.
        request : RequestIdentity, optional
            The request.
        has_begun : bool
            Whether the request was about to begin, by what the engine had sent. If
            not, its parts are accused unless they were sound a short time ago.
        is_sequel : bool
            Whether it was sent again after a crash that accused it.
        """
        unbegun = frozenset() if has_begun else frozenset((crash,))
        for depth, part in enumerate(shared_keys(parts)):
            sound_age_s = now_s - self._cleared.get(part, -math.inf)
            if not has_begun and sound_age_s <= CLEARED_TTL_S:
                # Each crash would accuse the parts of nearly all requests, and tell
                # every other instance so, until the next answer clears them.
                continue
            self._add(part, depth, {crash: at_s}, now_s, unbegun)
        if request is not None:
            suspect = self._add(request.key, REQUEST_DEPTH, {crash: at_s}, now_s)
            suspect.sequels += is_sequel
            self._is_changed = True
        self.refresh(now_s)

    def clear(
        self, parts: Parts, now_s: float, request: RequestIdentity | None = None
    ) -> None:
        """Clear a request that is being answered, and the parts of its prompt."""
        accused = False
        for part in shared_keys(parts):
            accused = accused or part in self._accused
            self._record_clearance(part, now_s, now_s)
        if self._is_accused(request):
            accused = True
            self._record_clearance(request.key, now_s, now_s)
        if accused:
            self.refresh(now_s)

    def release(self, key: str, now_s: float) -> bool:
        """Clear a suspect at an operator's wish; return whether it was accused."""
        if key not in self._accused:
            return False
        self._record_clearance(key, now_s, now_s)
        self.refresh(now_s)
        return True

    def refused_part(self, parts: Parts) -> str | None:
        """Return the quarantined part of a prompt, if there is one."""
        if not self.quarantined:
            return None
        for part in shared_keys(parts):
            if part in self.quarantined:
                return part
        return None

    def is_held(self, request: RequestIdentity | None) -> bool:
        """Return whether a request must not reach an engine."""
        if not self.held or not self._is_accused(request):
            return False
        return request.key in self.held

    def refused_suspect(self, work: Work) -> str | None:
        """Return what of a request must not reach an engine: itself, or a part."""
        if self.is_held(work.identity):
            return work.identity.key if work.identity else None
        return self.refused_part(work.parts)

    def crashes_of(self, key: str) -> list[str]:
        """Return the keys of the crashes that accuse a suspect."""
        suspect = self._accused.get(key)
        return sorted(suspect.crashes) if suspect else []

    def record_send(self, request: RequestIdentity | None, now_s: float) -> bool:
        """Record that a request is sent; return whether it is a trial.

        A request whose hold has ended is held again until this send has told more.
        """
        if not self._on_trial or not self._is_accused(request):
            return False
        if request.key not in self._on_trial:
            return False
        suspect = self._accused[request.key]
        suspect.trials += 1
        suspect.tried_at_s = now_s
        self._record_change(suspect, now_s, heard=False)
        self.refresh(now_s)
        return True

    def may_repeat(
        self,
        parts: Parts,
        now_s: float,
        request: RequestIdentity | None = None,
        *,
        has_begun: bool = True,
    ) -> bool:
        """Return whether a request that was at a crashed engine may be repeated.

        It may if only this crash accuses it and each part of its prompt since they were
        last answered. If it was about to begin, each part must have been sound a short
        time ago, too.
        """
        for part in shared_keys(parts):
            sound_age_s = now_s - self._cleared.get(part, -math.inf)
            if has_begun and sound_age_s > CLEARED_TTL_S:
                return False
            if len(self.crashes_of(part)) > 1:
                return False
        return request is None or len(self.crashes_of(request.key)) <= 1

    def reports(self, now_s: float) -> list[SuspectReport]:
        """Return all that other instances must know."""
        return [self._report(key, now_s) for key in self._accused]

    def news(self, now_s: float, *, relayed: bool) -> list[SuspectReport]:
        """Return what changed lately.

        Parameters
        ----------
        relayed : bool
            Whether to include what other instances have found.
        """
        return [
            self._report(key, now_s)
            for key, suspect in self._accused.items()
            if now_s - suspect.changed_at_s < NEWS_S
            or (relayed and now_s - suspect.heard_at_s < NEWS_S)
        ]

    def sample(self, now_s: float, most: int) -> list[SuspectReport]:
        """Return the suspects that are held, and some of the others in turn."""
        in_force = self.held | self.quarantined | self._on_trial
        others = [key for key in self._accused if key not in in_force]
        keys = list(in_force)
        for _ in range(min(len(others), most)):
            self._next_told = (self._next_told + 1) % len(others)
            keys.append(others[self._next_told])
        return [self._report(key, now_s) for key in keys]

    def merge(self, reports: Iterable[SuspectReport], now_s: float) -> None:
        """Add what another instance knows."""
        for report in reports:
            crashes = {
                crash: now_s - max(0.0, age_s)
                for crash, age_s in report.crash_ages_s.items()
            }
            suspect = self._add(
                report.key, report.depth, crashes, now_s, report.unbegun, heard=True
            )
            if report.trials > suspect.trials:
                suspect.trials = report.trials
                self._record_change(suspect, now_s, heard=True)
            if report.sequels > suspect.sequels:
                suspect.sequels = report.sequels
                self._record_change(suspect, now_s, heard=True)
            tried_at_s = now_s - max(0.0, report.tried_age_s)
            suspect.tried_at_s = max(suspect.tried_at_s, tried_at_s)
            cleared_at_s = now_s - max(0.0, report.cleared_age_s) - TRANSIT_MAX_S
            self._record_clearance(report.key, cleared_at_s, now_s)
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Drop what is out of date and recompute what is held."""
        is_recent = 0.0 <= now_s - self._refreshed_at_s < REFRESH_INTERVAL_S
        if is_recent and not self._is_changed:
            return
        self._refreshed_at_s = now_s
        self._is_changed = False
        for key, suspect in list(self._accused.items()):
            if now_s >= max(suspect.kept_until_s(key), suspect.told_until_s):
                del self._accused[key]
        requests = {key for key in self._accused if is_request(key)}
        self._forget_least(self._accused.keys() - requests, ACCUSED_MAX)
        self._forget_least(requests, REQUESTS_MAX)
        found = explanation(self._accused, self._cleared, now_s)
        ended = {
            key
            for key in found
            if now_s >= self._accused[key].held_until_s(key, self._spread)
        }
        self.quarantined = frozenset(found) - requests
        self.held = frozenset(requests.intersection(found) - ended)
        self._on_trial = frozenset(requests & ended)
        self._origins = frozenset(
            origin_of(key) for key in requests if key in self._accused
        )

    def _is_accused(
        self, request: RequestIdentity | None
    ) -> TypeGuard[RequestIdentity]:
        """Return whether crashes accuse a request; most bodies aren't hashed."""
        if not self._origins or request is None:
            return False
        return request.origin in self._origins and request.key in self._accused

    def _report(self, key: str, now_s: float) -> SuspectReport:
        suspect = self._accused[key]
        return SuspectReport(
            key,
            suspect.depth,
            now_s - self._cleared.get(key, -math.inf),
            {crash: now_s - at_s for crash, at_s in suspect.crashes.items()},
            suspect.trials,
            now_s - suspect.tried_at_s,
            suspect.sequels,
            frozenset(suspect.unbegun),
        )

    def _add(
        self,
        key: str,
        depth: int,
        crashes: dict[str, float],
        now_s: float,
        unbegun: Set[str] = frozenset(),
        *,
        heard: bool = False,
    ) -> Accused:
        cleared_at_s = self._cleared.get(key, -math.inf)
        suspect = self._accused.setdefault(key, Accused())
        suspect.depth = max(suspect.depth, depth)
        for crash, at_s in crashes.items():
            if at_s <= cleared_at_s:
                suspect.told_until_s = now_s + CLEARANCE_TOLD_S
                continue
            known_s = suspect.crashes.get(crash, math.inf)
            has_begun = crash not in unbegun
            if known_s == math.inf or (has_begun and crash in suspect.unbegun):
                self._record_change(suspect, now_s, heard=heard)
            if has_begun:
                suspect.unbegun.discard(crash)
            elif known_s == math.inf:
                suspect.unbegun.add(crash)
            suspect.crashes[crash] = min(known_s, at_s)
        while len(suspect.crashes) > CRASHES_MAX:
            oldest = min(suspect.crashes, key=lambda key: suspect.crashes[key])
            del suspect.crashes[oldest]
        suspect.unbegun.intersection_update(suspect.crashes)
        return suspect

    def _record_change(self, suspect: Accused, now_s: float, *, heard: bool) -> None:
        self.changed_at_s = now_s
        self._is_changed = True
        if heard:
            suspect.heard_at_s = now_s
        else:
            suspect.changed_at_s = now_s

    def _record_clearance(self, key: str, at_s: float, now_s: float) -> None:
        if at_s <= self._cleared.get(key, -math.inf):
            return
        self._cleared[key] = at_s
        self._cleared.move_to_end(key)
        while len(self._cleared) > CLEARED_MAX:
            self._cleared.popitem(last=False)
        suspect = self._accused.get(key)
        if suspect is None:
            return
        kept = {
            crash: crash_s
            for crash, crash_s in suspect.crashes.items()
            if crash_s > at_s
        }
        if len(kept) == len(suspect.crashes):
            return
        suspect.crashes = kept
        suspect.unbegun.intersection_update(kept)
        suspect.trials = suspect.sequels = 0
        suspect.told_until_s = now_s + CLEARANCE_TOLD_S
        self._record_change(suspect, now_s, heard=at_s < now_s)

    def _forget_least(self, keys: Set[str], most: int) -> None:
        """Forget those with the fewest crashes, the oldest among them."""
        if len(keys) <= most:
            return

        def importance(key: str) -> tuple[int, float]:
            suspect = self._accused[key]
            return len(suspect.crashes), suspect.last_s

        for key in sorted(keys, key=importance)[: len(keys) - most]:
            del self._accused[key]
