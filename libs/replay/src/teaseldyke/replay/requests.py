"""Request bodies generated for the arrivals of a trace, and checks of the answers."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from teaseldyke.router import PROMPT_TOKEN_COST
from teaseldyke.standins import Generation

from .trace import Arrival

SHARED_PREFIX_RATIO = 0.5  # part of a prompt shared within an organisation
PLAIN_REQUEST_COST = 1.0


def build_body(arrival: Arrival, number: int) -> bytes:
    """Generate the body of a request; ``number`` makes its prompt unique."""
    if arrival.method == "GET":
        return b""
    if not arrival.output_tokens:
        value: dict[str, Any] = {"holder": arrival.organisation, "number": number}
        return json.dumps(value).encode()
    shared_tokens = int(arrival.prompt_tokens * SHARED_PREFIX_RATIO)
    own_tokens = max(1, arrival.prompt_tokens - shared_tokens)
    shared = f"{arrival.organisation} " * shared_tokens
    own = f"request-{number} " * own_tokens
    value = {
        "messages": [
            {"role": "system", "content": shared},
            {"role": "user", "content": own},
        ],
        "stream": arrival.stream,
        "max_tokens": arrival.max_tokens or arrival.output_tokens,
        "metadata": {"output_tokens": str(arrival.output_tokens)},
    }
    return json.dumps(value).encode()


def full_cost(arrival: Arrival) -> float:
    """Return the cost of a complete answer.

    Examples
    --------
    >>> full_cost(Arrival(0.0, "a", "s", prompt_tokens=100, output_tokens=20))
    70.0
    """
    if not arrival.output_tokens:
        return PLAIN_REQUEST_COST
    return PROMPT_TOKEN_COST * arrival.prompt_tokens + arrival.output_tokens


def is_own_answer(arrival: Arrival, request_body: bytes, answer: bytes) -> bool:
    """Return whether an answer is complete and belongs to the request."""
    try:
        if not arrival.output_tokens:
            return _is_own_plain(arrival, request_body, json.loads(answer))
        text = _streamed_text(answer) if arrival.stream else _unstreamed_text(answer)
    except (ValueError, KeyError, IndexError, TypeError):
        return False
    return text == Generation.parse(request_body).text()


def _is_own_plain(arrival: Arrival, request_body: bytes, value: Any) -> bool:
    if value["request"] != f"{arrival.method} {arrival.path}":
        return False
    expected = hashlib.sha256(request_body).hexdigest()
    return bool(value["body_sha256"] == expected)


def _unstreamed_text(answer: bytes) -> Any:
    return json.loads(answer)["choices"][0]["message"]["content"]


def _streamed_text(answer: bytes) -> str:
    events = answer.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        raise ValueError("the stream does not end with [DONE]")
    parts = []
    for event in events[:-2]:
        choices = json.loads(event.removeprefix("data: "))["choices"]
        if choices:
            parts.append(choices[0]["delta"].get("content", ""))
    return "".join(parts)
