"""Measures the cost of request records: latency before sending, and writes."""

from __future__ import annotations

import time
from pathlib import Path

import attrs
import trio

from teaseldyke.http import HttpClient
from teaseldyke.outcomes import OutcomeRecords, Started, StoredOutcome
from teaseldyke.platform import HttpObjectStore, HttpTableService
from teaseldyke.replay import quantile
from tests.processes.fleet import Fleet, FleetPlan

RATES_HZ = (20, 200, 1000)
DURATION_S = 3.0
OUTCOME = StoredOutcome(200, ((b"content-type", b"application/json"),), b"{}" * 100)


@attrs.frozen
class RecordCost:
    """Cost of request records on one router at one request rate.

    Parameters
    ----------
    rate_hz : float
        Requests per second.
    begin_p50_ms, begin_p99_ms : float
        Time until the record is begun and the request may be sent.
    rows_per_request, transactions_per_request : float
        Rows and transactions written to the table service.
    """

    rate_hz: float
    begin_p50_ms: float
    begin_p99_ms: float
    rows_per_request: float
    transactions_per_request: float

    def describe(self) -> str:
        """Return one line of the table."""
        return (
            f"record at {self.rate_hz:g}/s: begin p50 {self.begin_p50_ms:.1f} ms, "
            f"p99 {self.begin_p99_ms:.1f} ms, {self.rows_per_request:.2f} rows and "
            f"{self.transactions_per_request:.3f} transactions a request"
        )


async def measure_record_cost(directory: Path) -> RecordCost:
    """Measure at every rate with a platform of its own; return the cost at 200/s."""
    fleet = Fleet(directory, FleetPlan())
    try:
        await fleet.start_platform()
        costs = [await _measure(fleet, rate_hz) for rate_hz in RATES_HZ]
    finally:
        fleet.end()
    for cost in costs:
        print(cost.describe())
    return costs[1]


async def _measure(fleet: Fleet, rate_hz: float) -> RecordCost:
    address = fleet.processes["platform"].address
    endpoint = (HttpClient(1.0), address.host, address.port)
    records = OutcomeRecords(
        HttpTableService(*endpoint), HttpObjectStore(*endpoint), "router", "1"
    )
    waits_s: list[float] = []
    requests = int(rate_hz * DURATION_S)
    async with trio.open_nursery() as nursery:
        await nursery.start(records.run)
        started_at_s = trio.current_time()
        async with trio.open_nursery() as request_nursery:
            for i in range(requests):
                await trio.sleep_until(started_at_s + i / rate_hz)
                request_nursery.start_soon(_request, records, f"{rate_hz}-{i}", waits_s)
        await records.drained()
        nursery.cancel_scope.cancel()
    return RecordCost(
        rate_hz,
        quantile(waits_s, 0.5) * 1000,
        quantile(waits_s, 0.99) * 1000,
        records.rows_written / requests,
        records.transactions / requests,
    )


async def _request(records: OutcomeRecords, key: str, waits_s: list[float]) -> None:
    from_s = time.perf_counter()
    result = await records.begin("parish", key, "f", service="licensing")
    waits_s.append(time.perf_counter() - from_s)
    assert isinstance(result, Started)
    records.mark_sending(result.attempt)
    await records.finish(result.attempt, OUTCOME)
