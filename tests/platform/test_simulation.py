"""Requests of a simulated instance end as the rules allow (LOST, TWICE, REFUSED)."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest

from teaseldyke.gateway.calls import CallHandler
from teaseldyke.gateway.errors import ServerBroke
from teaseldyke.http import Request
from teaseldyke.types import Route
from tests.platform.simulation import describe, run_seed

SEEDS = [
    2,
    5,
    12,
    17,  # on 1e41967 a server's 429 after a run was passed on (REFUSED)
    20014,  # another process listened at the port of a crashed stand-in
]
PLANTED_SEED = 5
FAILING = {"sound": 1.0, "break": 1.0, "fail": 1.0, "refuse": 1.0}


@pytest.mark.parametrize("seed", SEEDS)
def test_every_request_ends_as_the_rules_allow(seed: int) -> None:
    seen, findings = run_seed(seed)
    assert [describe(seen, finding) for finding in findings] == []
    assert seen.ends["complete 200"] > 0


async def end_without_an_answer(
    _handler: CallHandler, request: Request, *_: object
) -> None:
    await request.abort()


class TestPlantedFault:
    """The checks see a fault that is put into the product."""

    @pytest.mark.parametrize(
        ("kind", "owner", "name", "value"),
        [
            ("LOST", CallHandler, "_refuse", end_without_an_answer),
            ("TWICE", Route, "repeatable", True),
            ("REFUSED", ServerBroke, "status", 503),
        ],
        ids=["no-answer", "repeated", "refused-after-a-run"],
    )
    def test_is_found(self, kind: str, owner: Any, name: str, value: Any) -> None:
        with mock.patch.object(owner, name, value):
            _, findings = run_seed(PLANTED_SEED, FAILING)
        assert kind in {finding.kind for finding in findings}
