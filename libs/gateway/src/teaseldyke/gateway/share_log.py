"""Reports once a second what each organisation asked for and got at this instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from teaseldyke.placement import FairShares, ServerState, Work
from teaseldyke.telemetry import counter, log_decision

REPORT_S = 1.0  # between two lines; the users judge shares second by second
ORGANISATIONS_MAX = 16  # in a line, those with the most refused or waiting tokens

ASKED = counter("teaseldyke_asked_tokens_total", "Tokens of requests that arrived.")
GIVEN = counter("teaseldyke_given_tokens_total", "Tokens of sends, by standing.")
TURNED_AWAY = counter(
    "teaseldyke_refused_tokens_total", "Tokens of refused requests, by standing."
)
MISSES = counter(
    "teaseldyke_misses_total", "Looks at a request that found no place, by reason."
)


@attrs.define
class _Tokens:
    """Tokens of one organisation at this instance since the last line."""

    asked: float = 0.0
    sent: float = 0.0
    refused: float = 0.0


@attrs.define(eq=False)
class ShareLog:
    """Counts tokens by organisation, and why requests found no place.

    Parameters
    ----------
    fair_shares : FairShares
        Shares in force.
    """

    fair_shares: FairShares
    _by_organisation: dict[str, _Tokens] = attrs.field(factory=dict, init=False)
    _misses: Counter[str] = attrs.field(factory=Counter, init=False)

    def note_asked(self, work: Work) -> None:
        """Count a request that arrived."""
        ASKED.bind().add(work.cost_tokens)
        self._of(work).asked += work.cost_tokens

    def note_sent(self, work: Work, now_s: float) -> None:
        """Count a send."""
        standing = self.fair_shares.standing(work.organisation, now_s)
        GIVEN.bind(standing=standing.value).add(work.cost_tokens)
        self._of(work).sent += work.cost_tokens

    def note_refused(self, work: Work, now_s: float) -> None:
        """Count a request that was turned away."""
        standing = self.fair_shares.standing(work.organisation, now_s)
        TURNED_AWAY.bind(standing=standing.value).add(work.cost_tokens)
        self._of(work).refused += work.cost_tokens

    def note_miss(self, reason: str) -> None:
        """Count a look at a waiting request that found no place."""
        MISSES.bind(reason=reason).add()
        self._misses[reason] += 1

    def report(
        self,
        states: Iterable[ServerState],
        waiting: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Write the line of the last second if a request was refused or waits.

        Parameters
        ----------
        states : iterable of ServerState
            Engines that may get requests.
        waiting : mapping
            Tokens that wait here, by organisation.
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
        names = sorted(unserved, key=unserved.__getitem__, reverse=True)
        log_decision(
            "shares",
            level_tokens=fair_shares.level_tokens,
            capacity_tokens=int(fair_shares.capacity_tokens),
            given_tokens=int(fair_shares.given_tokens),
            demand_tokens=int(fair_shares.demand_tokens),
            engines=len(engines),
            engines_out=sum(state.is_ejected(now_s) for state in engines),
            engines_cold=sum(state.is_cold(now_s) for state in engines),
            places=sum(state.server.slots for state in engines),
            running=sum(state.running for state in engines),
            misses=dict(misses),
            organisations=[
                {
                    "name": name,
                    "asked_tokens": int(counted[name].asked),
                    "sent_tokens": int(counted[name].sent),
                    "refused_tokens": int(counted[name].refused),
                    "waiting_tokens": int(waiting.get(name, 0.0)),
                    "waiting_elsewhere_tokens": int(
                        fair_shares.peer_queued.get(name, 0.0)
                    ),
                    "usage_tokens": int(fair_shares.usage(name, now_s)),
                    "standing": fair_shares.standing(name, now_s).value,
                }
                for name in names[:ORGANISATIONS_MAX]
            ],
        )

    def _of(self, work: Work) -> _Tokens:
        return self._by_organisation.setdefault(work.organisation, _Tokens())
