"""Whether the choice of a server still holds right before the send.

Load patterns: a slow connection, a process that is paused or late between choice and
send (`node_freeze`, `node_slow`), and servers that leave, are taken out or ask for a
pause meanwhile (`scale_in`, `release`, `evacuate`). Replayed in
``tests/test_recheck.py``.
"""

from __future__ import annotations

from .servers import ServerState

# From the choice of a server to the send. A connection takes half of it at most; the
# rest is a pause of the process, in which news of the server were not read either.
CHOICE_TTL_S = 1.0


def lapse_reason(
    state: ServerState, *, is_usable: bool, chosen_at_s: float, now_s: float
) -> str:
    """Return why a request must be placed anew; empty if the choice still holds.

    Parameters
    ----------
    state : ServerState
        The chosen server.
    is_usable : bool
        Whether this very start of it is still among the servers that get requests.
    chosen_at_s, now_s : float
        On the clock of `boot_time_s`.

    Examples
    --------
    >>> from teaseldyke.placement import ColdRateLimit
    >>> from teaseldyke.types import AnnouncedServer
    >>> server = AnnouncedServer("e-1", 1, "app", "127.0.0.1", 80, "zone-a", 4)
    >>> state = ServerState(server, 0.0, ColdRateLimit(0.0))
    >>> lapse_reason(state, is_usable=True, chosen_at_s=7.0, now_s=7.5)
    ''
    >>> lapse_reason(state, is_usable=False, chosen_at_s=7.0, now_s=7.5)
    'server e-1 was taken out after it had been chosen'
    """
    age_s = now_s - chosen_at_s
    if age_s > CHOICE_TTL_S:
        return f"server {state.server.id} was chosen {age_s:.1f} s ago"
    if not is_usable:
        return f"server {state.server.id} was taken out after it had been chosen"
    if not state.accepts_requests(now_s):
        return f"server {state.server.id} asked for a pause or leaves"
    return ""
