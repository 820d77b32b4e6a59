"""Executions at the backend servers, compared with the answers that callers got."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from teaseldyke.http import ConnectFailed, HttpClient
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError

from .results import CallResult

EXECUTIONS_PATH = "/standin/executions"
ANSWER_LIMIT_BYTES = 512 * 1024 * 1024
TIMEOUT_S = 30.0


class ExecutionsUnreadable(TeaseldykeError):
    """A backend server did not return its executions."""

    code = "executions_unreadable"
    executed = "no"


@attrs.frozen
class Execution:
    """Number of executions of one request id at one backend server."""

    request_id: str
    count: int
    organisation: str
    idempotency_key: str


@attrs.frozen
class Harms:
    """Violations of the guarantees on execution.

    Parameters
    ----------
    doubled : int
        Non-idempotent requests executed more than once.
    false_refusals : int
        Refusals that said "not executed" although the request was executed.
    lost : int
        Non-idempotent requests answered with success although no server executed them.
    """

    doubled: int
    false_refusals: int
    lost: int


async def read_executions(servers: Iterable[Address]) -> list[Execution]:
    """Return the executions of all backend servers.

    A server that accepts no connection is taken to have executed nothing.

    Raises
    ------
    ExecutionsUnreadable
        If a server answers with a status other than 200.
    """
    client = HttpClient(TIMEOUT_S)
    found: list[Execution] = []
    for server in servers:
        try:
            response = await client.request(
                "GET",
                server.host,
                server.port,
                EXECUTIONS_PATH,
                limit_bytes=ANSWER_LIMIT_BYTES,
            )
        except ConnectFailed:
            continue
        if response.status != 200:
            raise ExecutionsUnreadable(
                f"{server} answered {EXECUTIONS_PATH} with status {response.status}"
            )
        for request_id, fields in response.json().items():
            execution = Execution(
                request_id,
                fields["count"],
                fields["organisation"],
                fields["idempotency_key"],
            )
            found.append(execution)
    client.close()
    return found


def count_harms(results: Iterable[CallResult], executions: list[Execution]) -> Harms:
    """Compare the answers that callers got with the executions at the servers."""
    by_key: dict[tuple[str, str], int] = {}
    by_id: dict[str, int] = {}
    for execution in executions:
        key = (execution.organisation, execution.idempotency_key)
        by_key[key] = by_key.get(key, 0) + execution.count
        request_id = execution.request_id.partition("-")[0]  # a retry appends "-<n>"
        by_id[request_id] = by_id.get(request_id, 0) + execution.count
    doubled = 0
    false_refusals = 0
    lost = 0
    for result in results:
        false_refusals += _count_false_refusals(result, by_id)
        if result.arrival.idempotent:
            continue
        count = _count_executions(result, by_key, by_id)
        doubled += count > 1
        lost += result.answered and count == 0
    return Harms(doubled, false_refusals, lost)


def _count_false_refusals(result: CallResult, by_id: dict[str, int]) -> int:
    false = 0
    for attempt in result.attempts:
        if attempt.executed != "no" or not attempt.request_id:
            continue
        false += by_id.get(attempt.request_id, 0) > 0
    return false


def _count_executions(
    result: CallResult,
    by_key: dict[tuple[str, str], int],
    by_id: dict[str, int],
) -> int:
    arrival = result.arrival
    if arrival.idempotency_key:
        return by_key.get((arrival.organisation, arrival.idempotency_key), 0)
    return sum(by_id.get(attempt.request_id, 0) for attempt in result.attempts)
