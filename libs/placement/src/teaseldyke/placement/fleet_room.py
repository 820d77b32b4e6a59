"""Free capacity of all engines of a service, divided between the instances.

Load pattern: one organisation floods from many instances, another from one, beside
many that request little (``narrow-entry-among-many``). Replayed in the tests of
``patterns``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from .choice import EngineLimits
from .servers import CapacityQuota, RoundSends, ServerState, usable
from .shares import Standing


@attrs.define
class FleetRoom:
    """Tokens that all engines can take, and what this instance sent of them.

    The quota at each engine alone doesn't bound what an instance sends: its requests
    try one engine after the other. With few requests at each of many instances, an
    organisation would get several times its part.

    Attributes
    ----------
    free_tokens : float
        Cost of the requests that the engines could take in this round.
    sends : RoundSends
        Sends of this instance that are not known to the other instances yet.
    """

    free_tokens: float = math.inf
    sends: RoundSends = attrs.field(factory=RoundSends)

    def start_round(self, rounding: float) -> None:
        """Start a new round of sends.

        Parameters
        ----------
        rounding : float
            Random number from 0 to 1; see `RoundSends`.
        """
        self.sends = RoundSends(rounding=rounding)

    def measure(
        self,
        states: Iterable[ServerState],
        lag_s: float,
        mean_prompt_tokens: float,
        mean_cost_tokens: float,
        now_s: float,
    ) -> None:
        """Add up what the engines can take, with what was sent in this round.

        Parameters
        ----------
        states : iterable of ServerState
            Engines of the service.
        lag_s : float
            Time until the other instances know of a send.
        mean_prompt_tokens, mean_cost_tokens : float
            Of the requests for the service.
        """
        requests = sum(
            free_requests(state, lag_s, mean_prompt_tokens)
            for state in usable(states, now_s)
            if state.accepts_requests(now_s)
        )
        self.free_tokens = requests * mean_cost_tokens + self.sends.tokens

    def allows_send(self, quota: CapacityQuota, cost_tokens: float) -> bool:
        """Return whether an organisation has capacity left in this round.

        Parameters
        ----------
        cost_tokens : float
            Cost of its next request; one that exceeds what is left is allowed as often
            as makes up for it.
        """
        if quota.fleet_fraction >= 1.0:
            return True
        name = quota.organisation
        _, sent_tokens = self.sends.of(name)
        needed_tokens = sent_tokens + (1.0 - self.sends.rounding_of(name)) * cost_tokens
        return needed_tokens <= self.free_tokens * quota.fleet_fraction


def free_requests(state: ServerState, lag_s: float, mean_prompt_tokens: float) -> float:
    """Return the requests that an engine can take, by its slots and its prefill."""
    limits = EngineLimits.of(Standing.FAIR, lag_s)
    free_slots = max(0.0, limits.slots_max * state.server.slots - state.running)
    rate = max(state.rate_tokens_per_s, 1.0)
    free_tokens = (limits.prefill_queue_max_s + lag_s) * rate - state.pending_tokens
    if free_tokens < 0.0:
        return 0.0
    return min(free_slots, 1.0 + free_tokens / max(mean_prompt_tokens, 1.0))
