"""Sends calls to a second server beside one that has fallen silent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import trio

from teaseldyke.http import CallerGone
from teaseldyke.placement import RetryBudget, Work
from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import RouteKind, TeaseldykeError

from .attempts import Attempt, Outcome, SendResult
from .call import Call, work_for_resend
from .crashes import CrashProbe
from .errors import ServerBroke
from .interfaces import Fleet
from .placing import Placer
from .race import Race
from .reservation import Reservation

SWEEP_INTERVAL_S = 0.1  # longest delay in noticing a silence
LATE_S = 0.1  # of a sweep, beyond which data may lie unread
SECOND_PAUSE_S = 0.25  # between two second sends of a call
SENDS_MAX = 4  # of one request, including those that a server refused

SECONDS = counter(
    "teaseldyke_second_sends_total",
    "Sends of a call to a second server beside a silent one, by result.",
)


@attrs.define(eq=False)
class CallRace:
    """A call that may be sent to a second server, until its first send has ended.

    Parameters
    ----------
    call : Call
        The call.
    budget : RetryBudget
        Retry budget of its service.

    Attributes
    ----------
    attempts : Race
        Attempts of the call that run now.
    is_placing : bool
        Whether a second send waits for a server.
    result : SendResult or None
        Result of the last second send that has ended and was not overtaken.
    error : TeaseldykeError or None
        Why a second send says that there must be no other.
    """

    call: Call
    budget: RetryBudget
    attempts: Race[Attempt] = attrs.field(factory=Race)
    is_placing: bool = False
    result: SendResult | None = None
    error: TeaseldykeError | None = None
    next_at_s: float = 0.0
    _scopes: set[trio.CancelScope] = attrs.field(factory=set)
    _placing: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def open_scope(self) -> trio.CancelScope:
        """Return the scope of a new second send, which begins to wait for a server."""
        scope = self._placing = trio.CancelScope()
        self._scopes.add(scope)
        self.is_placing = True
        if self.attempts.is_over:
            scope.cancel()
        return scope

    def close_scope(self, scope: trio.CancelScope) -> None:
        """Record that a second send has ended."""
        self._scopes.discard(scope)
        if scope is self._placing:
            self.is_placing = False
        self._changed.set()

    def record_result(self, result: SendResult) -> None:
        """Record how a second send ended; no other may follow a complete answer."""
        if self.is_answered or result.outcome is Outcome.SUPERSEDED:
            return
        self.result = result
        if self.is_answered:
            self.end()

    @property
    def is_answered(self) -> bool:
        """Whether a second send has brought the complete answer."""
        return self.result is not None and self.result.outcome is Outcome.DONE

    def stop_placing(self) -> None:
        """End a second send that has no server yet."""
        if self.is_placing:
            self._placing.cancel()

    async def wait_for_others(self) -> None:
        """Wait until all second sends that have a server have ended."""
        self.stop_placing()
        while self._scopes:
            if not self.attempts.running:
                self.stop_placing()  # no attempt is left that it could go beside
            self._changed = trio.Event()
            await self._changed.wait()

    def end(self) -> None:
        """End all second sends that still run."""
        self.attempts.is_over = True
        for scope in self._scopes:
            scope.cancel()


class SecondSends:
    """Watches running attempts for silences, and starts second sends.

    Parameters
    ----------
    placer : Placer
        Assigns requests to backend servers.
    fleet : Fleet
        Instances that share the retry budget.
    probe : CrashProbe
        Finds crashed servers.
    send_to : callable
        Sends a call to a reserved server.
    may_begin : callable
        Whether an answer that is begun now would be complete in time.
    assign : callable
        Returns the work of a call's next send, with its side in a roll-out.
    """

    def __init__(
        self,
        placer: Placer,
        fleet: Fleet,
        probe: CrashProbe,
        send_to: Callable[[Call, CallRace, Reservation], Awaitable[SendResult]],
        may_begin: Callable[[Call], bool],
        assign: Callable[[Call, Work], Work] = lambda call, work: work,
    ) -> None:
        self._placer = placer
        self._fleet = fleet
        self._probe = probe
        self._send_to = send_to
        self._may_begin = may_begin
        self._assign = assign
        self._races: set[CallRace] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        was_late = False
        async with trio.open_nursery() as nursery:
            while True:
                asleep_since_s = boot_time_s()
                await trio.sleep(SWEEP_INTERVAL_S)
                now_s = boot_time_s()
                is_late = now_s - asleep_since_s > SWEEP_INTERVAL_S + LATE_S
                if is_late and not was_late:
                    was_late = True  # what has arrived meanwhile is read first
                    continue
                was_late = is_late
                for race in list(self._races):
                    self._check(race, nursery, now_s)

    async def send(
        self, race: CallRace, first: Callable[[], Awaitable[SendResult]]
    ) -> SendResult:
        """Run the first send of a call and those beside it; return the result.

        Raises
        ------
        TeaseldykeError
            That of the first send, or of another one that forbids any further send.
        """
        error: TeaseldykeError | None = None
        result: SendResult | None = None
        self._races.add(race)
        try:
            try:
                result = await first()
            except CallerGone:
                raise
            except TeaseldykeError as exc:
                error = exc
            if result is not None and result.outcome is Outcome.DONE:
                return result
            await race.wait_for_others()
        finally:
            self._races.discard(race)
            race.end()
        second = race.result
        if second is not None and second.outcome is Outcome.DONE:
            return second
        error = race.error or error
        if error is not None:
            raise error
        if second is not None and (
            result is None or result.outcome is Outcome.SUPERSEDED
        ):
            return second
        assert result is not None
        return result

    def _check(self, race: CallRace, nursery: trio.Nursery, now_s: float) -> None:
        """Start a second send if the only attempt is silent and one may be made."""
        running = race.attempts.running
        if len(running) != 1:
            return
        attempt = running[0]
        if not attempt.is_silent(now_s):
            race.stop_placing()
            return
        attempt.count_silence()
        # The path to other servers may have failed at the same moment.
        race.call.silent_since_s = now_s - attempt.silent_for_s(now_s)
        if race.is_placing or now_s < race.next_at_s:
            return
        if not self._may_send(race, now_s):
            return
        race.next_at_s = now_s + SECOND_PAUSE_S
        nursery.start_soon(self._run_second, race, attempt)

    def _may_send(self, race: CallRace, now_s: float) -> bool:
        call = race.call
        call.bind_to_version()
        if call.possible_runs >= call.route.attempts_max or call.sends >= SENDS_MAX:
            return False
        if call.relay.started and call.route.kind is not RouteKind.STREAMING:
            return False
        return (
            self._may_begin(call)
            and race.budget.allows(now_s, self._fleet.instances)
            and self._placer.has_other(call.service, call.work, frozenset(call.avoid))
        )

    async def _run_second(self, race: CallRace, silent: Attempt) -> None:
        """Make a second send; whatever becomes of it leaves the first one alone."""
        call = race.call
        after_s = silent.silent_for_s(boot_time_s())
        ended = "error"
        scope = race.open_scope()
        try:
            with scope:
                result = await self._place_and_send(race, silent)
                ended = "not_placed" if result is None else result.outcome.value
                if result is not None:
                    race.record_result(result)
            if scope.cancelled_caught:
                ended = "cancelled"
        except TeaseldykeError as exc:
            ended = exc.code
            if isinstance(exc, CallerGone) or exc.executed != "no":
                race.error = exc
            if isinstance(exc, CallerGone):
                silent.supersede()
        except Exception as exc:  # of one call; others' second sends go on
            race.error = ServerBroke(f"{type(exc).__name__}: {exc}")
        finally:
            race.close_scope(scope)
            SECONDS.bind(result=ended).add()
            log_decision(
                "second_send",
                id=call.text_id,
                silent=silent.reservation.state.server.id,
                silent_s=round(after_s, 3),
                result=ended,
                events=call.relay.events,
            )

    async def _place_and_send(
        self, race: CallRace, silent: Attempt
    ) -> SendResult | None:
        """Place and send a call whose first server is silent; ``None`` if not placed.

        It waits for a server as a retry does, but the first attempt goes on meanwhile,
        and ends the wait if it is heard.
        """
        call = race.call
        if silent.is_about_to_begin and await self._probe.has_crashed(
            silent.reservation.state.server
        ):
            silent.give_up("the server crashed without closing its connection")
            return None
        work = work_for_resend(call.work, call.route, boot_time_s())
        work = self._assign(call, work)
        reservation = await self._placer.place(
            call.service, work, frozenset(call.avoid), beside_another=True
        )
        race.is_placing = False
        now_s = boot_time_s()
        if not silent.is_silent(now_s) or not (
            self._may_send(race, now_s)
            and race.budget.try_spend(now_s, self._fleet.instances)
        ):
            reservation.take_back_from_limit()
            reservation.release(None)
            return None
        return await self._send_to(call, race, reservation)
