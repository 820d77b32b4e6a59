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
class ErrorResponse:
    code: str
    status: int
    executed: str
    retry_after: bool


def read_documented_errors() -> dict[str, ErrorResponse]:
    errors = {}
    for code, status, executed, retry in ROW.findall(PAGE.read_text()):
        errors[code] = ErrorResponse(code, int(status), executed, retry == "yes")
    return errors


DOCUMENTED_ERRORS = read_documented_errors()


async def call(
    harness: Any,
    *headers: tuple[str, str],
    method: str = "POST",
    target: str = PATH,
    body: bytes = b"",
) -> Response:
    return await HttpClient(5.0).request(
        method, "127.0.0.1", harness.port, target, headers=list(headers), body=body
    )


async def send_raw(harness: Any, data: bytes) -> Response:
    stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
    await stream.send_all(data)
    received = b"".join([chunk async for chunk in stream])
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = [(n.lower(), v.strip()) for n, _, v in (x.partition(b":") for x in lines)]
    return Response(int(first.split()[1]), headers, body)


Trigger = Callable[[Any], Awaitable[Response]]


def with_headers(*headers: tuple[str, str], target: str = PATH) -> Trigger:
    return lambda harness: call(harness, *headers, target=target)


def refused_by_dispatch(error: TeaseldykeError) -> Trigger:
    async def trigger(harness: Any) -> Response:
        async def step() -> None:
            raise error

        harness.dispatching.steps = [step]
        return await call(harness, AUTHORIZATION, KEY)

    return trigger


async def too_many_connections(harness: Any) -> Response:
    waiting = harness.dispatching.steps = [trio.sleep_forever] * 4
    async with trio.open_nursery() as nursery:
        for number in range(4):
            key = ("idempotency-key", f"grant-{number}")
            nursery.start_soon(call, harness, AUTHORIZATION, key)
        with trio.fail_after(5):
            while waiting:
                await trio.sleep(0.01)
        answer = await call(harness, AUTHORIZATION)
        nursery.cancel_scope.cancel()
    return answer


async def configuration_missing(harness: Any) -> Response:
    harness.configuration = None
    return await call(harness, AUTHORIZATION)


async def deadline_passed(harness: Any) -> Response:
    harness.dispatching.steps = [lambda: trio.sleep(0.1)]
    return await call(harness, AUTHORIZATION, ("request-timeout-s", "0.05"))


async def backend_unreachable(harness: Any) -> Response:
    harness.dispatching.port = 1
    return await call(harness, AUTHORIZATION, KEY)


async def key_reused(harness: Any) -> Response:
    await call(harness, AUTHORIZATION, KEY, body=b"1")
    harness.executed = 0
    return await call(harness, AUTHORIZATION, KEY, body=b"2")


async def start_on_other_router(harness: Any) -> tuple[Any, Started]:
    records = await harness.start_records("router-2")
    fingerprint = fingerprint_of("POST", "/grants", [], b"", service="licensing")
    started = await records.begin("parish", KEY[1], fingerprint, service="licensing")
    assert isinstance(started, Started)
    return records, started


async def attempt_lapsed(harness: Any) -> Response:
    async def wait_past_lease() -> None:
        harness.table.faults.down = True
        await trio.sleep(0.3)

    harness.dispatching.steps = [wait_past_lease]
    return await call(harness, AUTHORIZATION, KEY)


async def attempt_running(harness: Any) -> Response:
    await start_on_other_router(harness)
    return await call(harness, AUTHORIZATION, KEY)


async def outcome_unknown(harness: Any) -> Response:
    records, started = await start_on_other_router(harness)
    await records.mark_unknown(started.attempt)
    await records.drained()
    return await call(harness, AUTHORIZATION, KEY)


async def record_unavailable(harness: Any) -> Response:
    records, started = await start_on_other_router(harness)
    await records.finish(started.attempt, StoredOutcome(201))
    await records.drained()
    harness.table.faults.down = True
    return await call(harness, AUTHORIZATION, KEY)


async def outcome_uncertain(harness: Any) -> Response:
    harness.aborts = True
    return await call(harness, AUTHORIZATION, KEY)


async def internal(harness: Any) -> Response:
    async def fail() -> None:
        raise ValueError("a fault of the router")

    harness.dispatching.steps = [fail]
    return await call(harness, AUTHORIZATION)


TRIGGERS: dict[str, Trigger] = {
    "malformed_request": lambda harness: send_raw(harness, b"no request\r\n\r\n"),
    "header_too_large": with_headers(("x", "y" * 2000)),
    "request_timed_out": lambda harness: send_raw(harness, b"POST / HTTP/1.1\r\n"),
    "body_too_large": lambda harness: call(harness, AUTHORIZATION, body=b"x" * 2000),
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
@pytest.mark.parametrize("code", sorted(DOCUMENTED_ERRORS))
async def test_error_matches_its_documentation(code: str, harness: Any) -> None:
    row = DOCUMENTED_ERRORS[code]
    response = await TRIGGERS[code](harness)
    problem = response.json()
    found = ErrorResponse(
        problem["code"],
        response.status,
        problem["executed"],
        response.header("retry-after") is not None,
    )
    assert found == row
    assert response.header("content-type") == "application/problem+json"
    if row.executed == "no":
        assert harness.executed == 0


def test_documentation_lists_every_error() -> None:
    assert set(DOCUMENTED_ERRORS) == set(TRIGGERS)
