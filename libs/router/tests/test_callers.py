from __future__ import annotations

import json
from typing import Any

import pytest
import trio

from teaseldyke.dispatch import Completion
from teaseldyke.http import ExchangeBroken, HttpClient, Request, Response
from teaseldyke.outcomes import AttemptLapsed, OutcomeRecords

AUTHORIZATION = (b"authorization", b"Bearer k9")
EVENTS = [f"data: {i}\n\n".encode() for i in range(6)]
DONE = b"data: [DONE]\n\n"


async def _call(
    bench: Any, method: str, target: str, *headers: tuple[bytes, bytes]
) -> Response:
    return await HttpClient(timeout_s=5.0).request(
        method, "127.0.0.1", bench.port, target, headers=list(headers)
    )


async def _ok(request: Request) -> None:
    await request.respond(200, b"done")


async def _crossed(request: Request) -> None:
    await request.respond(200, b"other", [(b"x-request-id", b"someone-else")])


async def _truncated(request: Request) -> None:
    await request.start_response(200, [(b"content-length", b"10")])
    await request.send(b"half")
    await request.abort()


async def _failing(request: Request) -> None:
    await request.respond(500, b"failed")


async def _stream(request: Request) -> None:
    offset = int(request.header("resume-offset") or 0)
    headers = [(b"content-type", b"text/event-stream")]
    if offset:
        headers.append((b"resume-offset", str(offset).encode()))
    await request.start_response(200, headers)
    await request.send(b"".join(EVENTS[offset:]) + DONE)
    await request.finish()


async def _broken_stream(request: Request) -> None:
    await request.start_response(200, [(b"content-type", b"text/event-stream")])
    await request.send(b"".join(EVENTS[:3]) + EVENTS[3][:4])
    await request.abort()


async def _stream_from_start(request: Request) -> None:
    await request.start_response(200, [(b"content-type", b"text/event-stream")])
    await request.send(b"".join(EVENTS) + DONE)
    await request.finish()


@pytest.mark.promise("true-refusal")
class TestRefusals:
    @pytest.mark.parametrize(
        ("method", "target", "headers", "status", "code"),
        [
            pytest.param("GET", "/services/licensing/s", [], 401, "key_missing"),
            pytest.param(
                "GET",
                "/services/licensing/s",
                [(b"authorization", b"Bearer wrong")],
                401,
                "key_unknown",
            ),
            pytest.param(
                "GET",
                "/services/licensing/s",
                [(b"authorization", b"Bearer off")],
                403,
                "organisation_disabled",
            ),
            pytest.param(
                "GET", "/services/none/s", [AUTHORIZATION], 404, "service_unknown"
            ),
            pytest.param("GET", "/other", [AUTHORIZATION], 404, "service_unknown"),
            pytest.param(
                "GET",
                "/services/ledger/s",
                [AUTHORIZATION],
                403,
                "service_not_granted",
            ),
            pytest.param(
                "GET",
                "/services/licensing/s",
                [AUTHORIZATION, (b"request-timeout-s", b"-1")],
                400,
                "header_invalid",
            ),
            pytest.param(
                "POST",
                "/services/licensing/s",
                [AUTHORIZATION, (b"idempotency-key", b"k" * 300)],
                400,
                "header_invalid",
            ),
        ],
    )
    async def test_refusal_is_a_problem_marked_not_executed(
        self,
        bench: Any,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        status: int,
        code: str,
    ) -> None:
        response = await _call(bench, method, target, *headers)
        problem = json.loads(response.body)
        assert (response.status, problem["code"]) == (status, code)
        assert problem["executed"] == "no"
        assert bench.dispatching.completions == []

    async def test_nothing_sent_means_not_executed(self, bench: Any) -> None:
        bench.add_address("gone", 1)
        response = await _call(bench, "POST", "/services/licensing/s", AUTHORIZATION)
        assert response.status == 502
        assert response.json()["executed"] == "no"

    async def test_sent_and_broken_means_unknown(self, bench: Any) -> None:
        await bench.add_server("a", _truncated)
        response = await _call(bench, "POST", "/services/licensing/s", AUTHORIZATION)
        assert response.status == 502
        assert response.json()["executed"] == "unknown"


@pytest.mark.promise("whole-answer")
class TestCompleteResponse:
    @pytest.mark.parametrize("first", [_crossed, _truncated, _failing])
    async def test_idempotent_call_is_retried_elsewhere(
        self, bench: Any, first: Any
    ) -> None:
        await bench.add_server("a", first)
        await bench.add_server("b", _ok)
        response = await _call(bench, "GET", "/services/licensing/s", AUTHORIZATION)
        assert (response.status, response.body) == (200, b"done")
        assert bench.dispatching.completions == [
            ("a", Completion.FAILED),
            ("b", Completion.OK),
        ]

    async def test_lapsed_permit_is_replaced(self, bench: Any) -> None:
        await bench.add_server("a", _ok)
        bench.dispatching.lapses = 1
        response = await _call(bench, "POST", "/services/licensing/s", AUTHORIZATION)
        assert response.status == 200
        assert bench.dispatching.completions == [
            ("a", Completion.UNUSED),
            ("a", Completion.OK),
        ]

    async def test_stream_resumes_elsewhere(self, bench: Any) -> None:
        await bench.add_server("a", _broken_stream)
        await bench.add_server("b", _stream)
        target = "/services/language-model/v1/chat/completions"
        response = await _call(bench, "POST", target, AUTHORIZATION)
        assert response.body == b"".join(EVENTS) + DONE

    async def test_stream_that_restarts_is_aborted(self, bench: Any) -> None:
        await bench.add_server("a", _broken_stream)
        await bench.add_server("b", _stream_from_start)
        target = "/services/language-model/v1/chat/completions"
        with pytest.raises(ExchangeBroken):
            await _call(bench, "POST", target, AUTHORIZATION)


@pytest.mark.promise("at-most-once")
class TestAtMostOnce:
    async def test_repeated_key_gets_the_stored_response(self, bench: Any) -> None:
        runs = []

        async def grant(request: Request) -> None:
            runs.append(request.id)
            await request.respond(201, b"grant 7")

        await bench.add_server("a", grant)
        key = (b"idempotency-key", b"grant-7")
        target = "/services/licensing/grants"
        first = await _call(bench, "POST", target, AUTHORIZATION, key)
        await bench.records.drained()
        second = await _call(bench, "POST", target, AUTHORIZATION, key)
        assert (first.status, first.body) == (second.status, second.body)
        assert len(runs) == 1
        assert (b"idempotency-replayed", b"true") in second.headers

    async def test_broken_response_stays_unknown(self, bench: Any) -> None:
        await bench.add_server("a", _truncated)
        await bench.add_server("b", _ok)
        key = (b"idempotency-key", b"grant-8")
        target = "/services/licensing/grants"
        first = await _call(bench, "POST", target, AUTHORIZATION, key)
        await bench.records.drained()
        second = await _call(bench, "POST", target, AUTHORIZATION, key)
        assert first.json()["executed"] == "unknown"
        assert second.json()["executed"] == "unknown"
        assert [name for name, _ in bench.dispatching.completions] == ["a"]

    async def test_caller_disconnect_does_not_cancel_it(self, bench: Any) -> None:
        reached = trio.Event()
        proceed = trio.Event()

        async def slow(request: Request) -> None:
            reached.set()
            await proceed.wait()
            await request.respond(201, b"grant 9")

        await bench.add_server("a", slow)
        key = (b"idempotency-key", b"grant-9")
        target = "/services/licensing/grants"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, bench, "POST", target, AUTHORIZATION, key)
            await reached.wait()
            nursery.cancel_scope.cancel()
        proceed.set()
        while bench.handler.running:
            await trio.sleep(0.001)
        await bench.records.drained()
        again = await _call(bench, "POST", target, AUTHORIZATION, key)
        assert again.body == b"grant 9"

    async def test_lapsed_record_is_not_a_backend_server_failure(
        self, bench: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def lapse(records: object, attempt: object) -> None:
            raise AttemptLapsed("test", retry_after_s=0.0)

        await bench.add_server("a", _ok)
        monkeypatch.setattr(OutcomeRecords, "mark_sending", lapse)
        key = (b"idempotency-key", b"grant-10")
        target = "/services/licensing/grants"
        response = await _call(bench, "POST", target, AUTHORIZATION, key)
        assert response.json()["code"] == "attempt_lapsed"
        assert bench.dispatching.completions == [("a", Completion.UNUSED)]
