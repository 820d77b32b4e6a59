"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    """Return the reason of each listed test, by its id."""
    listed = {}
    for line in KNOWN_RED.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, _, reason = line.partition("|")
        listed[test.strip()] = reason.strip()
    return listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests, and only these, to fail."""
    listed = _known_red()
    for item in items:
        reason = listed.get(item.nodeid)
        if reason is None:
            continue
        # Not strict: most listed faults show in some runs only.
        item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of each run."""
    for test, reason in _known_red().items():
        terminalreporter.write_line(f"known red: {test} | {reason}")
