from __future__ import annotations

from typing import Any

import pytest

from teaseldyke.gateway import share_log as module
from teaseldyke.gateway.share_log import ShareLog
from teaseldyke.placement import FairShares, Work


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
