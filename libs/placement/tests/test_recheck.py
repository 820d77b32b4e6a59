"""Replays what may happen between the choice of a server and the send."""

from __future__ import annotations

import pytest

from teaseldyke.placement import CHOICE_TTL_S, ColdRateLimit, ServerState, lapse_reason
from teaseldyke.types import AnnouncedServer

CHOSEN_AT_S = 50.0


@pytest.mark.parametrize(
    ("after_s", "is_usable", "said_leaving", "pause_s", "expected"),
    [
        (0.0, True, False, 0.0, ""),
        (CHOICE_TTL_S, True, False, 0.0, ""),
        (CHOICE_TTL_S + 0.2, True, False, 0.0, "chosen 1.2 s ago"),
        (0.1, False, False, 0.0, "taken out"),
        (0.1, True, True, 0.0, "leaves"),
        (0.1, True, False, 0.5, "pause"),
        (0.6, True, False, 0.5, ""),
    ],
)
def test_choice_lapses(
    after_s: float, is_usable: bool, said_leaving: bool, pause_s: float, expected: str
) -> None:
    server = AnnouncedServer("e-1", 1, "app", "127.0.0.1", 80, "zone-a", 4)
    state = ServerState(server, 0.0, ColdRateLimit(0.0), said_leaving=said_leaving)
    state.record_pause(pause_s, CHOSEN_AT_S)
    reason = lapse_reason(
        state,
        is_usable=is_usable,
        chosen_at_s=CHOSEN_AT_S,
        now_s=CHOSEN_AT_S + after_s,
    )
    assert expected in reason
    assert bool(expected) == bool(reason)
