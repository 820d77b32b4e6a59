"""Second sends beside silent servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.gateway import racing
from teaseldyke.gateway.attempts import Outcome, SendResult
from teaseldyke.gateway.racing import CallRace, SecondSends
from teaseldyke.types import RouteKind

LIMIT_S = 3.0


@attrs.define(eq=False)
class SilentAttempt:
    """An attempt whose server says nothing until it is told to."""

    ended: trio.Event = attrs.field(factory=trio.Event)
    is_superseded: bool = False
    is_about_to_begin: bool = False
    is_heard: bool = False
    reservation: Any = attrs.field(
        factory=lambda: SimpleNamespace(
            state=SimpleNamespace(server=SimpleNamespace(id="s-1"))
        )
    )

    def is_silent(self, now_s: float) -> bool:
        return not self.is_heard

    def silent_for_s(self, now_s: float) -> float:
        return 1.0

    def count_silence(self) -> None:
        """Count nothing."""

    def supersede(self) -> None:
        self.is_superseded = True
        self.ended.set()


class Sends:
    """Scripted sends of one call: the first by `first`, later ones by `later`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(racing, "work_for_resend", lambda *args: None)
        monkeypatch.setattr(racing, "SECOND_PAUSE_S", 0.0)
        self.call: Any = SimpleNamespace(
            text_id="c",
            bind_to_version=lambda: None,
            service="app",
            work=None,
            avoid=set(),
            possible_runs=1,
            sends=1,
            route=SimpleNamespace(attempts_max=9, kind=RouteKind.STREAMING),
            relay=SimpleNamespace(started=False, events=0),
        )
        budget: Any = SimpleNamespace(
            allows=lambda *args: True, try_spend=lambda *args: True
        )
        self.race = CallRace(self.call, budget)
        self.attempts = self.race.attempts
        self.later: list[Callable[[SilentAttempt], Awaitable[SendResult]]] = []
        self.places: list[Callable[[], Awaitable[None]]] = []
        fleet: Any = SimpleNamespace(instances=1)
        probe: Any = None
        self.seconds = SecondSends(
            self,
            fleet,
            probe,
            self.send_to,
            lambda call: True,  # type: ignore[arg-type]
        )

    def has_other(self, *args: object) -> bool:
        return bool(self.later)

    async def place(self, *args: object, **kwargs: object) -> Any:
        if self.places:
            await self.places.pop(0)()
        return SimpleNamespace(
            take_back_from_limit=lambda: None, release=lambda failed: None
        )

    async def send_to(self, *args: object) -> SendResult:
        attempt = SilentAttempt()
        self.attempts.running.append(attempt)  # type: ignore[arg-type]
        try:
            return await self.later.pop(0)(attempt)
        finally:
            self.attempts.leave(attempt)  # type: ignore[arg-type]

    async def first(self) -> SendResult:
        attempt = SilentAttempt()
        self.attempts.running.append(attempt)  # type: ignore[arg-type]
        try:
            return await self.run_first(attempt)
        finally:
            self.attempts.leave(attempt)  # type: ignore[arg-type]

    async def run_first(self, attempt: SilentAttempt) -> SendResult:
        await attempt.ended.wait()
        return SendResult(Outcome.SUPERSEDED)

    async def run(self) -> SendResult:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.seconds.run)
            with trio.fail_after(LIMIT_S):
                result = await self.seconds.send(self.race, self.first)
            nursery.cancel_scope.cancel()
        return result


@pytest.fixture
def sends(monkeypatch: pytest.MonkeyPatch) -> Sends:
    return Sends(monkeypatch)


async def test_complete_answer_is_not_replaced_by_a_later_end(sends: Sends) -> None:
    """A third send that found no server had a call repeated after its answer."""
    third_runs = trio.Event()

    async def lead_and_answer(attempt: SilentAttempt) -> SendResult:
        sends.attempts.lead(attempt)  # type: ignore[arg-type]
        await third_runs.wait()
        sends.attempts.lead(attempt)  # type: ignore[arg-type]
        return SendResult(Outcome.DONE, status=200)

    async def find_no_server(attempt: SilentAttempt) -> SendResult:
        third_runs.set()
        await attempt.ended.wait()
        await trio.sleep(0.05)
        return SendResult(Outcome.NOT_SENT)

    sends.later = [lead_and_answer, find_no_server]
    assert (await sends.run()).outcome is Outcome.DONE


async def test_broken_call_does_not_wait_for_a_server_for_nothing(
    sends: Sends,
) -> None:
    """A second send's wait for a server went on after all attempts had ended."""
    is_placing = trio.Event()

    async def place_at_once() -> None:
        pass

    async def place_never() -> None:
        is_placing.set()
        await trio.sleep_forever()

    async def lead_and_break(attempt: SilentAttempt) -> SendResult:
        sends.attempts.lead(attempt)  # type: ignore[arg-type]
        await is_placing.wait()
        return SendResult(Outcome.BROKEN)

    async def never(attempt: SilentAttempt) -> SendResult:
        raise AssertionError

    sends.places = [place_at_once, place_never]
    sends.later = [lead_and_break, never]
    assert (await sends.run()).outcome is Outcome.BROKEN


async def test_error_of_a_second_send_leaves_the_first_alone(sends: Sends) -> None:
    """An unexpected error of a second send ended the answer that still came."""
    has_failed = trio.Event()

    async def fail(attempt: SilentAttempt) -> SendResult:
        has_failed.set()
        raise RuntimeError("unexpected")

    async def answer(attempt: SilentAttempt) -> SendResult:
        await has_failed.wait()
        await trio.sleep(0.05)
        if attempt.is_superseded:
            return SendResult(Outcome.SUPERSEDED)
        return SendResult(Outcome.DONE, status=200)

    sends.run_first = answer  # type: ignore[method-assign]
    sends.later = [fail]
    assert (await sends.run()).outcome is Outcome.DONE
