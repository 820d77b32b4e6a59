from __future__ import annotations

import json

import pytest

from teaseldyke.router.costs import CostHint, CostMeter
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
        pytest.param([b'"usage": {"prompt_tokens": "x"}'], 5.0, id="rubbish"),
        pytest.param([b'"usage": {"prompt_tokens": -9'], 5.0, id="cut"),
    ],
)
def test_final_cost(chunks: list[bytes], cost: float) -> None:
    meter = CostMeter(ENGINE, CostHint(100.0, prompt_cost=5.0))
    for chunk in chunks:
        meter.feed(chunk)
    assert meter.final_cost() == cost
