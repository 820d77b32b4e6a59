"""What a service can take while its servers state limits on requests.

Load pattern: engines that state limits below the demand (`srv_slow`, capped), some or
all of a service, while one organisation floods it (`hot_tenant`). Replayed in
``tests/test_limited_service.py``.
"""

from __future__ import annotations

from collections.abc import Sequence

from .servers import ServerState


def capacity_within_limits(
    states: Sequence[ServerState], tokens_per_s: float, mean_cost_tokens: float
) -> float:
    """Return what engines produce within their stated limits, in tokens a second.

    It is what fair shares distribute. Too low a value does no harm: what is given is
    distributed, too.

    Parameters
    ----------
    states : sequence of ServerState
        All engines.
    tokens_per_s : float
        What they produce without limits, together.
    mean_cost_tokens : float
        Mean cost of a request.
    """
    if not states:
        return tokens_per_s
    each_per_s = tokens_per_s / len(states)
    return sum(
        each_per_s
        if state.limit.per_s is None
        else min(each_per_s, state.limit.per_s * mean_cost_tokens)
        for state in states
    )


def limits_allow_in_s(
    states: Sequence[ServerState], queued: int, now_s: float
) -> float:
    """Return the time until stated limits allow one more request of this instance.

    0 if a server states no limit or none is known.

    Parameters
    ----------
    states : sequence of ServerState
        Servers that may get requests but for their limits.
    queued : int
        Requests that are sent before.
    """
    if not states or not all(state.limit.is_in_force for state in states):
        return 0.0
    own_per_s = sum(state.limit.own_per_s for state in states)
    if own_per_s <= 0.0:
        return 0.0  # the parts are not known yet
    if not queued:
        return min(state.limit.wait_s(0, now_s) for state in states)
    return (queued + 1) / own_per_s
