from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.replay import (
    Arrival,
    Attempt,
    Bound,
    CallResult,
    Execution,
    Expectations,
    Harms,
    ReplayResult,
    count_harms,
)
from teaseldyke.settings import parse_settings
from teaseldyke.types import SettingsError

OK = Attempt(200, "", "yes", "id1")
REFUSED = Attempt(429, "queue_full", "no", "id1")
UNKNOWN = Attempt(502, "outcome_uncertain", "unknown", "id1")


def _result(organisation: str, *attempts: Attempt, **fields: Any) -> CallResult:
    arrival = Arrival(
        fields.pop("at_s", 0.0),
        organisation,
        "licensing",
        idempotency_key=fields.pop("key", ""),
        idempotent=fields.pop("idempotent", True),
    )
    return CallResult(arrival, 0.0, attempts=list(attempts), **fields)


RESULTS = [
    _result("large", OK, own_answer=True, first_byte_s=1.0, cost_by_second={3: 6.0}),
    _result("large", REFUSED, at_s=9.0),
    _result("parish-1", OK, own_answer=False, first_byte_s=3.0, cost_by_second={5: 2}),
    _result("parish-1", UNKNOWN, cut=True),
]


@pytest.mark.parametrize(
    ("bound", "value", "holds"),
    [
        (Bound("requests", max=4), 4, True),
        (Bound("answered", organisation="parish-*", min=2), 1, False),
        (Bound("answered_part", max=0.5), 0.5, True),
        (Bound("refused", code="queue_*", max=0), 1, False),
        (Bound("refused", code="queue_*", to_s=9, max=0), 0, True),
        (Bound("waiting_p99_s", max=2), 3.0, False),
        (Bound("waiting_p50_s", organisation="large", max=2), 1.0, True),
        (Bound("cost", from_s=4, min=2), 2.0, True),
        (Bound("cost_part", organisation="large", min=0.8), 0.75, False),
        (Bound("crossed", max=0), 1, False),
        (Bound("cut", max=0), 1, False),
        (Bound("unknown", max=1), 1, True),
        (Bound("doubled", max=0), 2, False),
        (Bound("waiting_p99_s", organisation="none", max=9), None, False),
    ],
)
def test_bound(bound: Bound, value: float | None, holds: bool) -> None:
    result = bound.check(ReplayResult(RESULTS, Harms(2, 0, 0)))
    assert (result.value, result.holds) == (value, holds)


def test_bound_on_unmeasured_harms_does_not_hold() -> None:
    assert not Bound("doubled", max=0).check(ReplayResult(RESULTS)).holds


@pytest.mark.parametrize(
    ("attempts", "fields", "executions", "harms"),
    [
        ([OK], {}, [("id1", 2, "")], Harms(0, 0, 0)),
        ([OK], {"idempotent": False}, [("id1", 1, "")], Harms(0, 0, 0)),
        ([OK], {"idempotent": False}, [("id1", 2, "")], Harms(1, 0, 0)),
        ([OK], {"idempotent": False}, [], Harms(0, 0, 1)),
        ([REFUSED], {}, [("id1-1", 1, "")], Harms(0, 1, 0)),
        ([REFUSED], {}, [("id2", 1, "")], Harms(0, 0, 0)),
        ([UNKNOWN], {"idempotent": False}, [("id1", 1, "")], Harms(0, 0, 0)),
        (
            [UNKNOWN, OK],
            {"idempotent": False, "key": "k"},
            [("id1", 1, "k"), ("id9", 1, "k")],
            Harms(1, 0, 0),
        ),
    ],
)
def test_harms(
    attempts: list[Attempt],
    fields: dict[str, Any],
    executions: list[tuple[str, int, str]],
    harms: Harms,
) -> None:
    counted = [
        Execution(request_id, count, "a", key) for request_id, count, key in executions
    ]
    assert count_harms([_result("a", *attempts, **fields)], counted) == harms


@pytest.mark.parametrize(
    "text",
    ["bounds: [{measure: doubled}]", "bounds: [{measure: fame, max: 1}]", "a: 1"],
)
def test_bad_outcomes_file(text: str) -> None:
    with pytest.raises(SettingsError):
        parse_settings(text, Expectations)
