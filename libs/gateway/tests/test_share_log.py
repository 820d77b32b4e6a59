from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.gateway import share_log as module
from teaseldyke.gateway.share_log import ShareLog
from teaseldyke.placement import (
    ColdRateLimit,
    FairShares,
    Load,
    ServerState,
    Work,
)
from teaseldyke.types import AnnouncedServer


def work(organisation: str, tokens: int = 100) -> Work:
    return Work(organisation, 0.0, 1.0, 1.0, 1.0, prompt_tokens=tokens)


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    written: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        written.append({"event": event, **fields})

    monkeypatch.setattr(module, "log_decision", log)
    return written


def test_line_reports_tokens_requested_sent_refused_and_queued(
    lines: list[dict[str, Any]],
) -> None:
    fair_shares = FairShares(tokens_per_s=10.0)
    fair_shares.peer_queued = {"small": 70.0}
    log = ShareLog(fair_shares)
    for _ in range(3):
        log.record_arrival(work("small"))
    log.record_send(work("small"), 0.0)
    log.record_refusal(work("small"), 0.0)
    log.record_miss("engines full")
    log.report([], {"small": 100.0}, 0.0)
    (line,) = lines
    assert line["event"] == "shares"
    assert line["misses"] == {"engines full": 1}
    (organisation,) = line["organisations"]
    assert organisation["name"] == "small"
    assert organisation["asked_tokens"] == 300
    assert organisation["sent_tokens"] == 100
    assert organisation["refused_tokens"] == 100
    assert organisation["waiting_tokens"] == 100
    assert organisation["waiting_elsewhere_tokens"] == 70


@pytest.mark.parametrize(
    ("refused", "waiting", "expected"),
    [(False, {}, 0), (True, {}, 1), (False, {"small": 1.0}, 1)],
    ids=["all-served", "refused", "queued"],
)
def test_line_is_written_only_if_requests_are_refused_or_queued(
    refused: bool,
    waiting: dict[str, float],
    expected: int,
    lines: list[dict[str, Any]],
) -> None:
    log = ShareLog(FairShares())
    log.record_arrival(work("small"))
    log.record_send(work("small"), 0.0)
    if refused:
        log.record_refusal(work("small"), 0.0)
    log.report([], waiting, 0.0)
    assert len(lines) == expected


def test_line_is_bounded_to_those_with_most_unserved_tokens(
    lines: list[dict[str, Any]],
) -> None:
    log = ShareLog(FairShares())
    for number in range(100):
        log.record_refusal(work(f"o-{number}", 10 + number), 0.0)
    log.report([], {}, 0.0)
    names = [organisation["name"] for organisation in lines[0]["organisations"]]
    assert len(names) == module.ORGANISATIONS_MAX
    assert names[0] == "o-99"


@pytest.mark.parametrize(
    ("usage", "waiting", "expected"),
    [
        ({"small": 10.0, "large": 900.0}, {"small": 100.0}, 12.0),
        ({"small": 10.0, "large": 900.0}, {"large": 100.0}, 0.0),
        ({"small": 10.0, "large": 900.0}, {}, 0.0),
    ],
    ids=["below-its-share", "above-its-share", "nobody-waits"],
)
def test_free_places_count_while_an_organisation_below_its_share_waits(
    usage: dict[str, float],
    waiting: dict[str, float],
    expected: float,
    lines: list[dict[str, Any]],
) -> None:
    fair_shares = FairShares(tokens_per_s=100.0)
    fair_shares.peer_usage = usage
    fair_shares.recompute({"small": 500.0, "large": 500.0}, 0.0)
    server = AnnouncedServer("engine", 1, "model", "h", 1, "a", slots=16)
    state = ServerState(server, 0.0, ColdRateLimit(1.0))
    state.peer_load = Load(running=4)
    before = module.FREE_PLACE_TIME.bind().value
    log = ShareLog(fair_shares)
    log.record_refusal(work("other"), 0.0)
    log.report([state], waiting, 0.0)
    assert lines[0]["free_places"] == 12
    assert module.FREE_PLACE_TIME.bind().value - before == expected
