from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import pytest
import trio

from teaseldyke.dispatch import (
    NotReady,
    OrganisationRefused,
    QueueFull,
    QueueTimeout,
)
from teaseldyke.http import HttpClient, Response
from teaseldyke.outcomes import Started, StoredOutcome, fingerprint_of
from teaseldyke.types import TeaseldykeError

PAGE = Path(__file__).parents[2] / "docs" / "callers.md"
ROW = re.compile(r"\| `(\w+)` \| (\d+) \| (no|unknown) \| (yes|no) \| ")
PATH = "/services/licensing/grants"
AUTHORIZATION = ("authorization", "Bearer k")
KEY = ("idempotency-key", "grant-7")


@attrs.frozen
class Exit:
    code: str
    status: int
    executed: str
    retry_after: bool


def read_page() -> dict[str, Exit]:
    exits = {}
    for code, status, executed, retry in ROW.findall(PAGE.read_text()):
        exits[code] = Exit(code, int(status), executed, retry == "yes")
    return exits


PAGE_EXITS = read_page()


async def call(
    exits: Any,
    *headers: tuple[str, str],
    method: str = "POST",
    target: str = PATH,
    body: bytes = b"",
) -> Response:
    return await HttpClient(5.0).request(
        method, "127.0.0.1", exits.port, target, headers=list(headers), body=body
    )


async def raw(exits: Any, data: bytes) -> Response:
    stream = await trio.open_tcp_stream("127.0.0.1", exits.port)
    await stream.send_all(data)
    received = b"".join([chunk async for chunk in stream])
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = [(n.lower(), v.strip()) for n, _, v in (x.partition(b":") for x in lines)]
    return Response(int(first.split()[1]), headers, body)


Provoke = Callable[[Any], Awaitable[Response]]


def with_headers(*headers: tuple[str, str], target: str = PATH) -> Provoke:
    return lambda exits: call(exits, *headers, target=target)


def refused_by_dispatch(error: TeaseldykeError) -> Provoke:
    async def provoke(exits: Any) -> Response:
        async def step() -> None:
            raise error

        exits.dispatching.steps = [step]
        return await call(exits, AUTHORIZATION, KEY)

    return provoke


async def too_many_connections(exits: Any) -> Response:
    held = [await trio.open_tcp_stream("127.0.0.1", exits.port) for _ in range(4)]
    try:
        return await call(exits, AUTHORIZATION)
    finally:
        for stream in held:
            await stream.aclose()


async def configuration_missing(exits: Any) -> Response:
    exits.configuration = None
    return await call(exits, AUTHORIZATION)


async def deadline_passed(exits: Any) -> Response:
    exits.dispatching.steps = [lambda: trio.sleep(0.1)]
    return await call(exits, AUTHORIZATION, ("request-timeout-s", "0.05"))


async def backend_unreachable(exits: Any) -> Response:
    exits.dispatching.port = 1
    return await call(exits, AUTHORIZATION, KEY)


async def key_reused(exits: Any) -> Response:
    await call(exits, AUTHORIZATION, KEY, body=b"1")
    exits.executed = 0
    return await call(exits, AUTHORIZATION, KEY, body=b"2")


async def begun_elsewhere(exits: Any) -> tuple[Any, Started]:
    records = await exits.start_records("router-2")
    fingerprint = fingerprint_of("POST", "/grants", [], b"", service="licensing")
    begun = await records.begin("parish", KEY[1], fingerprint, service="licensing")
    assert isinstance(begun, Started)
    return records, begun


async def attempt_lapsed(exits: Any) -> Response:
    async def outlast_the_lease() -> None:
        exits.table.faults.down = True
        await trio.sleep(0.3)

    exits.dispatching.steps = [outlast_the_lease]
    return await call(exits, AUTHORIZATION, KEY)


async def attempt_running(exits: Any) -> Response:
    await begun_elsewhere(exits)
    return await call(exits, AUTHORIZATION, KEY)


async def outcome_unknown(exits: Any) -> Response:
    records, begun = await begun_elsewhere(exits)
    await records.mark_unknown(begun.attempt)
    await records.drained()
    return await call(exits, AUTHORIZATION, KEY)


async def record_unavailable(exits: Any) -> Response:
    records, begun = await begun_elsewhere(exits)
    await records.finish(begun.attempt, StoredOutcome(201))
    await records.drained()
    exits.table.faults.down = True
    return await call(exits, AUTHORIZATION, KEY)


async def outcome_uncertain(exits: Any) -> Response:
    exits.broken = True
    return await call(exits, AUTHORIZATION, KEY)


async def internal(exits: Any) -> Response:
    async def fail() -> None:
        raise ValueError("a fault of the router")

    exits.dispatching.steps = [fail]
    return await call(exits, AUTHORIZATION)


PROVOKED: dict[str, Provoke] = {
    "malformed_request": lambda exits: raw(exits, b"no request\r\n\r\n"),
    "header_too_large": with_headers(("x", "y" * 2000)),
    "request_timed_out": lambda exits: raw(exits, b"POST / HTTP/1.1\r\n"),
    "body_too_large": lambda exits: call(exits, AUTHORIZATION, body=b"x" * 2000),
    "too_many_connections": too_many_connections,
    "configuration_missing": configuration_missing,
    "key_missing": with_headers(),
    "key_unknown": with_headers(("authorization", "Bearer nobody")),
    "organisation_disabled": with_headers(("authorization", "Bearer off")),
    "service_unknown": with_headers(AUTHORIZATION, target="/services/moon/x"),
    "service_not_granted": with_headers(AUTHORIZATION, target="/services/ledger/x"),
    "header_invalid": with_headers(AUTHORIZATION, ("idempotency-key", "k" * 300)),
    "organisation_refused": refused_by_dispatch(OrganisationRefused("disabled")),
    "not_ready": refused_by_dispatch(NotReady("no", retry_after_s=1.0)),
    "queue_full": refused_by_dispatch(QueueFull("full", retry_after_s=2.0)),
    "queue_timeout": refused_by_dispatch(QueueTimeout("late", retry_after_s=2.0)),
    "deadline_passed": deadline_passed,
    "backend_unreachable": backend_unreachable,
    "idempotency_key_reused": key_reused,
    "attempt_lapsed": attempt_lapsed,
    "attempt_running": attempt_running,
    "outcome_unknown": outcome_unknown,
    "record_unavailable": record_unavailable,
    "outcome_uncertain": outcome_uncertain,
    "internal": internal,
}


@pytest.mark.promise("true-refusal")
@pytest.mark.parametrize("code", sorted(PAGE_EXITS))
async def test_every_row_of_the_page(code: str, exits: Any) -> None:
    row = PAGE_EXITS[code]
    response = await PROVOKED[code](exits)
    problem = response.json()
    found = Exit(
        problem["code"],
        response.status,
        problem["executed"],
        response.header("retry-after") is not None,
    )
    assert found == row
    assert response.header("content-type") == "application/problem+json"
    if row.executed == "no":
        assert exits.executed == 0


def test_the_page_names_every_exit() -> None:
    assert set(PAGE_EXITS) == set(PROVOKED)
