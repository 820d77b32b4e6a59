from __future__ import annotations

from pathlib import Path

import pytest

from teaseldyke.operator import EXIT_MEANINGS

PAGE = Path(__file__).parents[3] / "docs" / "operators.md"


@pytest.mark.parametrize(("status", "meaning"), EXIT_MEANINGS.items())
def test_every_exit_status_is_documented(status: int, meaning: str) -> None:
    assert f"| {status} | {meaning} |" in PAGE.read_text(encoding="utf-8").splitlines()
