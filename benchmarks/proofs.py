"""Runs the tests marked with promises and prints which promises hold."""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from pathlib import Path

import attrs
import pytest

REPORT = Path("build/proofs.json")

PROMISES = {
    "service-gap": "The service gap between two backlogged organisations is bounded.",
    "no-starvation": "No organisation starves.",
    "cold-backend-server": "A fresh backend server gets no more than it bears.",
    "failure-domain-out": "A failure domain taken out gets no new work.",
    "whole-answer": "A caller gets the whole answer to its own request.",
    "true-refusal": "A refusal that says 'not run' is true.",
    "at-most-once": "A non-idempotent request runs at most once.",
    "backend-server-leaving": "A leaving backend server gets no new work.",
    "planned-stop": "A planned stop cuts no request.",
    "configuration": "An accepted configuration is in force and never reverts.",
    "no-idle-capacity": "No capacity idles while work waits.",
}


@attrs.define
class Tally:
    """Test results of one promise."""

    passed: int = 0
    failed: list[str] = attrs.field(factory=list)
    known_red: list[str] = attrs.field(factory=list)
    naive_fails: int = 0


@attrs.define(eq=False)
class Collector:
    """Pytest plugin that counts the results of marked tests for each promise."""

    tallies: dict[str, Tally] = attrs.field(factory=lambda: defaultdict(Tally))
    _promises: dict[str, list[str]] = attrs.field(factory=dict)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record which promises each test proves."""
        for item in items:
            names = [str(mark.args[0]) for mark in item.iter_markers("promise")]
            self._promises[item.nodeid] = names

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Count one finished test."""
        if report.when != "call" and not report.failed:
            return
        for name in self._promises.get(report.nodeid, ()):
            self._count(self.tallies[name], report)

    def _count(self, tally: Tally, report: pytest.TestReport) -> None:
        if hasattr(report, "wasxfail"):
            tally.known_red.append(report.nodeid)
            return
        if report.failed:
            tally.failed.append(report.nodeid)
            return
        tally.passed += 1
        if "naive" in report.nodeid or "defect" in report.nodeid:
            tally.naive_fails += 1


def state_of(tally: Tally) -> str:
    """Return the state of a promise for the table."""
    if tally.failed:
        return "BROKEN"
    if tally.known_red:
        return "known red"
    if not tally.passed:
        return "NOT PROVED"
    return "held"


def main() -> int:
    """Run the marked tests, print the table and return the exit code."""
    collector = Collector()
    pytest.main(["-m", "promise", "--no-header", *sys.argv[1:]], plugins=[collector])
    rows = []
    for name, text in PROMISES.items():
        tally = collector.tallies[name]
        rows.append({"promise": name, "state": state_of(tally), **attrs.asdict(tally)})
        print(
            f"{state_of(tally):<11} {name:<23} tests={tally.passed:<4}"
            f" shown to fail on a naive version or defect={tally.naive_fails:<3} {text}"
        )
        for test in [*tally.failed, *tally.known_red]:
            print(f"            {test}")
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.write_text(json.dumps(rows, indent=2))
    return 1 if any(row["state"] in ("BROKEN", "NOT PROVED") for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
