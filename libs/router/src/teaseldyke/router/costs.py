"""What a request costs: a hint before it runs, the real cost from its answer."""

from __future__ import annotations

import json
from typing import Any

import attrs

from teaseldyke.types import Service

PROMPT_TOKEN_COST = 0.5
OUTPUT_TOKEN_COST = 1.0
PLAIN_REQUEST_COST = 1.0
DEFAULT_OUTPUT_TOKENS = 128
OUTPUT_TOKENS_MAX = 1_000_000  # a larger hint is taken for this
BYTES_PER_TOKEN = 4
USAGE_TOKENS_MAX = 1_000_000_000  # more is not believed
TAIL_BYTES = 4096  # the usage object stands within the last bytes of an answer

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
class CostHint:
    """Cost known before a request runs.

    Parameters
    ----------
    cost : float
        Expected cost, in output tokens or in requests.
    prompt_cost : float
        Part of it that is due to the prompt.
    """

    cost: float
    prompt_cost: float = 0.0


def hint_of(service: Service, body: bytes) -> CostHint:
    """Return the hint that a request's own body gives.

    Examples
    --------
    >>> engine = Service("language-model", "engine", limit=8)
    >>> hint_of(engine, b'{"max_tokens": 10, "messages": []}').cost
    14.0
    >>> hint_of(Service("ledger", "plain", limit=8), b"").cost
    1.0
    """
    if service.kind == "plain":
        return CostHint(PLAIN_REQUEST_COST)
    prompt_cost = token_cost(len(body) / BYTES_PER_TOKEN, 0)
    output_tokens = DEFAULT_OUTPUT_TOKENS
    fields = _fields_of(body)
    asked = fields.get("max_tokens")
    if isinstance(asked, int) and asked > 0:
        output_tokens = min(asked, OUTPUT_TOKENS_MAX)
    cost = float(int(prompt_cost) + token_cost(0, output_tokens))
    return CostHint(cost, prompt_cost)


def _fields_of(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


@attrs.define
class CostMeter:
    """Measures the real cost of one answer while it passes.

    Parameters
    ----------
    service : Service
        Service that gives the answer.
    hint : CostHint
        Hint of the request.
    """

    service: Service
    hint: CostHint
    _events: int = 0
    _tail: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the answer's body."""
        if self.service.kind == "plain":
            return
        self._events += chunk.count(b"\ndata:") + chunk.startswith(b"data:")
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    @property
    def cost_so_far(self) -> float:
        """Cost of what has passed, in the units of the service."""
        if self.service.kind == "plain":
            return PLAIN_REQUEST_COST
        return self.hint.prompt_cost + token_cost(0, self._events)

    def final_cost(self) -> float:
        """Return the cost that the answer's ``usage`` states, or the cost so far."""
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
