from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.http import HttpClient, Response

HEADERS = [("authorization", "Bearer k"), ("idempotency-key", "grant-7")]


async def _grant(exits: Any) -> Response:
    return await HttpClient(5.0).request(
        "POST", "127.0.0.1", exits.port, "/services/fenced/grants", headers=HEADERS
    )


@pytest.mark.promise("at-most-once")
async def test_refused_for_its_fencing_number_is_sent_under_a_newer_one(
    exits: Any,
) -> None:
    exits.fenced_off = 1
    response = await _grant(exits)
    assert (response.status, response.body) == (201, b"grant")
    assert exits.executed == 1


@pytest.mark.promise("true-refusal")
async def test_refused_for_good_leaves_the_key_free(exits: Any) -> None:
    exits.fenced_off = 100
    response = await _grant(exits)
    assert response.json()["executed"] == "no"
    assert exits.executed == 0
    await exits.records.drained()
    exits.fenced_off = 0
    response = await _grant(exits)
    assert (response.status, response.body) == (201, b"grant")
    assert exits.executed == 1
