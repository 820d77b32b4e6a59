from __future__ import annotations

from typing import Any

import attrs
import pytest

from teaseldyke.http import HttpClient, Response

HEADERS = [("authorization", "Bearer k"), ("idempotency-key", "grant-7")]


async def _grant(harness: Any) -> Response:
    return await HttpClient(5.0).request(
        "POST", "127.0.0.1", harness.port, "/services/licensing/grants", headers=HEADERS
    )


def _no_configuration(harness: Any) -> None:
    harness.configuration = None


def _disabled(harness: Any) -> None:
    before = harness.configuration
    parish = attrs.evolve(before.organisations["parish"], disabled=True)
    organisations = {**before.organisations, "parish": parish}
    harness.configuration = attrs.evolve(before, organisations=organisations)


@pytest.mark.promise("true-refusal")
@pytest.mark.parametrize("change", [_no_configuration, _disabled])
async def test_retry_of_an_executed_request_reports_unknown(
    change: Any, harness: Any
) -> None:
    harness.aborts = True
    first = await _grant(harness)
    assert (harness.executed, first.json()["executed"]) == (1, "unknown")
    change(harness)
    again = await _grant(harness)
    assert again.json()["executed"] == "unknown"
