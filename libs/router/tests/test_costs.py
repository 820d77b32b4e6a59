from __future__ import annotations

import json

import pytest

from teaseldyke.router.costs import (
    DEFAULT_OUTPUT_TOKENS,
    OUTPUT_TOKENS_MAX,
    CostEstimate,
    CostMeter,
    estimate_of,
)
from teaseldyke.types import Service

ENGINE = Service("language-model", "engine", 8)
USAGE = {"prompt_tokens": 20, "completion_tokens": 7}


def _event(value: object) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


@pytest.mark.parametrize(
    ("chunks", "cost"),
    [
        pytest.param([json.dumps({"usage": USAGE}).encode()], 17.0, id="whole"),
        pytest.param([_event({}), _event({"usage": USAGE})], 17.0, id="stream"),
        pytest.param([_event({}), _event({})], 5.0 + 2.0, id="no-usage"),
        pytest.param([b'"usage": {"prompt_tokens": "x"}'], 5.0, id="malformed"),
        pytest.param([b'"usage": {"prompt_tokens": -9'], 5.0, id="cut"),
        pytest.param(
            [b'"usage": {"prompt_tokens": 1, "completion_tokens": 1%s}' % (b"0" * 400)],
            5.0,
            id="huge",
        ),
    ],
)
def test_final_cost(chunks: list[bytes], cost: float) -> None:
    meter = CostMeter(ENGINE, CostEstimate(100.0, prompt_cost=5.0))
    for chunk in chunks:
        meter.feed(chunk)
    assert meter.final_cost() == cost


@pytest.mark.parametrize(
    ("body", "output_tokens"),
    [
        pytest.param(b"[" * 100_000, DEFAULT_OUTPUT_TOKENS, id="deep"),
        pytest.param(b"[1]", DEFAULT_OUTPUT_TOKENS, id="no-object"),
        pytest.param(b'{"max_tokens": -5}', DEFAULT_OUTPUT_TOKENS, id="negative"),
        pytest.param(
            b'{"max_tokens": 1' + b"0" * 400 + b"}", OUTPUT_TOKENS_MAX, id="huge"
        ),
    ],
)
def test_hint_of_a_hostile_body_is_bounded(body: bytes, output_tokens: int) -> None:
    estimate = estimate_of(ENGINE, body)
    assert estimate.cost == int(estimate.prompt_cost) + output_tokens
