from __future__ import annotations

from typing import Any

import attrs
import pytest

from teaseldyke.http import HttpClient, Response

HEADERS = [("authorization", "Bearer k"), ("idempotency-key", "grant-7")]


async def _grant(exits: Any) -> Response:
    return await HttpClient(5.0).request(
        "POST", "127.0.0.1", exits.port, "/services/licensing/grants", headers=HEADERS
    )


def _no_configuration(exits: Any) -> None:
    exits.configuration = None


def _disabled(exits: Any) -> None:
    before = exits.configuration
    parish = attrs.evolve(before.organisations["parish"], disabled=True)
    organisations = {**before.organisations, "parish": parish}
    exits.configuration = attrs.evolve(before, organisations=organisations)


@pytest.mark.promise("true-refusal")
@pytest.mark.parametrize("change", [_no_configuration, _disabled])
async def test_repetition_of_an_executed_request_is_not_told_no(
    change: Any, exits: Any
) -> None:
    exits.broken = True
    first = await _grant(exits)
    assert (exits.executed, first.json()["executed"]) == (1, "unknown")
    change(exits)
    again = await _grant(exits)
    assert again.json()["executed"] == "unknown"
