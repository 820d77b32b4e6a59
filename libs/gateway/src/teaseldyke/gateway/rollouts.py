"""Roll-outs of software versions: assigns requests, counts answers, writes the state.

Nothing is counted, told or written while no roll-out is ordered.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs
import trio

from teaseldyke.placement import (
    Rollout,
    RouteAnswers,
    ServerState,
    Stage,
    Work,
    rendezvous_weight,
    trial_server,
)
from teaseldyke.telemetry import counter, gauge, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    AnnouncedServer,
    PlatformUnavailable,
    RolloutOrder,
    TeaseldykeError,
)

from .interfaces import RolloutRows, RolloutState
from .rollout_sums import RolloutSums, order_key
from .view import FleetView

# An answer is slow if it takes this many times longer than the old version's do; the
# load of an engine makes up to about 3.
SLOW_FACTOR = 4.0
SLOW_MIN_S = 0.02  # shorter times are due to the load of a moment
TIME_SMOOTHING = 0.05  # weight of the newest answer in the mean of a route
WRITE_CHECK_INTERVAL_S = 0.1
# Per instance, in the order in which they write if those before have not.
WRITE_RANK_DELAY_S = 0.4
# In addition, without word of most instances: these may have decided otherwise.
WRITE_CUT_OFF_DELAY_S = 0.8
READ_INTERVAL_S = 0.5  # of the state, by an instance that may not have been told
WRITERS = 8  # instances that may have to write; more fail together rarely

ROLLOUT_ANSWERS = counter(
    "teaseldyke_rollout_answers_total",
    "Answers counted in a roll-out, by service, version and whether they were bad.",
)
ROLLOUT_STAGE = gauge(
    "teaseldyke_rollout_stage",
    "Stage of the roll-out of a service: 0 unknown, 1 trial, 2 moving, 3 moved, "
    "4 rolled back, 5 completed.",
)

STATES = {
    Stage.ROLLED_BACK: RolloutState.ROLLED_BACK,
    Stage.COMPLETED: RolloutState.COMPLETED,
}


class RolloutFleet(Protocol):
    """The instances that share a roll-out."""

    @property
    def alive(self) -> int:
        """Number of instances heard of lately, this one included."""
        ...

    @property
    def instances(self) -> int:
        """Number of instances, this one included."""
        ...

    @property
    def lag_s(self) -> float:
        """Age of the others' sums."""
        ...

    def rank(self, key: str) -> int:
        """Return this instance's rank in the fleet for a key, from 0."""
        ...


@attrs.define(eq=False)
class _Running:
    """A roll-out, this instance's answers and what others told."""

    rollout: Rollout
    own: dict[str, RouteAnswers] = attrs.field(factory=dict)
    fleet: dict[str, RouteAnswers] = attrs.field(factory=dict)
    written: Stage = Stage.UNKNOWN
    logged: Stage | None = None
    crashed: set[tuple[str, int]] = attrs.field(factory=set)
    read_at_s: float = -math.inf
    # Own answers of the last rounds, oldest first, with their times.
    earlier: deque[tuple[float, dict[str, RouteAnswers]]] = attrs.field(factory=deque)
    old_times_s: dict[str, float] = attrs.field(factory=dict)
    is_withdrawn: bool = False  # kept, as servers of its version may still run

    @property
    def state(self) -> RolloutState:
        """State to be written of the stage."""
        return STATES.get(self.rollout.stage, RolloutState.RUNNING)

    @property
    def is_written(self) -> bool:
        """Whether the store has the state of the stage."""
        stage = self.rollout.stage
        if stage in STATES:
            return self.written is stage
        return self.written is not Stage.UNKNOWN


class Rollouts:
    """The roll-outs that operators have ordered.

    Parameters
    ----------
    view : FleetView
        Backend servers.
    fleet : RolloutFleet
        Instances that share the roll-outs.
    rows : RolloutRows
        Rows of the store with the states of roll-outs.
    exposure_share : float
        Of the requests that reach a service, which a bad version may get; 0 if the
        deployment has no roll-outs.
    exposure_slack : float
        Requests that a bad version may get in addition, from all instances.
    """

    def __init__(
        self,
        view: FleetView,
        fleet: RolloutFleet,
        rows: RolloutRows,
        exposure_share: float,
        exposure_slack: float,
    ) -> None:
        self._view = view
        self._fleet = fleet
        self._rows = rows
        self._exposure_share = exposure_share
        self._exposure_slack = exposure_slack
        self._running: dict[str, _Running] = {}
        self._has_listing = False

    def apply_orders(self, orders: Sequence[RolloutOrder]) -> None:
        """Begin ordered roll-outs and end those that were withdrawn or replaced.

        An order that stands in the first listing may be under way, so that it waits for
        word of the others or of the store.
        """
        is_first, self._has_listing = not self._has_listing, True
        if self._exposure_share <= 0.0:
            return
        now_s = boot_time_s()
        by_service = {order.service: order for order in orders}
        barred: dict[str, frozenset[str]] = {}
        for service, running in list(self._running.items()):
            order = by_service.get(service)
            rollout = running.rollout
            if order == (None if running.is_withdrawn else rollout.order):
                continue
            if not running.is_withdrawn:
                log_decision(
                    "rollout_withdrawn", service=service, to=rollout.order.version
                )
            if order is None and rollout.stage is not Stage.COMPLETED:
                running.is_withdrawn = True
                rollout.end(Stage.ROLLED_BACK, "the order was withdrawn", now_s)
                continue
            if order is not None:
                barred[service] = _barred_by(rollout) - {order.version}
            # Queued requests hold the sides of this roll-out.
            if not rollout.is_final:
                rollout.end(Stage.ROLLED_BACK, "the order was replaced", now_s)
            del self._running[service]
        for service, order in by_service.items():
            if service in self._running:
                continue
            rollout = Rollout(
                order,
                now_s,
                self._exposure_share,
                self._exposure_slack / max(1, self._fleet.instances),
                random.random(),
                Stage.UNKNOWN if is_first else Stage.TRIAL,
                barred=barred.get(service, frozenset()),
            )
            self._running[service] = _Running(rollout)
            log_decision(
                "rollout_ordered",
                service=service,
                to=order.version,
                duration_s=order.duration_s,
            )

    def assign(self, service: str, work: Work) -> Work:
        """Return the work of a request's next send, with its side in a roll-out."""
        running = self._running.get(service)
        if running is None or work.version:
            return work
        now_s = boot_time_s()
        rollout = running.rollout
        may_use_new = any(_may_use(state, now_s) for state in self._new_states(rollout))
        side = rollout.side_of_next(now_s, may_use_new=may_use_new)
        return attrs.evolve(work, side=side)

    def record(
        self,
        server: AnnouncedServer,
        route: str,
        *,
        is_bad: bool,
        crashed: bool = False,
    ) -> None:
        """Count an answer of a server; those that one crash cut count as one."""
        running = self._running.get(server.service)
        if running is None or running.rollout.is_final:
            return
        start = server.id, server.started
        if crashed:
            if start in running.crashed:
                return
            running.crashed.add(start)
        answers = running.own.setdefault(route, RouteAnswers())
        is_new = server.version == running.rollout.order.version
        name = f"{'new' if is_new else 'old'}_{'bad' if is_bad else 'good'}"
        setattr(answers, name, getattr(answers, name) + 1)
        ROLLOUT_ANSWERS.bind(
            service=server.service,
            version=server.version,
            result="bad" if is_bad else "good",
        ).add()

    def is_active(self, service: str) -> bool:
        """Return whether answers of a service are counted."""
        running = self._running.get(service)
        return running is not None and not running.rollout.is_final

    def record_time(self, server: AnnouncedServer, route: str, time_s: float) -> bool:
        """Record the time of an answer; return whether it is far longer than usual.

        Usual are the times of the old version on the route, which make the mean.

        Its time doesn't include the wait for a prefill, which depends on what a server
        has cached: a new one has nothing.

        Parameters
        ----------
        time_s : float
            Time for each event of a stream after the first, or of a plain answer.
        """
        running = self._running.get(server.service)
        if running is None:
            return False
        mean_s = running.old_times_s.get(route)
        is_old = server.version != running.rollout.order.version
        if is_old:
            known_s = time_s if mean_s is None else mean_s
            running.old_times_s[route] = known_s + TIME_SMOOTHING * (time_s - known_s)
        if mean_s is None or time_s < SLOW_MIN_S:
            return False
        return time_s > SLOW_FACTOR * mean_s

    def describe(self) -> list[dict[str, object]]:
        """Return each roll-out with its evidence, for operators."""
        now_s = boot_time_s()
        return [
            {
                "service": service,
                "to": running.rollout.order.version,
                "stage": running.rollout.stage.name.lower(),
                "is_written": running.is_written,
                "reason": running.rollout.reason,
                "share": running.rollout.share(now_s),
                "age_s": round(now_s - running.rollout.begun_at_s, 1),
                "duration_s": running.rollout.order.duration_s,
                "old_running": self._old_running(running.rollout),
                "evidence": running.rollout.verdict.log_ratios(),
                "answers": {
                    route: attrs.asdict(answers)
                    for route, answers in self._totals_of(running).items()
                },
            }
            for service, running in self._running.items()
        ]

    def _totals_of(self, running: _Running) -> dict[str, RouteAnswers]:
        """Return the fleet's answers by route.

        Own answers are as old as those of the others. While the share of the new
        version grows, newer ones would weigh more for it than for the old one.
        """
        own = running.earlier[0][1] if running.earlier else running.own
        totals = {route: attrs.evolve(answers) for route, answers in own.items()}
        for route, answers in running.fleet.items():
            totals.setdefault(route, RouteAnswers()).add(answers)
        return totals

    def sums(self) -> dict[str, RolloutSums]:
        """Return what this instance tells others, by order; empty without one."""
        now_s = boot_time_s()
        return {
            order_key(running.rollout.order): (
                int(running.rollout.stage),
                int(1e3 * (now_s - running.rollout.begun_at_s)),
                running.is_written,
                {
                    route: attrs.astuple(answers)
                    for route, answers in running.own.items()
                },
            )
            for running in self._running.values()
        }

    def hear(self, sums: Mapping[str, RolloutSums]) -> None:
        """Adopt the sums of the other instances."""
        now_s = boot_time_s()
        for running in self._running.values():
            told = sums.get(order_key(running.rollout.order))
            if told is None:
                continue
            stage, age_ms, is_written, answers = told
            if not 0 <= stage <= Stage.COMPLETED:
                continue
            running.fleet = {
                route: RouteAnswers(*counts) for route, counts in answers.items()
            }
            running.rollout.hear(Stage(stage), age_ms / 1e3, now_s)
            if is_written and stage == running.rollout.stage:
                running.written = Stage(stage)

    def advance(self) -> None:
        """Move the roll-outs on; called at intervals."""
        now_s = boot_time_s()
        for service, running in self._running.items():
            rollout = running.rollout
            self._keep_own(running, now_s)
            totals = self._totals_of(running)
            if rollout.stage is Stage.TRIAL:
                self._choose_trial_server(rollout)
            rollout.is_in_touch = self._is_in_touch
            rollout.advance(totals, now_s)
            if rollout.stage is running.logged:
                continue
            running.logged = rollout.stage
            ROLLOUT_STAGE.bind(service=service).set(int(rollout.stage))
            log_decision(
                "rollout_stage",
                service=service,
                to=rollout.order.version,
                stage=rollout.stage.name.lower(),
                reason=rollout.reason,
                after_s=round(now_s - rollout.begun_at_s, 2),
                answers={
                    route: attrs.astuple(answers) for route, answers in totals.items()
                },
            )
            self._view.refresh()

    def _keep_own(self, running: _Running, now_s: float) -> None:
        """Keep this instance's answers until the others' of the same time are known."""
        own = {route: attrs.evolve(answers) for route, answers in running.own.items()}
        earlier = running.earlier
        earlier.append((now_s, own))
        while len(earlier) > 1 and earlier[1][0] <= now_s - self._fleet.lag_s:
            earlier.popleft()

    def _choose_trial_server(self, rollout: Rollout) -> None:
        """Choose the new server of the trial, the same at all instances."""
        order = rollout.order
        new = [
            state.server.id
            for state in self._view.states_of(order.service)
            if state.server.version == order.version
        ]
        if not new:
            return
        new.sort(key=lambda name: rendezvous_weight(order.version, name))
        elapsed_s = boot_time_s() - rollout.begun_at_s
        rollout.new_side.trial_ids = frozenset([trial_server(new, elapsed_s)])

    async def run(self) -> None:
        """Write the states of roll-outs until cancelled."""
        while True:
            await trio.sleep(WRITE_CHECK_INTERVAL_S)
            for service, running in list(self._running.items()):
                await self._write_if_due(service, running)

    async def _write_if_due(self, service: str, running: _Running) -> None:
        rollout = running.rollout
        now_s = boot_time_s()
        rank = self._fleet.rank(f"rollout/{service}")
        is_uninformed = rollout.stage is Stage.UNKNOWN or not self._is_in_touch
        is_ended = rollout.is_final and running.is_written
        is_due = now_s - running.read_at_s >= READ_INTERVAL_S
        if is_uninformed and is_due and not is_ended:
            running.read_at_s = now_s
            await self._read(service, running)
        if rank >= WRITERS:
            return
        state = running.state
        may_complete = rollout.may_complete(self._old_running(rollout), now_s)
        has_new = any(
            state.accepts_requests(now_s) for state in self._new_states(rollout)
        )
        if may_complete and not has_new and rollout.is_due(now_s):
            rollout.end(Stage.ROLLED_BACK, "no server of the version", now_s)
            state = running.state
        elif may_complete and has_new:
            state = RolloutState.COMPLETED
        elif running.is_written:
            return
        since_s = max(rollout.begun_at_s, rollout.changed_at_s)
        delay_s = rank * WRITE_RANK_DELAY_S
        if not self._is_in_touch:
            delay_s += WRITE_CUT_OFF_DELAY_S
        if now_s - since_s < delay_s:
            return
        try:
            await self._write(service, running, state)
        except TeaseldykeError as exc:
            log_decision("rollout_not_written", service=service, reason=exc.detail)

    @property
    def _is_in_touch(self) -> bool:
        """Whether at least half of the instances were heard of lately."""
        return 2 * self._fleet.alive >= self._fleet.instances

    async def _read(self, service: str, running: _Running) -> None:
        """Adopt the state that the store has, if it is of this roll-out."""
        try:
            known = (await self._rows.rollout_states()).get(service)
        except TeaseldykeError as exc:
            log_decision("rollout_not_read", service=service, reason=exc.detail)
            return
        if known is None or known[1] != running.rollout.order.version:
            return
        if running.rollout.stage is Stage.UNKNOWN or (
            known[2] is not RolloutState.RUNNING
        ):
            self._adopt(running, known[2])

    async def _write(
        self, service: str, running: _Running, state: RolloutState
    ) -> None:
        """Write a state unless the store has a final one; adopt what it has.

        Raises
        ------
        PlatformUnavailable, AnswerLost
            If the store fails; the next try reads what became of a lost write.
        """
        rollout = running.rollout
        known = (await self._rows.rollout_states()).get(service)
        version = 0
        if known is not None:
            version, written_to, written = known
            is_same = written_to == rollout.order.version
            if is_same and (written is not RolloutState.RUNNING or written is state):
                self._adopt(running, written)
                return
        standing = {
            order.service: order for order in await self._rows.rollout_orders()
        }.get(service)
        if standing != (None if running.is_withdrawn else rollout.order):
            # This instance is behind the orders; it must not replace the next state.
            return
        if known is not None and not is_same and written is RolloutState.RUNNING:
            if running.is_withdrawn:
                return
            # The order before was replaced. Its servers drain only at this state.
            if written_to and not await self._rows.write_rollout_state(
                service, written_to, RolloutState.ROLLED_BACK, version
            ):
                raise PlatformUnavailable("another instance has written the state")
            if written_to:
                return
        if rollout.stage is Stage.UNKNOWN:
            # No instance knows of the roll-out and it has not ended: it begins anew.
            rollout.stage = Stage.TRIAL
        done = await self._rows.write_rollout_state(
            service, rollout.order.version, state, version
        )
        if not done:
            raise PlatformUnavailable("another instance has written the state")
        log_decision("rollout_written", service=service, state=state.value)
        self._adopt(running, state)

    def _adopt(self, running: _Running, state: RolloutState) -> None:
        """Adopt a state that the store has."""
        now_s = boot_time_s()
        rollout = running.rollout
        if state is RolloutState.COMPLETED and rollout.stage is not Stage.COMPLETED:
            rollout.end(Stage.COMPLETED, "all traffic is moved", now_s)
        if state is RolloutState.ROLLED_BACK and not rollout.is_final:
            rollout.end(Stage.ROLLED_BACK, "written by another instance", now_s)
        if rollout.stage is Stage.UNKNOWN:
            rollout.stage = Stage.TRIAL
        running.written = rollout.stage

    def _new_states(self, rollout: Rollout) -> list[ServerState]:
        """Return the servers of the new version that are in use."""
        states = self._view.states_of(rollout.order.service)
        return [state for state in states if rollout.new_side.allows(state.server)]

    def _old_running(self, rollout: Rollout) -> int:
        """Return the fleet's requests at servers of other versions."""
        return sum(
            state.running
            for state in self._view.all_states()
            if state.server.service == rollout.order.service
            and state.server.version != rollout.order.version
        )


def _may_use(state: ServerState, now_s: float) -> bool:
    """Return whether a server may get a request now, without a wait."""
    if not state.accepts_requests(now_s) or state.is_ejected(now_s):
        return False
    if now_s < state.full_until_s or state.running >= state.server.slots > 0:
        return False
    return not state.is_cold(now_s) or state.cold_rate_limit.allows_send(now_s)


def _barred_by(rollout: Rollout) -> frozenset[str]:
    """Return the versions that may not serve once a roll-out is replaced."""
    if rollout.stage is Stage.COMPLETED:
        return frozenset()
    return rollout.barred | {rollout.order.version}
