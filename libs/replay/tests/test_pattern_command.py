from __future__ import annotations

import pytest

from teaseldyke.replay.main import EXIT_BAD_INPUT, Replay


def test_pattern_prints_its_figures(capsys: pytest.CaptureFixture[str]) -> None:
    Replay().pattern("steady", seed=3, instances=2, engines=2)
    printed = capsys.readouterr().out
    assert printed.startswith("worth 0.")
    assert "by organisation: large" in printed


def test_unknown_pattern_lists_known_patterns(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as ended:
        Replay().pattern("no-such")
    assert ended.value.code == EXIT_BAD_INPUT
    assert "held-engine" in capsys.readouterr().err
