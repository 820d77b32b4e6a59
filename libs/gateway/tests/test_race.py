"""Which of the attempts of a call may forward its answer."""

from __future__ import annotations

import attrs
import pytest

from teaseldyke.gateway.race import Race


@attrs.define(eq=False)
class Attempt:
    ended: bool = False

    def supersede(self) -> None:
        self.ended = True


def race_of(count: int) -> tuple[Race[Attempt], list[Attempt]]:
    race = Race[Attempt]()
    race.running.extend(Attempt() for _ in range(count))
    return race, list(race.running)


@pytest.mark.parametrize("leader", [0, 1])
def test_attempt_that_leads_ends_the_other(leader: int) -> None:
    race, attempts = race_of(2)
    other = attempts[1 - leader]
    assert race.lead(attempts[leader])
    assert (attempts[leader].ended, other.ended) == (False, True)
    assert not race.lead(other)
    assert race.lead(attempts[leader])
    assert not race.has_others(attempts[leader])


def test_attempt_may_lead_again_beside_a_later_one() -> None:
    """Its server goes on after a second silence, too."""
    race, (first,) = race_of(1)
    assert race.lead(first)
    later = Attempt()
    race.running.append(later)
    assert race.has_others(first)
    assert race.lead(first)
    assert later.ended


def test_no_attempt_leads_once_the_call_has_ended() -> None:
    race, attempts = race_of(2)
    race.is_over = True
    assert not any(race.lead(attempt) for attempt in attempts)


def test_attempt_that_has_ended_is_no_rival() -> None:
    race, (first, second) = race_of(2)
    race.leave(second)
    assert not race.has_others(first)
    assert not race.lead(second)
    assert race.lead(first)
    assert not second.ended
