"""Cost of a request: estimated from its body, measured from its response."""

from __future__ import annotations

import json
from typing import Any

import attrs

from teaseldyke.types import Service

PROMPT_TOKEN_COST = 0.5
OUTPUT_TOKEN_COST = 1.0
PLAIN_REQUEST_COST = 1.0
DEFAULT_OUTPUT_TOKENS = 128
OUTPUT_TOKENS_MAX = 1_000_000  # larger values of max_tokens are clamped to this
BYTES_PER_TOKEN = 4
USAGE_TOKENS_MAX = 1_000_000_000  # a usage object with a larger count is ignored
TAIL_BYTES = 4096  # the usage object is at the end of a response

_decoder = json.JSONDecoder()


def token_cost(prompt_tokens: float, output_tokens: float) -> float:
    """Return the cost of a request in output tokens.

    Examples
    --------
    >>> token_cost(100, 20)
    70.0
    """
    return PROMPT_TOKEN_COST * prompt_tokens + OUTPUT_TOKEN_COST * output_tokens


@attrs.frozen
class CostEstimate:
    """Cost estimated before a request is executed.

    Parameters
    ----------
    cost : float
        Expected cost, in output tokens or in requests.
    prompt_cost : float
        Portion of `cost` that is due to the prompt.
    """

    cost: float
    prompt_cost: float = 0.0


def estimate_of(service: Service, body: bytes) -> CostEstimate:
    """Return the cost estimate from a request's body.

    Prompt tokens are estimated from the size of the body, output tokens are those of
    ``max_tokens`` or `DEFAULT_OUTPUT_TOKENS`. A plain service costs one request.

    Examples
    --------
    >>> engine = Service("language-model", "engine", limit=8)
    >>> estimate_of(engine, b'{"max_tokens": 10, "messages": []}').cost
    14.0
    >>> estimate_of(Service("ledger", "plain", limit=8), b"").cost
    1.0
    """
    if service.kind == "plain":
        return CostEstimate(PLAIN_REQUEST_COST)
    prompt_cost = token_cost(len(body) / BYTES_PER_TOKEN, 0)
    output_tokens = DEFAULT_OUTPUT_TOKENS
    fields = _fields_of(body)
    requested = fields.get("max_tokens")
    if isinstance(requested, int) and requested > 0:
        output_tokens = min(requested, OUTPUT_TOKENS_MAX)
    cost = float(int(prompt_cost) + token_cost(0, output_tokens))
    return CostEstimate(cost, prompt_cost)


def _fields_of(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


@attrs.define
class CostMeter:
    """Measures the actual cost of a request from its response.

    Parameters
    ----------
    service : Service
        Service that executes the request.
    estimate : CostEstimate
        Estimate of the request's cost.
    """

    service: Service
    estimate: CostEstimate
    _events: int = 0
    _tail: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Process the next bytes of the response body."""
        if self.service.kind == "plain":
            return
        self._events += chunk.count(b"\ndata:") + chunk.startswith(b"data:")
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    @property
    def cost_so_far(self) -> float:
        """Cost of the response received so far, in output tokens or requests."""
        if self.service.kind == "plain":
            return PLAIN_REQUEST_COST
        return self.estimate.prompt_cost + token_cost(0, self._events)

    def final_cost(self) -> float:
        """Return the cost from the response's ``usage`` object, or the cost so far."""
        if self.service.kind == "plain":
            return PLAIN_REQUEST_COST
        usage = _usage_in(self._tail)
        if usage is None:
            return self.cost_so_far
        return token_cost(usage[0], usage[1])


def _usage_in(tail: bytes) -> tuple[int, int] | None:
    at = tail.rfind(b'"usage"')
    brace = tail.find(b"{", at)
    if at < 0 or brace < 0:
        return None
    try:
        usage, _ = _decoder.raw_decode(tail[brace:].decode(errors="replace"))
    except (ValueError, RecursionError):
        return None
    prompt_tokens = usage.get("prompt_tokens")
    output_tokens = usage.get("completion_tokens")
    if not isinstance(prompt_tokens, int) or not isinstance(output_tokens, int):
        return None
    if min(prompt_tokens, output_tokens) < 0:
        return None
    if max(prompt_tokens, output_tokens) > USAGE_TOKENS_MAX:
        return None
    return prompt_tokens, output_tokens
