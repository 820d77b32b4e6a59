"""Sends non-idempotent requests during faults and counts broken promises."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from random import Random

import attrs
import trio

from benchmarks.fault_mixes import Mix, heal
from benchmarks.outcome_fleet import RelayedFleet
from teaseldyke.replay import Arrival, CallResult, Execution, read_executions
from teaseldyke.replay.caller import Callers
from tests.processes.fleet import PLAIN_SERVICE

PATHS = ("/grants", "/payments")
RETRIES = 8  # per caller
REPEATED_RATIO = 0.2  # of the callers send their request again even if it was answered
HEDGE_DELAY_S = 3.0  # after which a caller also tries another router
SETTLE_S = 2.5  # for routers to join, and for late executions to end
RESULTS_TIMEOUT_S = 60.0  # longest wait for answers, beside the time of sending


@attrs.frozen
class Harm:
    """Broken promises, counted from callers' results and servers' executions.

    Parameters
    ----------
    requests : int
        Requests, each with an idempotency key of its own.
    answered : int
        Requests with a successful answer.
    doubled : int
        Requests that were executed more than once.
    false_refusals : int
        Refusals that said "not executed" although the request was executed.
    crossed : int
        Successful answers that were incomplete or belonged to another request.
    lost : int
        Requests answered with success but executed by no server.
    unsettled : int
        Calls that had no result when the run ended.
    unanswered : dict of str to int
        Requests without a successful answer, by the code of the last result.
    unexecuted : int
        Requests without a successful answer that were not executed either.
    """

    requests: int
    answered: int
    doubled: int
    false_refusals: int
    crossed: int
    lost: int
    unsettled: int
    unanswered: dict[str, int] = attrs.field(factory=dict)
    unexecuted: int = 0

    @property
    def total(self) -> int:
        """Sum of the four kinds of broken promises."""
        return self.doubled + self.false_refusals + self.crossed + self.lost


@attrs.define
class OutcomeLoad:
    """Sends requests at a constant rate; callers hedge through another router.

    Parameters
    ----------
    fleet : RelayedFleet
        Receives the requests.
    mix : Mix
        Faults injected meanwhile.
    seed : int
        Seeds the faults and the choices of callers.
    requests : int
        Number of requests.
    rate_hz : float
        Requests per second.
    """

    fleet: RelayedFleet
    mix: Mix
    seed: int
    requests: int
    rate_hz: float
    results: list[CallResult] = attrs.field(factory=list, init=False)
    started: int = attrs.field(default=0, init=False)

    async def run(self) -> Harm:
        """Send all requests during the faults, heal, and count broken promises."""
        addresses = [router.address for router in self.fleet.routers]
        from_s = trio.current_time()
        callers = Callers(addresses, self.fleet.keys, RETRIES, from_s)
        with trio.move_on_after(RESULTS_TIMEOUT_S + self.requests / self.rate_hz):
            async with trio.open_nursery() as nursery:
                async with trio.open_nursery() as faults:
                    faults.start_soon(self.mix.run, self.fleet, self.seed)
                    await self._send_all(callers, nursery, from_s)
                    faults.cancel_scope.cancel()
                await heal(self.fleet)
        callers.pool.close_idle()
        await trio.sleep(SETTLE_S)
        servers = [service.address for service in self.fleet.services]
        executions = await read_executions(servers)
        unsettled = self.started - len(self.results)
        return count_harm(self.results, executions, self.requests, unsettled)

    async def _send_all(
        self, callers: Callers, nursery: trio.Nursery, from_s: float
    ) -> None:
        random = Random(self.seed)
        organisations = sorted(self.fleet.plan.shares)
        for i in range(self.requests):
            await trio.sleep_until(from_s + i / self.rate_hz)
            arrival = Arrival(
                i / self.rate_hz,
                random.choice(organisations),
                PLAIN_SERVICE,
                path=PATHS[i % len(PATHS)],
                router=random.randrange(len(self.fleet.routers)),
                idempotency_key=f"{self.mix.name}-{i}",
                idempotent=False,
            )
            repeated = random.random() < REPEATED_RATIO
            nursery.start_soon(self._request, callers, arrival, i, repeated)

    async def _request(
        self, callers: Callers, arrival: Arrival, number: int, repeated: bool
    ) -> None:
        """Send a request; if late or ``repeated``, also through another router."""
        hedged = attrs.evolve(arrival, router=arrival.router + 1)
        ended = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call, callers, arrival, number, ended)
            with trio.move_on_after(HEDGE_DELAY_S):
                await ended.wait()
            if repeated or not ended.is_set():
                await self._call(callers, hedged, number, trio.Event())

    async def _call(
        self, callers: Callers, arrival: Arrival, number: int, ended: trio.Event
    ) -> None:
        self.started += 1
        self.results.append(await callers.call(arrival, number))
        ended.set()


def count_harm(
    results: Iterable[CallResult],
    executions: Iterable[Execution],
    requests: int,
    unsettled: int,
) -> Harm:
    """Compare the results of callers with the executions of backend servers."""
    by_key: dict[str, int] = defaultdict(int)
    by_id: dict[str, int] = defaultdict(int)
    for execution in executions:
        by_key[execution.idempotency_key] += execution.count
        by_id[execution.request_id.partition("-")[0]] += execution.count
    calls: dict[str, list[CallResult]] = defaultdict(list)
    for result in results:
        calls[result.arrival.idempotency_key].append(result)
    doubled = sum(count > 1 for count in by_key.values())
    answered = false_refusals = crossed = lost = unexecuted = 0
    unanswered: Counter[str] = Counter()
    for key, key_results in calls.items():
        succeeded = [result for result in key_results if result.answered]
        answered += bool(succeeded)
        if not succeeded:
            unanswered[key_results[-1].final.code] += 1
            unexecuted += by_key[key] == 0
        lost += bool(succeeded) and by_key[key] == 0
        crossed += sum(not result.own_answer for result in succeeded)
        false_refusals += _count_false_refusals(key_results, by_id, by_key[key])
    return Harm(
        requests,
        answered,
        doubled,
        false_refusals,
        crossed,
        lost,
        unsettled,
        dict(unanswered),
        unexecuted,
    )


def _count_false_refusals(
    calls: list[CallResult], by_id: dict[str, int], executed: int
) -> int:
    """Count refusals that said "not executed" of executed requests.

    Attempts are matched with executions by request id. If none matches and the key was
    used by one call only, the call's final result is compared with the executions of
    the key.
    """
    false = 0
    for call in calls:
        for attempt in call.attempts:
            if attempt.executed == "no" and attempt.request_id:
                false += by_id.get(attempt.request_id, 0) > 0
    if false == 0 and len(calls) == 1 and executed:
        false += calls[0].final.executed == "no"
    return false
