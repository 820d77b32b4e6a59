from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.http import HttpClient, Response

HEADERS = [("authorization", "Bearer k"), ("idempotency-key", "grant-7")]


async def _grant(harness: Any) -> Response:
    return await HttpClient(5.0).request(
        "POST", "127.0.0.1", harness.port, "/services/fenced/grants", headers=HEADERS
    )


@pytest.mark.promise("at-most-once")
async def test_request_with_an_old_fencing_number_is_resent_with_a_newer_one(
    harness: Any,
) -> None:
    harness.fencing_refusals = 1
    response = await _grant(harness)
    assert (response.status, response.body) == (201, b"grant")
    assert harness.executed == 1


@pytest.mark.promise("true-refusal")
async def test_key_is_reusable_after_every_fencing_number_was_refused(
    harness: Any,
) -> None:
    harness.fencing_refusals = 100
    response = await _grant(harness)
    assert response.json()["executed"] == "no"
    assert harness.executed == 0
    await harness.records.drained()
    harness.fencing_refusals = 0
    response = await _grant(harness)
    assert (response.status, response.body) == (201, b"grant")
    assert harness.executed == 1
