from __future__ import annotations

import json
import subprocess
import sys

import pytest

PROGRAM = """
from absl import logging
from teaseldyke.telemetry import configure_logging, log_change, log_fault
configure_logging({verbosity}, form={form!r})
log_change("domain_out", domain="east 2", version=7)
log_fault("peer_lost", peer="r3")
logging.debug("hidden")
"""


def _run(verbosity: int, form: str) -> list[str]:
    program = PROGRAM.format(verbosity=verbosity, form=form)
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return done.stderr.splitlines()


@pytest.mark.parametrize(
    ("verbosity", "endings"),
    [
        (
            0,
            [
                'INFO event=domain_out domain="east 2" version=7',
                "WARNING event=peer_lost peer=r3",
            ],
        ),
        (-1, ["WARNING event=peer_lost peer=r3"]),
    ],
)
def test_text_lines(verbosity: int, endings: list[str]) -> None:
    lines = _run(verbosity, "text")
    assert [line.split(" ", 1)[1] for line in lines] == endings


def test_json_lines() -> None:
    first = json.loads(_run(0, "json")[0])
    assert first.pop("time").endswith("Z")
    assert first == {
        "level": "INFO",
        "event": "domain_out",
        "domain": "east 2",
        "version": 7,
    }
