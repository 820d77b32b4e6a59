"""Load for process tests: requests at a constant rate and their results."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from itertools import pairwise

import attrs
import trio

from teaseldyke.replay import (
    Arrival,
    CallResult,
    Entry,
    Execution,
    Harms,
    Replayer,
    count_harms,
    read_executions,
)

from .fleet import ENGINE_SERVICE, PLAIN_SERVICE, Fleet

OUTPUT_TOKENS = 20


def mixed_traffic(
    fleet: Fleet, *, duration_s: float, rate_hz: float, routers: Sequence[int] = ()
) -> list[Entry]:
    """Return requests of all kinds at a constant rate, spread over routers.

    Of ten requests, eight go to the engines (every second one is streamed), one is a
    grant with its own idempotency key, and one is a lookup.
    """
    names = sorted(fleet.plan.shares)
    indices = routers or range(len(fleet.routers))
    entries: list[Entry] = []
    for i in range(int(duration_s * rate_hz)):
        at_s = i / rate_hz
        organisation = names[(i // 10 + i) % len(names)]
        router = indices[i % len(indices)]
        entries.append(_arrival(i, at_s, organisation, router))
    return entries


def _arrival(number: int, at_s: float, organisation: str, router: int) -> Arrival:
    if number % 10 == 8:
        return Arrival(
            at_s,
            organisation,
            PLAIN_SERVICE,
            path="/grants",
            router=router,
            idempotency_key=f"key-{number}",
            idempotent=False,
        )
    if number % 10 == 9:
        return Arrival(
            at_s, organisation, PLAIN_SERVICE, "GET", "/stations/7", router=router
        )
    return Arrival(
        at_s,
        organisation,
        ENGINE_SERVICE,
        router=router,
        prompt_tokens=20,
        output_tokens=OUTPUT_TOKENS,
        stream=number % 2 == 0,
    )


@attrs.define
class TrafficReport:
    """Results of traffic, as seen by callers and backend servers.

    Parameters
    ----------
    results : list of CallResult
        One for each request.
    executions : list of Execution
        Executions counted by the backend servers.
    """

    results: list[CallResult]
    executions: list[Execution]

    @property
    def failed(self) -> list[CallResult]:
        """Requests that did not succeed."""
        return [result for result in self.results if not result.answered]

    @property
    def crossed(self) -> list[CallResult]:
        """Successful answers that were incomplete or belonged to another request."""
        found = []
        for result in self.results:
            if result.answered and not result.own_answer:
                found.append(result)
        return found

    def count_executions(self, idempotency_key: str) -> int:
        """Return how often requests with a key were executed."""
        count = 0
        for execution in self.executions:
            if execution.idempotency_key == idempotency_key:
                count += execution.count
        return count

    def longest_answer_gap_s(self, service: str, from_s: float, to_s: float) -> float:
        """Return the longest time in which no answer from a service started."""
        begun_at_s = [from_s, to_s]
        for result in self.results:
            if result.arrival.service != service or not result.answered:
                continue
            at_s = result.sent_at_s + result.first_byte_s
            if from_s < at_s < to_s:
                begun_at_s.append(at_s)
        begun_at_s.sort()
        return max(after - before for before, after in pairwise(begun_at_s))

    def harms(self) -> Harms:
        """Return the promises that were broken."""
        return count_harms(self.results, self.executions)

    def assert_no_harm(self) -> None:
        """Check that nothing was doubled, lost, crossed, cut or falsely refused."""
        assert self.harms() == Harms(0, 0, 0)
        assert not self.crossed
        assert not [result for result in self.results if result.cut]


async def run_traffic(
    fleet: Fleet,
    entries: Sequence[Entry],
    events: Sequence[tuple[float, Callable[[], Awaitable[None]]]] = (),
    *,
    retries: int = 0,
) -> TrafficReport:
    """Send requests, run events at their times and read the executions."""
    addresses = [router.address for router in fleet.routers]
    replayer = Replayer(addresses, fleet.keys, retries=retries)
    started_at_s = trio.current_time()

    async def run_event(at_s: float, event: Callable[[], Awaitable[None]]) -> None:
        await trio.sleep_until(started_at_s + at_s)
        await event()

    async with trio.open_nursery() as nursery:
        for at_s, event in events:
            nursery.start_soon(run_event, at_s, event)
        results = await replayer.run(entries)
    servers = [server.address for server in fleet.backend_servers]
    return TrafficReport(results, await read_executions(servers))
