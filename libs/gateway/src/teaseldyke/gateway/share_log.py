"""Logs once a second what each organisation requested and received at this instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from teaseldyke.placement import FairShares, ServerState, Work
from teaseldyke.telemetry import counter, log_decision

REPORT_INTERVAL_S = 1.0  # shares are judged second by second
ORGANISATIONS_MAX = 16  # per line; those with most refused or queued tokens

REQUESTED_TOKENS = counter(
    "teaseldyke_asked_tokens_total", "Tokens of requests that arrived."
)
SENT_TOKENS = counter("teaseldyke_given_tokens_total", "Tokens of sends, by standing.")
REFUSED_TOKENS = counter(
    "teaseldyke_refused_tokens_total",
    "Tokens of refused requests, by standing.",
)
MISSES = counter(
    "teaseldyke_misses_total", "Looks at a request that found no place, by reason."
)
FREE_PLACE_TIME = counter(
    "teaseldyke_free_place_seconds_total",
    "Free places of engines while an organisation under its share waits here.",
)


@attrs.define
class _Tokens:
    """Token counts of one organisation at this instance since the last report."""

    requested: float = 0.0
    sent: float = 0.0
    refused: float = 0.0


@attrs.define(eq=False)
class ShareLog:
    """Counts tokens by organisation, and failed placements by reason.

    Parameters
    ----------
    fair_shares : FairShares
        Current fair shares.
    """

    fair_shares: FairShares
    _by_organisation: dict[str, _Tokens] = attrs.field(factory=dict, init=False)
    _misses: Counter[str] = attrs.field(factory=Counter, init=False)

    def record_arrival(self, work: Work) -> None:
        """Count an arrived request."""
        REQUESTED_TOKENS.bind().add(work.cost_tokens)
        self._of(work).requested += work.cost_tokens

    def record_send(self, work: Work, now_s: float) -> None:
        """Count a request sent to a backend server."""
        standing = self.fair_shares.standing(work.organisation, now_s)
        SENT_TOKENS.bind(standing=standing.value).add(work.cost_tokens)
        self._of(work).sent += work.cost_tokens

    def record_refusal(self, work: Work, now_s: float) -> None:
        """Count a refused request."""
        standing = self.fair_shares.standing(work.organisation, now_s)
        REFUSED_TOKENS.bind(standing=standing.value).add(work.cost_tokens)
        self._of(work).refused += work.cost_tokens

    def record_miss(self, reason: str) -> None:
        """Count a failed attempt to place a queued request."""
        MISSES.bind(reason=reason).add()
        self._misses[reason] += 1

    def report(
        self,
        states: Iterable[ServerState],
        waiting: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Log the counts since the last report if a request was refused or is queued.

        Parameters
        ----------
        states : iterable of ServerState
            Engines that may get requests.
        waiting : mapping
            Queued tokens at this instance, by organisation.
        now_s : float
            On the clock of `boot_time_s`.
        """
        counted, self._by_organisation = self._by_organisation, {}
        misses, self._misses = self._misses, Counter()
        for name in waiting:
            counted.setdefault(name, _Tokens())
        unserved = {
            name: tokens.refused + waiting.get(name, 0.0)
            for name, tokens in counted.items()
        }
        if not any(unserved.values()):
            return
        engines = list(states)
        fair_shares = self.fair_shares
        free_places = sum(
            max(0, state.server.slots - state.running)
            for state in engines
            if not state.is_ejected(now_s) and state.accepts_requests(now_s)
        )
        if any(
            tokens > 0.0 and fair_shares.is_below_level(name, now_s)
            for name, tokens in waiting.items()
        ):
            FREE_PLACE_TIME.bind().add(REPORT_INTERVAL_S * free_places)
        names = sorted(unserved, key=unserved.__getitem__, reverse=True)
        log_decision(
            "shares",
            level_tokens=fair_shares.level_tokens,
            mean_position_tokens=fair_shares.mean_position_tokens,
            capacity_tokens=int(fair_shares.capacity_tokens),
            given_tokens=int(fair_shares.given_tokens),
            demand_tokens=int(fair_shares.demand_tokens),
            engines=len(engines),
            engines_out=sum(state.is_ejected(now_s) for state in engines),
            engines_cold=sum(state.is_cold(now_s) for state in engines),
            places=sum(state.server.slots for state in engines),
            running=sum(state.running for state in engines),
            free_places=free_places,
            misses=dict(misses),
            organisations=[
                {
                    "name": name,
                    "asked_tokens": int(counted[name].requested),
                    "sent_tokens": int(counted[name].sent),
                    "refused_tokens": int(counted[name].refused),
                    "waiting_tokens": int(waiting.get(name, 0.0)),
                    "waiting_elsewhere_tokens": int(
                        fair_shares.peer_queued.get(name, 0.0)
                    ),
                    "usage_tokens": int(fair_shares.usage(name, now_s)),
                    "position_tokens": int(fair_shares.position(name, now_s)),
                    "standing": fair_shares.standing(name, now_s).value,
                }
                for name in names[:ORGANISATIONS_MAX]
            ],
        )

    def _of(self, work: Work) -> _Tokens:
        return self._by_organisation.setdefault(work.organisation, _Tokens())
