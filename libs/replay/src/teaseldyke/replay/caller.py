"""Callers of a trace, which send each arrival as a request to a router."""

from __future__ import annotations

import json
from typing import Any

import attrs
import trio

from teaseldyke.http import BackendPool, ConnectFailed, Exchange, ExchangeBroken
from teaseldyke.router import PROMPT_TOKEN_COST
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError

from .requests import build_body, full_cost, is_own_answer
from .results import Attempt, CallResult
from .trace import Arrival

FIRST_BYTE_TIMEOUT_S = 120.0
IDLE_TIMEOUT_S = 60.0
RETRY_AFTER_MAX_S = 5.0  # upper bound of the backoff before a retry
REQUEST_ID_HEADER = "Teaseldyke-Request-Id"


@attrs.define
class Callers:
    """Sends arrivals to routers as the applications of their organisations would.

    Parameters
    ----------
    routers : list of Address
        Addresses at which the routers serve callers.
    keys : dict of str to str
        API key of each organisation.
    retries : int
        Number of retries of a request without success, each at the next router.
    started_at_s : float
        Start of the replay on trio's clock.
    pool : BackendPool
        Pool of connections to the routers.
    """

    routers: list[Address]
    keys: dict[str, str]
    retries: int
    started_at_s: float
    pool: BackendPool = attrs.field(factory=BackendPool)

    async def call(self, arrival: Arrival, number: int) -> CallResult:
        """Send an arrival, with retries, until it succeeds or must not be retried."""
        result = CallResult(arrival, self._now_s())
        body = build_body(arrival, number)
        for i in range(self.retries + 1):
            if i > 0:
                await trio.sleep(_backoff_s(result.final))
            attempt = await self._attempt(arrival, body, i, result)
            result.attempts.append(attempt)
            result.total_s = self._now_s() - result.sent_at_s
            if not _should_retry(arrival, attempt):
                break
        return result

    async def _attempt(
        self, arrival: Arrival, body: bytes, retry: int, result: CallResult
    ) -> Attempt:
        """Send once; like a load balancer, skip routers that accept no connection."""
        attempt = Attempt(0, "connect_failed", "no")
        for i in range(len(self.routers)):
            router = self.routers[(arrival.router + retry + i) % len(self.routers)]
            try:
                return await self._exchange(arrival, body, router, result)
            except ConnectFailed:
                continue
            except TeaseldykeError as exc:
                result.cut = isinstance(exc, ExchangeBroken) and _has_begun(result)
                return Attempt(0, exc.code)
        return attempt

    async def _exchange(
        self, arrival: Arrival, body: bytes, router: Address, result: CallResult
    ) -> Attempt:
        target = f"/services/{arrival.service}{arrival.path}"
        async with self.pool.exchange(
            router.host,
            router.port,
            arrival.method,
            target,
            self._headers(arrival),
            body,
            first_byte_timeout_s=FIRST_BYTE_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        ) as exchange:
            if not 200 <= exchange.status < 300:
                return _refused_attempt(exchange, await exchange.read())
            answer = await self._receive(arrival, exchange, result)
        result.own_answer = is_own_answer(arrival, body, answer)
        request_id = exchange.header(REQUEST_ID_HEADER) or ""
        return Attempt(exchange.status, "", "yes", request_id)

    async def _receive(
        self, arrival: Arrival, exchange: Exchange, result: CallResult
    ) -> bytes:
        """Read an answer and record its cost as it arrives."""
        parts: list[bytes] = []
        received_cost = 0.0
        async for chunk in exchange.chunks():
            now_s = self._now_s()
            if not parts:
                result.first_byte_s = now_s - result.sent_at_s
            parts.append(chunk)
            if not arrival.stream:
                continue
            cost = float(chunk.count(b'"content"'))
            if len(parts) == 1:
                cost += PROMPT_TOKEN_COST * arrival.prompt_tokens
            received_cost += cost
            result.record_cost(now_s, cost)
        result.record_cost(self._now_s(), max(0.0, full_cost(arrival) - received_cost))
        return b"".join(parts)

    def _headers(self, arrival: Arrival) -> list[tuple[bytes, bytes]]:
        key = self.keys.get(arrival.organisation, "")
        headers = [(b"authorization", f"Bearer {key}".encode())]
        if arrival.method != "GET":
            headers.append((b"content-type", b"application/json"))
        if arrival.idempotency_key:
            value = arrival.idempotency_key.encode()
            headers.append((b"idempotency-key", value))
        return headers

    def _now_s(self) -> float:
        return trio.current_time() - self.started_at_s


def _has_begun(result: CallResult) -> bool:
    return result.first_byte_s > 0 and not result.own_answer


def _should_retry(arrival: Arrival, attempt: Attempt) -> bool:
    """Return whether a retry is safe and may succeed."""
    if attempt.status and attempt.status not in (409, 429, 502, 503, 504):
        return False
    if attempt.executed == "no":
        return True
    return arrival.idempotent or bool(arrival.idempotency_key)


def _backoff_s(attempt: Attempt) -> float:
    return min(RETRY_AFTER_MAX_S, attempt.retry_after_s or 0.1)


def _refused_attempt(exchange: Exchange, body: bytes) -> Attempt:
    fields = _problem_fields(body)
    retry_after = exchange.header("Retry-After") or ""
    return Attempt(
        status=exchange.status,
        code=str(fields.get("code", "no_code")),
        executed="no" if fields.get("executed") == "no" else "unknown",
        request_id=exchange.header(REQUEST_ID_HEADER) or "",
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


def _problem_fields(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
